# Runs a case of this review; sourced by run.sh of its folder.
#   runCase PROGRAM WORDS...
# PROGRAM is a stand-in that review/build-3.sh has built; it starts the daemons
# of the build of deploy/system.toml.
runCase() {
  local Case Root Folder Program Standin Result
  Case=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
  Root=$(cd "$Case/../.." && pwd)
  Program=$Root/target/galenaroute-platform
  Standin=$Root/target/review-3/$1
  shift
  [ -x "$Standin" ] || bash "$Root/review/build-3.sh" || return 2
  [ -x "$Program" ] && [ -x "$Standin" ] || return 2
  Folder=$(mktemp -d) || return 2
  "$Standin" "$Program" "$Folder" "$Case/record.txt" "${TROUBLE:-1}" "$@" &
  trap 'kill $! 2>/dev/null' INT TERM
  wait $!
  Result=$?
  rm -rf "$Folder"
  case $Result in 0 | 1) return $Result ;; *) return 2 ;; esac
}
