#!/bin/sh
# Builds the stand-in of the scripts of this review.
set -e
cd "$(dirname "$0")/stand-in-2"
mkdir -p ../../build/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread ./*.cpp -o ../../build/review-2/stand-in
