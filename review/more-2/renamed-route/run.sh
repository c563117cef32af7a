#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "${folder%/review/*}" || exit 2
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
clean() {
    # Ends the processes that the case has started and not ended itself.
    [ -f "$CASE_FOLDER/pids" ] && while read -r pid; do
        grep -q "$CASE_FOLDER" "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
    done <"$CASE_FOLDER/pids"
    if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS" && cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"; fi
    rm -rf "$CASE_FOLDER"
}
trap clean EXIT
trap 'exit 2' INT TERM
[ -x target/release/cactuswing ] && [ -x target/review-2/cases ] || exit 2
timeout 115 target/review-2/cases "${folder##*/review/}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
