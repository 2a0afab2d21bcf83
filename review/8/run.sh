#!/bin/sh
# Plays the case with the stand-in 'two-versions'. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PROGRAM=$PWD/target/galenaroute-platform
STAND_IN=build/review-2/two-versions
[ -x "$PROGRAM" ] && [ -x "$STAND_IN" ] || exit 2
FOLDER=$(mktemp -d) || exit 2
timeout -k 5 115 "$STAND_IN" "$PROGRAM" "$FOLDER" review/8/record.txt "${TROUBLE:-1}" lost
STATUS=$?
rm -rf "$FOLDER"
[ "$STATUS" -le 1 ] || exit 2
exit "$STATUS"
