#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/review-2: its own, and that of the first review.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && go build -o target/review-2/standin ./review/_standin2 && go build -o target/review-2/standin-1 ./review/_standin
