// Package cmd holds the command line of cactusd, one file a subcommand.
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
		Short: "Serve requests in front of the upstreams of a VM",
		Long: `cactusd runs beside the upstreams of one VM. It takes callers' requests,
guards the upstreams beside it and knows those of the other daemons.

Exit codes: 0 done; 1 failed; 2 wrong use or configuration; 3 a stop cut work.`,
	}
	root.AddCommand(newCheckCmd(), newRunCmd())
	return root
}

// addConfigFlag adds the flag that names the configuration file.
func addConfigFlag(com *cobra.Command, path *string) {
	com.Flags().StringVar(path, "config", "", "INI file with the settings of this process")
	_ = com.MarkFlagRequired("config")
}
