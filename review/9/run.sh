#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-2.sh. With TROUBLE=0 no agent is killed; the endpoint leaves and its report is late all the same.
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 target/review-2/release/jy-review-2 drain target/release/jyedge "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
