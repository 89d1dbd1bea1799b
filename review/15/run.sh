#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file; builds its own program if that is missing.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jyedge ] || exit 2
[ -x target/review-2/release/review-3 ] || review/build-3.sh || exit 2
exec target/review-2/release/review-3 early-leave review/15
