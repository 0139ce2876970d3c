#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
review/build-2.sh || exit 2
.venv/bin/python -B -m review.9.case &
trap 'kill $!; wait $!; exit 2' TERM INT
wait $!
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
