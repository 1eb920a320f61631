package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactusstream.example/core/events"
)

func newCheckCmd() *cobra.Command {
	var path string
	com := &cobra.Command{
		Use:     "check --config FILE",
		Short:   "Validate a configuration file without starting the daemon",
		Long:    "Check reports all errors at once, each with its file, section, key, invalid value and the allowed values.",
		Example: "  cactusd check --config d1.ini",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cfg, err := loadConfig(path)
			if err != nil {
				return err
			}
			if _, err := daemonOptions(cfg, events.Discard()); err != nil {
				return err
			}
			fmt.Fprintf(com.OutOrStdout(), "%s: good\n", path)
			return nil
		},
	}
	addConfigFlag(com, &path)
	return com
}
