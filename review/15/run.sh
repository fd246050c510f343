#!/bin/sh
# Plays the case and checks its rule: 1 means broken, 0 held, 2 that it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/router ] || [ ! -x target/review-3/lab ]; then
	echo "build deploy/system.toml and run review/build-3.sh first" >&2
	exit 2
fi
exec target/review-3/lab -case silent-peers -router target/router -record review/15/record.txt
