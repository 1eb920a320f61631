#!/usr/bin/env bash
# Fails if code outside platform/ and deploy/ contains a name of the external
# platform's interface: a header, an environment variable, or a field name that
# is specific enough not to match ordinary words.
set -uo pipefail
cd "$(dirname "$0")/.."
platform_names='Cactusstream-|CACTUSSTREAM_CONFIG|virtual_hosts|path_prefix|traffic_split|base_version|target_latency_ms|max_attempts|health_path|cold_remaining_ms|heartbeat_url|heartbeat_interval_ms|internal_port_range|machine_class|counts_as_loss|fault_tolerance|contact_window_ms|config_apply_ms|retry_budget_ratio|retry_budget_slack|non_idempotent|api_keys|rate_per_s|allow_anonymous|control_plane'
matches=$(git ls-files -- '*.go' '*.ini' '*.sh' | grep -vE '^(platform|deploy)/|^scripts/wirenames.sh$' | xargs grep -nE "$platform_names")
if [ -n "$matches" ]; then
	echo "platform names used outside platform/ and deploy/:"
	echo "$matches"
	exit 1
fi
