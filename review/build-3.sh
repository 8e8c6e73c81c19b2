#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the cases 9 to 13. The build of the deploy file has to come first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/stand ./review/_standin3
