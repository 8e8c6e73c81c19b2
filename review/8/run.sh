#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Plays the case once; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case couldn't run. Build first: the build of deploy/system.toml, and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/switchbank ] || [ ! -x target/review-2/stand ]; then
	echo "target/switchbank or target/review-2/stand is missing: build first" >&2
	exit 2
fi
exec target/review-2/stand move review/8/record.txt
