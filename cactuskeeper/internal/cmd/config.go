package cmd

import (
	"fmt"
	"net/netip"
	"strings"

	"cactusstream.example/core/configfile"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/process"
)

// config holds the parsed configuration file of a keeper process.
type config struct {
	process.Config
	DataFolder string
	SigningKey string
	Initial    string
}

func loadConfig(path string) (*config, error) {
	cfg := &config{}
	keys := append(cfg.Keys(),
		configfile.String("keeper", "dataFolder", &cfg.DataFolder, "the path of a folder on the VM's disk", configfile.Required),
		configfile.File("keeper", "signingKey", &cfg.SigningKey, "the path of a signing key file", configfile.Required),
		configfile.String("keeper", "initial", &cfg.Initial, "ID PEER-ADDRESS OPERATOR-ADDRESS of each initial keeper, comma-separated"),
	)
	if err := configfile.Load(path, keys); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if _, err := cfg.initialGroup(); err != nil {
		return nil, configfile.Faults{{File: path, Section: "keeper", Key: "initial", Value: cfg.Initial, Allowed: "ID PEER-ADDRESS OPERATOR-ADDRESS of each initial keeper, comma-separated"}}
	}
	return cfg, nil
}

// initialGroup returns the initial members of the keeper group, all of them
// voters. It is empty for a keeper that joins an existing group.
func (co *config) initialGroup() (consensus.Config, error) {
	var group consensus.Config
	if co.Initial == "" {
		return group, nil
	}
	for item := range strings.SplitSeq(co.Initial, ",") {
		fields := strings.Fields(item)
		if len(fields) != 3 {
			return group, fmt.Errorf("%q: want ID PEER-ADDRESS OPERATOR-ADDRESS", item)
		}
		for _, address := range fields[1:] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return group, fmt.Errorf("%q: %w", item, err)
			}
		}
		group.Members = append(group.Members, consensus.Member{ID: fields[0], PeerAddress: fields[1], OperatorAddress: fields[2], Voter: true})
	}
	return group, nil
}
