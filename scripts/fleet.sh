# Shell functions that start and stop a small fleet on loopback addresses.
# Before sourcing this file, set BIN to the directory of the programs and RUN
# to a directory for the fleet's configuration, data and logs.
#
# Keeper N listens on 127.0.1.N and daemon N on 127.0.2.N.

declare -A PIDS=()
UPSTREAM_COUNT=0

keeper_addresses() { # port count
	local list="" i
	for ((i = 1; i <= $2; i++)); do list+="${list:+,}127.0.1.$i:$1"; done
	echo "$list"
}

fleet_init() { # number_of_keepers
	KEEPERS=$1
	mkdir -p "$RUN/log"
	"$BIN/cactuskeeper" keygen --out "$RUN/keys" >/dev/null
	local initial="" i
	for ((i = 1; i <= KEEPERS; i++)); do initial+="${initial:+, }k$i 127.0.1.$i:7000 127.0.1.$i:7001"; done
	for ((i = 1; i <= KEEPERS; i++)); do
		cat >"$RUN/k$i.ini" <<-EOF
			[process]
			id = k$i
			zone = zone-$i
			[listen]
			peers = 127.0.1.$i:7000
			operators = 127.0.1.$i:7001
			[log]
			level = info
			[credentials]
			fleetTokens = $RUN/keys/fleet.token
			operatorTokens = $RUN/keys/operator.token
			[keeper]
			dataFolder = $RUN/k$i
			signingKey = $RUN/keys/signing.key
			initial = $initial
		EOF
		"$BIN/cactuskeeper" init --config "$RUN/k$i.ini" >/dev/null
	done
	export CACTUS_KEEPERS CACTUS_DAEMONS CACTUS_TOKEN_FILE
	CACTUS_KEEPERS=$(keeper_addresses 7001 "$KEEPERS")
	CACTUS_DAEMONS=127.0.2.1:7101,127.0.2.2:7101
	CACTUS_TOKEN_FILE=$RUN/keys/operator.token
}

spawn() { # name command...
	local name=$1
	shift
	set -m # Separate process group, so that Ctrl-C signals only the script.
	"$@" >>"$RUN/log/$name.out" 2>>"$RUN/log/$name.log" &
	PIDS[$name]=$!
	set +m
}

keeper_start() { # number
	spawn "k$1" "$BIN/cactuskeeper" run --config "$RUN/k$1.ini"
}

daemon_start() { # number zone firm place
	if [ ! -f "$RUN/d$1.ini" ]; then
		cat >"$RUN/d$1.ini" <<-EOF
			[process]
			id = d$1
			zone = $2
			firm = $3
			place = $4
			[listen]
			callers = 127.0.2.$1:8080
			peers = 127.0.2.$1:7100
			operators = 127.0.2.$1:7101
			[fleet]
			keepers = $(keeper_addresses 7000 "$KEEPERS")
			seeds = 127.0.2.1:7100,127.0.2.2:7100
			[credentials]
			fleetTokens = $RUN/keys/fleet.token
			operatorTokens = $RUN/keys/operator.token
			serviceTokens = $RUN/keys/service.token
			upstreamTokens = $RUN/keys/upstream.token
			settingsKeys = $RUN/keys/signing.pub
			[claims]
			clockSkew = ${CLOCK_SKEW:-1s}
		EOF
	fi
	spawn "d$1" "$BIN/cactusd" run --config "$RUN/d$1.ini"
}

upstream_start() { # id service daemon slots connections latency
	UPSTREAM_COUNT=$((UPSTREAM_COUNT + 1))
	local port=$((9000 + UPSTREAM_COUNT))
	CONTROL[$1]=127.0.2.$3:$((port + 1000))
	spawn "$1" "$BIN/standin" upstream --id "$1" --service "$2" --address "127.0.2.$3:$port" \
		--control "${CONTROL[$1]}" --slots "$4" --connections "$5" --latency "$6" \
		--daemon "127.0.2.$3:7101" --token-file "$RUN/keys/upstream.token"
}
declare -A CONTROL=()

stop_process() { # name; returns the exit code of the process
	kill -TERM "${PIDS[$1]}" 2>/dev/null || true
	local code=0
	wait "${PIDS[$1]}" || code=$?
	unset "PIDS[$1]"
	return $code
}

fleet_kill() {
	local name
	for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
}

wait_for() { # timeout_seconds command...
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= deadline)); then
			echo "timed out waiting for: $*" >&2
			return 1
		fi
		sleep 0.1
	done
}
