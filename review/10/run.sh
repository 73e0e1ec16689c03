#!/bin/sh
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/lichenhitch review/bin/case10; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
done
exec review/bin/case10
