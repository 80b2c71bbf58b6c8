#!/bin/sh
# A late heartbeat at the return of a zone. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: the heartbeat arrives in time.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/standin-3 || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/standin-3 returned review/15
