#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the scripted cases 4 to 8, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -ldflags=-linkmode=external -o target/review-2/stand ./review/_standin2
