package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newCheckCmd() *cobra.Command {
	var path string
	com := &cobra.Command{
		Use:     "check --config FILE",
		Short:   "Validate a configuration file without starting the keeper",
		Long:    "Check reports all errors at once, each with its file, section, key, invalid value and the allowed values.",
		Example: "  cactuskeeper check --config keeper1.ini",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			cfg, err := loadConfig(path)
			if err != nil {
				return err
			}
			if _, _, err := cfg.OpenTokens(); err != nil {
				return err
			}
			if _, err := cfg.TLS(); err != nil {
				return err
			}
			fmt.Fprintf(com.OutOrStdout(), "%s: good\n", path)
			return nil
		},
	}
	addConfigFlag(com, &path)
	return com
}
