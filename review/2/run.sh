#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. review/build.sh builds the stand-ins.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standIns ] || exit 2
exec target/review/standIns blocked-queue review/2/record.txt
