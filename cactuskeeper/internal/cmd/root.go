// Package cmd holds the command line of cactuskeeper, one file a subcommand.
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
		Short: "Keep the settings of a cactusstream fleet",
		Long: `cactuskeeper keeps the settings of a cactusstream fleet on its disk and
agrees with the other keepers on every change.

Exit codes: 0 done; 1 failed; 2 wrong use or configuration; 3 a stop cut work.`,
	}
	root.AddCommand(newCheckCmd(), newInitCmd(), newKeygenCmd(), newRunCmd())
	return root
}

// addConfigFlag adds the flag that names the configuration file.
func addConfigFlag(com *cobra.Command, path *string) {
	com.Flags().StringVar(path, "config", "", "INI file with the settings of this process")
	_ = com.MarkFlagRequired("config")
}
