#!/usr/bin/env bash
# Starts a small fleet on loopback that serves two firms, quillota and
# lavavalgus, demonstrates routing, ejection and settings changes, and stops it.
# KEEP=1 keeps the fleet running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'fleet_kill; rm -rf "$RUN"' EXIT

step() { printf '\n== %s\n' "$*"; }
RESULTS=()
record() { # description result
	RESULTS+=("$1|$2")
	printf '%-58s %s\n' "$1" "$2"
}
FAILED=0
check() { # description command...
	local description=$1
	shift
	if "$@" >"$RUN/check.out" 2>&1; then record "$description" ok; else
		record "$description" FAILED
		cat "$RUN/check.out"
		FAILED=1
	fi
}

step "start three keepers, seven daemons and 21 upstreams"
fleet_init 3
for i in 1 2 3; do keeper_start $i; done
daemon_start 1 centro-a quillota cl-centro
daemon_start 2 centro-b quillota cl-centro
daemon_start 3 centro-c quillota cl-centro
daemon_start 4 tln-a lavavalgus ee-north
daemon_start 5 tln-b lavavalgus ee-north
daemon_start 6 tln-c lavavalgus ee-north
daemon_start 7 mrd lavavalgus ee-north
for d in 1 2 3; do
	upstream_start stock$d catalogo $d 5 350 10ms
	upstream_start desk$d reservas $d 5 350 10ms
	upstream_start cutter$d corte $d 5 350 10ms
done
for d in 4 5 6 7; do
	upstream_start reader$d cue-reader $d 4 330 5ms
	upstream_start control$d cue-control $d 4 330 5ms
	upstream_start libretto$d libretto-desk $d 4 330 5ms
done
wait_for 15 "$BIN/cactusctl" settings export

step "apply the settings of both firms"
# The example settings are for larger pools, so the demo lowers their floors.
sed 's/^floorEndpoints = .*/floorEndpoints = 2/' examples/quillota.ini examples/lavavalgus.ini >"$RUN/tree.ini"
"$BIN/cactusctl" settings check "$RUN/tree.ini"
daemons_alive() { [ "$("$BIN/cactusctl" status --output json | grep -c '"Program": "cactusd"')" = 7 ]; }
wait_for 15 daemons_alive
check "settings applied and in force on every daemon" "$BIN/cactusctl" settings apply "$RUN/tree.ini" --reason "first settings" --author demo --wait
check "claim holders assigned" "$BIN/cactusctl" claims assign --reason "first holders" --author demo --wait
upstreams_ready() { [ "$("$BIN/cactusctl" upstreams --output json | grep -c '"State": "ready"')" = 21 ]; }
wait_for 15 upstreams_ready
sleep 1.2

step "send requests of each kind to the firm's daemons"
call() { # description targets options...
	local description=$1 targets=$2
	shift 2
	check "$description" "$BIN/standin" call --target "$targets" --count 20 --expect-good "$@"
}
QUILLOTA=127.0.2.1:8080,127.0.2.2:8080,127.0.2.3:8080
LAVAVALGUS=127.0.2.4:8080,127.0.2.5:8080,127.0.2.6:8080,127.0.2.7:8080
SERVICE=$RUN/keys/service.token
call "quillota browse" $QUILLOTA --path /catalogo/browse
call "quillota stock lookup" $QUILLOTA --path /catalogo/stock
call "quillota price lookup, internal, with credential" $QUILLOTA --path /catalogo/price --token-file "$SERVICE"
call "quillota booking status" $QUILLOTA --path /reservas/status
call "quillota deposit booking, with key" $QUILLOTA --method POST --path /reservas/deposit --body 200 --keys
call "quillota cut order, with key" $QUILLOTA --method POST --path /corte/order --body 200 --keys
call "quillota pallet lookup, internal, with credential" $QUILLOTA --path /corte/pallet --token-file "$SERVICE"
call "lavavalgus cue line" $LAVAVALGUS --path /cues/line
call "lavavalgus rehearsal lookup" $LAVAVALGUS --path /cues/rehearsal
call "lavavalgus timing lookup, internal, with credential" $LAVAVALGUS --path /cues/timing --token-file "$SERVICE"
call "lavavalgus cue advance, with key" $LAVAVALGUS --method POST --path /cues/advance --keys
call "lavavalgus show publish, with key" $LAVAVALGUS --method POST --path /libretto/publish --body 2000 --keys
call "lavavalgus libretto lookup, internal, with credential" $LAVAVALGUS --path /libretto/lookup --token-file "$SERVICE"
internal_rejected() { "$BIN/standin" call --target 127.0.2.1:8080 --path /catalogo/price --output json | grep -q '"statuses":{"401":1}'; }
check "internal lookup without credential is rejected" internal_rejected

step "one cue reader fails partially: health checks pass, requests stall"
"$BIN/standin" fault "${CONTROL[reader4]}" stall
"$BIN/standin" call --target "$LAVAVALGUS" --path /cues/line --rate 100 --duration 3s --output json >"$RUN/stall.json"
CUE_READERS=(--daemons 127.0.2.5:7101 --service cue-reader)
"$BIN/cactusctl" upstreams "${CUE_READERS[@]}"
ejected() { "$BIN/cactusctl" upstreams "${CUE_READERS[@]}" --output json | grep -A12 '"ID": "reader4"' | grep -q '"State": "\(ejected\|trial\)"'; }
check "the stalled reader is ejected" ejected
runs_before=$("$BIN/standin" counts "${CONTROL[reader4]}" | grep -o '"runs":[0-9]*' | grep -o '[0-9]*')
check "cue line requests succeed without it" "$BIN/standin" call --target "$LAVAVALGUS" --path /cues/line --rate 100 --duration 2s --expect-good
runs_after=$("$BIN/standin" counts "${CONTROL[reader4]}" | grep -o '"runs":[0-9]*' | grep -o '[0-9]*')
record "requests the stalled reader still received, of 200" "$((runs_after - runs_before))"
"$BIN/standin" fault "${CONTROL[reader4]}" none

step "change a setting"
check "rehearsal lookup rank changed, in force on every daemon" "$BIN/cactusctl" settings set lavavalgus/ee-north/cue-reader/rehearsalLookup rank 2 --reason "a premiere" --author demo --wait
"$BIN/cactusctl" status

if [ "${KEEP:-}" = 1 ]; then
	cat <<-EOF

		The fleet runs until Ctrl-C. Try in another shell:
		  export CACTUS_KEEPERS=$CACTUS_KEEPERS CACTUS_DAEMONS=$CACTUS_DAEMONS CACTUS_TOKEN_FILE=$CACTUS_TOKEN_FILE
		  bin/cactusctl status
		  bin/cactusctl upstreams
		  bin/cactusctl settings explain quillota/cl-centro/corte/cutOrder
		  bin/standin call --target $LAVAVALGUS --path /cues/line --rate 50 --duration 5s
		  bin/standin fault ${CONTROL[reader5]} slow --factor 20
		  bin/cactusctl dump 127.0.2.4:7101
	EOF
	trap 'echo' INT
	wait || true
	trap - INT
fi

step "stop all processes gracefully"
clean=0
total=0
for name in $(printf '%s\n' "${!PIDS[@]}" | sort -r); do
	total=$((total + 1))
	stop_process "$name" && clean=$((clean + 1)) || echo "$name: exit code $?"
done
record "processes that exited with code 0" "$clean of $total"
[ $clean = $total ] || FAILED=1

step "results"
for result in "${RESULTS[@]}"; do printf '%-58s %s\n' "${result%%|*}" "${result##*|}"; done
exit $FAILED
