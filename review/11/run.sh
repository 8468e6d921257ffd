#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/standin-3 ] && [ -x target/knapweedspur ] || { echo "build with the deploy file and review/build-3.sh first"; exit 2; }
exec bin/standin-3 -case scale -record review/11/record.txt
