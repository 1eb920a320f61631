package cmd

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"cactusstream.example/cactusctl/internal/timeline"
	"cactusstream.example/core/process"
)

func newExplainCmd(ap *app) *cobra.Command {
	com := &cobra.Command{
		Use:   "explain",
		Short: "Explain the result of a request",
	}
	com.AddCommand(newExplainRequestCmd(ap))
	return com
}

func newExplainRequestCmd(ap *app) *cobra.Command {
	var logs []string
	com := &cobra.Command{
		Use:   "request ID",
		Short: "Print the timeline of a request from the logs of the daemons",
		Long: `Request reads the logs of daemons and prints one timeline of a request: the
response, each attempt at an upstream, and the events of the involved processes
and upstreams in the ten seconds before and after. A summary follows.`,
		Example: "  cactusctl explain request 9c41d07be2a35f68 --log d1.log --log d2.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			if len(logs) == 0 {
				return &process.ExitError{Code: process.ExitUsage, Err: errors.New("explain request: give the logs of the daemons with --log")}
			}
			tim := timeline.New(args[0])
			for _, path := range logs {
				if err := readLog(tim, path); err != nil {
					return err
				}
			}
			entries := tim.Entries()
			rows := make([][]string, 0, len(entries))
			for _, ent := range entries {
				rows = append(rows, []string{ent.Time.UTC().Format(time.RFC3339Nano), ent.Process, ent.Description()})
			}
			value := map[string]any{"request": args[0], "verdict": tim.Summary(), "timeline": entries}
			if err := ap.print(com.OutOrStdout(), value, []string{"time", "process", "what"}, rows); err != nil {
				return err
			}
			if ap.output == "table" {
				fmt.Fprintf(com.OutOrStdout(), "\n%s\n", tim.Summary())
			}
			return nil
		},
	}
	com.Flags().StringArrayVar(&logs, "log", nil, "a log file; may be given more than once")
	return com
}

func readLog(tim *timeline.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := tim.Read(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
