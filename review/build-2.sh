#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/stand .
