#!/bin/sh
# Model servers crash two at a time and one more; clients take their streams up. An entry of KNOWN-RED.txt (95 s).
# It writes review/8/record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reelrun-router ] && [ -x target/review-2/standin-1 ] || exit 2
ROUTER=target/reelrun-router exec target/review-2/standin-1 two-crashes review/8/record.txt
