#!/usr/bin/env bash
# Breaks one rule after another on a scratch copy and checks that the test
# which guards the rule fails. ONLY=text runs just the lines that contain it.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -c -T - | tar -x -C "$scratch"
survived=0
count=0
while IFS=$'\t' read -r name file expr module package test; do
	[[ -z $name || $name == \#* || ${ONLY:-} && $name != *${ONLY:-}* ]] && continue
	cp "$scratch/$file" "$scratch/saved"
	sed -i "$expr" "$scratch/$file"
	count=$((count + 1))
	if cmp -s "$scratch/$file" "$scratch/saved"; then
		echo "NOT APPLIED  $name"
		survived=$((survived + 1))
	elif (cd "$scratch/$module" && go vet "$package" && timeout 120 go test -count=1 -timeout 110s -run "^$test\$" "$package") >"$scratch/out" 2>&1; then
		echo "SURVIVED     $name: $test passes"
		survived=$((survived + 1))
	elif grep -q "vet: \|build failed\|setup failed" "$scratch/out"; then
		echo "NOT BUILT    $name"
		sed -n 1,4p "$scratch/out"
		survived=$((survived + 1))
	else
		echo "found        $name ($test)"
	fi
	cp "$scratch/saved" "$scratch/$file"
done <scripts/mutants.txt
echo "$count rules broken, $survived not noticed"
[ $survived = 0 ]
