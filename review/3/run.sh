#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
if [ ! -x target/topazmoor ] || [ ! -x target/review ]; then
	echo "build first: the line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
exec target/review dark "$dir/record.txt"
