# Plays a case of the stand-ins for the run.sh that sources this file; CASE and
# HERE are set. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
ROOT=$(cd "$HERE/../.." && pwd)
for program in galenaroute-platform review/stand-in; do
  if [ ! -x "$ROOT/target/$program" ]; then
    echo "target/$program is missing; build first" >&2
    exit 2
  fi
done
FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$FOLDER"' EXIT
timeout -k 2 110 "$ROOT/target/review/stand-in" "$CASE" \
  target/galenaroute-platform "$ROOT" "$FOLDER" "$HERE/record.txt"
STATUS=$?
[ "$STATUS" -le 1 ] || STATUS=2
exit "$STATUS"
