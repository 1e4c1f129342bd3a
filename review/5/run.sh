#!/bin/sh
# All servers of a plain service crash once while many callers ask for the same page.
# It writes review/5/record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reelrun-router ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin popular review/5
