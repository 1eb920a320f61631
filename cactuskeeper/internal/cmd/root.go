// Package cmd implements the command line of cactuskeeper, with one file per
// subcommand.
package cmd

import (
	"io"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return process.Execute(newRootCmd(), args, stdout, stderr, error.Error)
}

func newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:   "cactuskeeper",
		Short: "Store and replicate the settings of a cactusstream fleet",
		Long: `cactuskeeper stores the settings of a cactusstream fleet on disk and replicates
every change to the other keepers by consensus.

Exit codes: 0 success; 1 failure; 2 invalid usage or configuration; 3 forced
shutdown that may have aborted requests.`,
	}
	root.AddCommand(newCheckCmd(), newInitCmd(), newKeygenCmd(), newRunCmd())
	return root
}

// addConfigFlag adds the required --config flag.
func addConfigFlag(com *cobra.Command, path *string) {
	com.Flags().StringVar(path, "config", "", "path of the INI configuration file")
	_ = com.MarkFlagRequired("config")
}
