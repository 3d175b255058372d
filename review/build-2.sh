#!/bin/sh
# Builds the stand-ins and the clients of review/4 to review/8.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.c; do
	[ -f "$case" ] || continue
	name=$(basename "$(dirname "$case")")
	gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation \
	    -Ireview/rig-2 "$case" review/rig-2/rig.c \
	    -o "target/review-2/case-$name" -ljansson -lpthread
done
