#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
export CASE_FOLDER=$folder REPOSITORY=$(cd "$folder/../.." && pwd)
program=$REPOSITORY/target/review-3/case-$(basename "$folder")
[ -x "$program" ] || { echo "could not run: build with review/build-3.sh first"; exit 2; }
exec "$program"
