#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin3 ] && [ -x target/switchbank ] || exit 2
ROOT=. exec target/standin3 cancel review/12/record.txt
