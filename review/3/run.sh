#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec target/review/case-3
