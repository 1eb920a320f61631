#!/usr/bin/env bash
# Mutation testing: applies each mutation of mutants.txt to a scratch copy and
# checks that the named test fails. ONLY=text runs only the mutations whose
# name contains the text.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -c -T - | tar -x -C "$scratch"
survived=0
count=0
while IFS=$'\t' read -r name file expr module package test; do
	[[ -z $name || $name == \#* || ${ONLY:-} && $name != *${ONLY:-}* ]] && continue
	cp "$scratch/$file" "$scratch/original"
	sed -i "$expr" "$scratch/$file"
	count=$((count + 1))
	if cmp -s "$scratch/$file" "$scratch/original"; then
		echo "NOT APPLIED  $name"
		survived=$((survived + 1))
	elif (cd "$scratch/$module" && go vet "$package" && timeout 120 go test -count=1 -timeout 110s -run "^$test\$" "$package") >"$scratch/output" 2>&1; then
		echo "SURVIVED     $name: $test passes"
		survived=$((survived + 1))
	elif grep -q "vet: \|build failed\|setup failed" "$scratch/output"; then
		echo "NOT BUILT    $name"
		sed -n 1,4p "$scratch/output"
		survived=$((survived + 1))
	else
		echo "KILLED       $name ($test)"
	fi
	cp "$scratch/original" "$scratch/$file"
done <scripts/mutants.txt
echo "$count mutations, $survived not detected"
[ $survived = 0 ]
