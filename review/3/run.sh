#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/lichenhitch ] && [ -x review/bin/case3 ] || { echo "build first: the command of the deploy file, and review/build.sh" >&2; exit 2; }
exec review/bin/case3 review/3/record.txt
