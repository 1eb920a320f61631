#!/usr/bin/env bash
# Prints one line a measure: name value unit target ok|short. ONLY=name measures
# only what the name is part of. It exits with 0 when it ran, whatever fell short.
set -uo pipefail
cd "$(dirname "$0")/../standin"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go test -v -count=1 -timeout 600s -run '^TestMeasure$' ./internal/story -measure -only "${ONLY:-}" 2>&1 | tee "$log" | grep --line-buffered '^MEASURE ' | sed -u 's/^MEASURE //'
if ! grep -q '^ok' "$log"; then
	grep -v '^MEASURE ' "$log" >&2
	exit 1
fi
