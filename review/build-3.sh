#!/bin/bash
# Builds the stand-ins of cases 11 and later, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Each in CrashingPart:crashing-part TwoVersions:two-versions; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/${Each#*:}" "review/stand-in-3/${Each%:*}.cpp"
done
