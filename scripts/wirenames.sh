#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/ and deploy/:
# its headers, and those fields of its bodies that are no common words.
set -uo pipefail
cd "$(dirname "$0")/.."
names='Cactusstream-|CACTUSSTREAM_CONFIG|virtual_hosts|path_prefix|traffic_split|base_version|target_latency_ms|max_attempts|health_path|cold_remaining_ms|heartbeat_url|heartbeat_interval_ms|internal_port_range|machine_class|counts_as_loss|fault_tolerance|contact_window_ms|config_apply_ms|retry_budget_ratio|retry_budget_slack|non_idempotent|control_plane'
found=$(git ls-files -- '*.go' '*.ini' '*.sh' | grep -vE '^(platform|deploy)/|^scripts/wirenames.sh$' | xargs grep -nE "$names")
if [ -n "$found" ]; then
	echo "names of the platform outside platform/:"
	echo "$found"
	exit 1
fi
