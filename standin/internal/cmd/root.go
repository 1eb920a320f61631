// Package cmd holds the command line of standin, one file a subcommand.
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
		Use:   "standin",
		Short: "Play upstreams and callers of a cactusstream fleet",
		Long: `standin plays upstreams and callers, for tests, measurements and the demo.

Exit codes: 0 done; 1 failed; 2 wrong use; 3 a stop cut work.`,
	}
	root.AddCommand(newCallCmd(), newCountsCmd(), newFaultCmd(), newUpstreamCmd())
	return root
}
