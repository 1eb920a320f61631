#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOWORK=off go build -buildvcs=false -o ../bin/harness .
