#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cc; do
	number=$(basename "$(dirname "$case")")
	g++ -O1 -std=c++17 -Wall -Wextra -Ireview/rig -o \
	    "target/review/case-$number" "$case" -ljansson -pthread
done
