#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 -m review.1.case &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
status=$?
if [ "$status" -gt 128 ]; then # a signal came first; the case still ends its processes
    wait "$child"
fi
case "$status" in
    0) exit 0 ;;
    10) exit 1 ;; # a status of its own, so that a failure of the script is not taken for a broken rule
    *) exit 2 ;;
esac
