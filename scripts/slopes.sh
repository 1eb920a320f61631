#!/usr/bin/env bash
# Runs the benchmarks whose results docs/CAPACITY.md is calculated from.
set -euo pipefail
cd "$(dirname "$0")/.."
bench() { # module package pattern benchtime
	(cd "$1" && go test -run '^$' -bench "$3" -benchtime "$4" "$2" | grep '^Benchmark')
}
bench core ./settings . 200ms
bench core ./wal . 200ms
bench core ./link . 500ms
bench core ./pick . 200ms
bench core ./rankqueue . 200ms
bench core ./claim . 200ms
bench core ./member . 5x
bench cactusd ./internal/fleet . 5x
bench cactusd ./internal/ingress . 500ms
bench cactuskeeper ./internal/keeper . 3x
