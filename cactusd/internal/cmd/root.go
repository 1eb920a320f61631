// Package cmd implements the command line of cactusd, with one file per
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
		Use:   "cactusd",
		Short: "Proxy requests to the upstreams of a fleet",
		Long: `cactusd runs on the same VM as a group of upstreams. It accepts requests from
callers, routes them to the upstreams of the fleet, and controls admission to
the upstreams on its own VM.

Exit codes: 0 success; 1 failure; 2 invalid usage or configuration; 3 forced
shutdown that may have aborted requests.`,
	}
	root.AddCommand(newCheckCmd(), newRunCmd())
	return root
}

// addConfigFlag adds the --config flag.
func addConfigFlag(com *cobra.Command, path *string) {
	com.Flags().StringVar(path, "config", "", "path of the INI configuration file")
	_ = com.MarkFlagRequired("config")
}
