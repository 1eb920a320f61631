#!/usr/bin/env bash
# Runs all tests of all modules. Tests that KNOWN-RED.txt names are run by
# themselves, printed, and passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
# A line of KNOWN-RED.txt that begins with "test:" names module, package and
# test, as: test: cactusd ./internal/story TestRollingRestart
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
status=0
run() { # module skip-pattern arguments...
	local module=$1 skip=$2
	shift 2
	(cd "$module" && go test ${skip:+-skip "$skip"} "$@") || status=1
}
skip_of() { awk -v m="$1" '$1==m {printf "%s^%s$", (n++ ? "|" : ""), $3}' <<<"$red"; }
for module in core cactusctl cactuskeeper platform standin; do
	run "$module" "$(skip_of $module)" -timeout 280s ./...
done
# The race detector runs where goroutines share state; decision code has none.
run core "$(skip_of core)" -race -timeout 280s ./auth ./events ./link ./process
run cactuskeeper "$(skip_of cactuskeeper)" -race -timeout 280s ./server
run cactusd "$(skip_of cactusd)" -race -timeout 280s ./...
while read -r module package name; do
	[ -n "${module:-}" ] || continue
	echo "known red: $module $package $name"
	(cd "$module" && go test -race -timeout 120s -run "^$name\$" "$package") || echo "still red: $name"
done <<<"$red"
exit $status
