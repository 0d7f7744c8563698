#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/liftshift ] && [ -x bin/liftshift-full ] && [ -x bin/review-2-drive ] || {
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
}
exec bin/review-2-drive scope review/8
