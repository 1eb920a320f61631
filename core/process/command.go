package process

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command line of a program and returns its exit code, which is
// ExitUsage for invalid flags. It prints an error once, formatted by describe.
func Execute(root *cobra.Command, args []string, stdout, stderr io.Writer, describe func(error) string) int {
	root.Version = Version
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Err: err}
	})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", root.Name(), describe(err))
	}
	return ExitCode(err)
}
