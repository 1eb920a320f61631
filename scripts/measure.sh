#!/usr/bin/env bash
# Runs the measurements and prints one line for each: name value unit target
# ok|short. ONLY=text runs only the measurements whose name contains the text.
# The exit code is 0 when the measurements ran, even if some miss their target.
set -uo pipefail
cd "$(dirname "$0")/../standin"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go test -v -count=1 -timeout 600s -run '^TestMeasure$' ./internal/e2e -measure -only "${ONLY:-}" 2>&1 | tee "$log" | grep --line-buffered '^MEASURE ' | sed -u 's/^MEASURE //'
if ! grep -q '^ok' "$log"; then
	grep -v '^MEASURE ' "$log" >&2
	exit 1
fi
