#!/bin/sh
# Plays the case "limit". Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh before.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x bin/liftshift ] || [ ! -x bin/review-standins ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
exec bin/review-standins limit "$folder/record.txt"
