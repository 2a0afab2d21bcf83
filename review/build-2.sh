#!/bin/sh
# Builds the stand-ins of the scripts of this review.
set -e
cd "$(dirname "$0")/stand-in-2"
OUT=../../build/review-2
mkdir -p $OUT
g++ -std=c++20 -O1 -Wall -Wextra -pthread ./*.cpp -o $OUT/stand-in
g++ -std=c++20 -O1 -Wall -Wextra ../stand-in-3/CrashingPart.cpp -o $OUT/crashing-part
g++ -std=c++20 -O1 -Wall -Wextra ../stand-in-3/TwoVersions.cpp -o $OUT/two-versions
