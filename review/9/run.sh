#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/switchbank ] || exit 2
ROOT=. exec target/review-3/stand refuse review/9/record.txt
