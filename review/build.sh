#!/bin/sh
# Builds the stand-ins of the review's scripts. The project itself is built with the line of
# deploy/system.toml before.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
