package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
	"cactusstream.example/standin/internal/caller"
)

func newCallCmd() *cobra.Command {
	var cfg caller.Config
	var output, tokenFile string
	var expectGood bool
	com := &cobra.Command{
		Use:   "call --target ADDRESS[,ADDRESS...] --path PATH",
		Short: "Play callers: send requests, check the answers, measure latencies",
		Long: `Call sends requests in an open loop (--rate) or a closed one (--workers), for
--duration or until --count, and checks that each answer is the whole answer to
its own request. With --rate a latency counts from when the request was due.`,
		Example: `  standin call --target 127.0.0.21:8080 --path /catalogo/stock --count 10
  standin call --target 127.0.0.21:8080,127.0.0.22:8080 --path /corte/order --method POST --keys --rate 50 --duration 10s`,
		Args: cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			if output != "table" && output != "json" {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("output %q: want table or json", output)}
			}
			if tokenFile != "" {
				data, err := os.ReadFile(tokenFile)
				if err != nil {
					return fmt.Errorf("call: %w", err)
				}
				cfg.Token = strings.Fields(string(data))[0]
			}
			report, err := caller.Run(com.Context(), cfg)
			if err != nil {
				return err
			}
			if err := printReport(com.OutOrStdout(), output, report); err != nil {
				return err
			}
			if expectGood && report.Good != report.Sent {
				return fmt.Errorf("call: %d of %d requests got their whole answer", report.Good, report.Sent)
			}
			return nil
		},
	}
	flags := com.Flags()
	flags.StringSliceVar(&cfg.Targets, "target", nil, "addresses of daemons, or of an upstream")
	flags.StringVar(&cfg.Method, "method", "GET", "HTTP method")
	flags.StringVar(&cfg.Path, "path", "", "path of the kind of request")
	flags.StringVar(&cfg.Firm, "firm", "", "firm that the caller belongs to")
	flags.StringVar(&tokenFile, "token-file", "", "file with a service token, for internal kinds")
	flags.IntVar(&cfg.Body, "body", 0, "bytes of the body")
	flags.Float64Var(&cfg.Rate, "rate", 0, "requests a second, in an open loop")
	flags.IntVar(&cfg.Workers, "workers", 1, "callers in a closed loop")
	flags.IntVar(&cfg.Count, "count", 0, "requests in all; 0 for no bound")
	flags.DurationVar(&cfg.Duration, "duration", 0, "how long to send; 0 for no bound")
	flags.DurationVar(&cfg.Deadline, "deadline", 0, "deadline of each request")
	flags.DurationVar(&cfg.Timeout, "timeout", 30*time.Second, "how long to wait for an answer")
	flags.BoolVar(&cfg.Keys, "keys", false, "send an Idempotency-Key with each request")
	flags.BoolVar(&cfg.ClosePerRequest, "close", false, "open a connection for each request")
	flags.BoolVar(&expectGood, "expect-good", false, "fail unless every request got its whole answer")
	flags.StringVar(&output, "output", "table", "table or json")
	_ = com.MarkFlagRequired("target")
	_ = com.MarkFlagRequired("path")
	com.PreRunE = func(*cobra.Command, []string) error {
		if cfg.Count == 0 && cfg.Duration == 0 {
			cfg.Count = 1
		}
		return nil
	}
	return com
}

func printReport(out io.Writer, output string, rep caller.Report) error {
	if output == "json" {
		if err := json.NewEncoder(out).Encode(rep); err != nil {
			return fmt.Errorf("call: %w", err)
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "sent\t%d\nwhole own answers\t%d\nwrong answers\t%d\nno answer\t%d\n", rep.Sent, rep.Good, rep.WrongAnswers, rep.Errors)
	fmt.Fprintf(table, "p50\t%s\np90\t%s\np99\t%s\nmax\t%s\n", micros(rep.P50Micros), micros(rep.P90Micros), micros(rep.P99Micros), micros(rep.MaxMicros))
	printCounts(table, "status", rep.Statuses)
	printCounts(table, "outcome", rep.Outcomes)
	printCounts(table, "reason", rep.Reasons)
	printCounts(table, "upstream", rep.Upstreams)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	return nil
}

func printCounts(out io.Writer, title string, counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%s %s\t%d\n", title, name, counts[name])
	}
}

func micros(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
