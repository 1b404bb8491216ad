#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/topazmoor ] && [ -x target/review-cases ] || { echo "build first: the line in deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review-cases rolling review/6/record.txt
