package cmd

import (
	"fmt"
	"time"

	"cactusstream.example/core/claim"
	"cactusstream.example/core/configfile"
	"cactusstream.example/core/process"
)

// config holds the values of the configuration file.
type config struct {
	process.Config
	CallerAddress  string
	Firm           string
	Place          string
	Keepers        []string
	Seeds          []string
	SettingsKeys   string
	ServiceTokens  string
	UpstreamTokens string
	Claims         claim.Options
}

func loadConfig(path string) (*config, error) {
	cfg := &config{Firm: "*", Place: "*", Claims: claim.DefaultOptions()}
	keys := append(cfg.Keys(),
		configfile.Address("listen", "callers", &cfg.CallerAddress, "an IP address and port", configfile.Required),
		configfile.String("process", "firm", &cfg.Firm, "the firm whose settings apply to the pools of this daemon"),
		configfile.String("process", "place", &cfg.Place, "the place whose settings apply to the pools of this daemon"),
		configfile.Addresses("fleet", "keepers", &cfg.Keepers, "peer addresses of keepers, separated by commas", configfile.Required),
		configfile.Addresses("fleet", "seeds", &cfg.Seeds, "peer addresses of a few daemons, separated by commas", configfile.Required),
		configfile.File("credentials", "settingsKeys", &cfg.SettingsKeys, "the path of a file of public keys", configfile.Required),
		configfile.File("credentials", "serviceTokens", &cfg.ServiceTokens, "the path of a token file", configfile.Required),
		configfile.File("credentials", "upstreamTokens", &cfg.UpstreamTokens, "the path of a token file", configfile.Required),
		configfile.Duration("claims", "clockSkew", &cfg.Claims.Skew, 100*time.Millisecond, time.Minute),
		configfile.Duration("claims", "window", &cfg.Claims.Window, time.Minute, time.Hour),
		configfile.Int("claims", "maxClaims", &cfg.Claims.MaxClaims, 1, 10_000_000),
		configfile.Int("claims", "maxBytes", &cfg.Claims.MaxBytes, 1<<16, 1<<30),
	)
	if err := configfile.Load(path, keys); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return cfg, nil
}
