#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/harness .
