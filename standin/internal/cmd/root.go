// Package cmd implements the command line of standin.
package cmd

import (
	"io"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
)

// Main runs the command with args and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return process.Execute(newRootCmd(), args, stdout, stderr, error.Error)
}

func newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:   "standin",
		Short: "Simulate upstreams and callers of a cactusstream fleet",
		Long: `standin simulates upstreams and callers for tests, measurements and the demo.

Exit codes: 0 success; 1 failure; 2 invalid usage or configuration; 3 forced
shutdown that may have aborted requests.`,
	}
	root.AddCommand(newCallCmd(), newCountsCmd(), newFaultCmd(), newUpstreamCmd())
	return root
}
