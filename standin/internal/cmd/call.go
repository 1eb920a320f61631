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
		Short: "Send requests, validate the responses and measure latencies",
		Long: `Call sends requests in an open loop (--rate) or a closed loop (--workers), until
--duration or --count is reached. It checks that each response is complete and
belongs to its request. With --rate, latency is measured from the time at which
the request was scheduled.`,
		Example: `  standin call --target 127.0.0.21:8080 --path /catalogo/stock --count 10
  standin call --target 127.0.0.21:8080,127.0.0.22:8080 --path /corte/order --method POST --keys --rate 50 --duration 10s`,
		Args: cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			if output != "table" && output != "json" {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("unknown output format %q: want table or json", output)}
			}
			if tokenFile != "" {
				data, err := os.ReadFile(tokenFile)
				if err != nil {
					return fmt.Errorf("read service token: %w", err)
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
				return fmt.Errorf("call: %d of %d requests received a complete response", report.Good, report.Sent)
			}
			return nil
		},
	}
	flags := com.Flags()
	flags.StringSliceVar(&cfg.Targets, "target", nil, "addresses of daemons or upstreams, used in turn")
	flags.StringVar(&cfg.Method, "method", "GET", "HTTP method")
	flags.StringVar(&cfg.Path, "path", "", "path of the requests")
	flags.StringVar(&cfg.Firm, "firm", "", "firm of the caller")
	flags.StringVar(&cfg.CredentialFile, "credential-file", "", "file with the key of the caller's organisation, read for each request")
	flags.StringVar(&tokenFile, "token-file", "", "file with the service token, required for internal kinds of requests")
	flags.IntVar(&cfg.BodyBytes, "body", 0, "size of the request body in bytes")
	flags.Float64Var(&cfg.Rate, "rate", 0, "requests per second in an open loop; 0 for a closed loop")
	flags.IntVar(&cfg.Workers, "workers", 1, "concurrent workers in a closed loop")
	flags.IntVar(&cfg.Count, "count", 0, "total number of requests; 0 for no limit")
	flags.DurationVar(&cfg.Duration, "duration", 0, "how long to send requests; 0 for no limit")
	flags.DurationVar(&cfg.Deadline, "deadline", 0, "deadline sent with each request")
	flags.DurationVar(&cfg.Timeout, "timeout", 30*time.Second, "how long to wait for a response")
	flags.BoolVar(&cfg.Keys, "keys", false, "send a unique Idempotency-Key with each request")
	flags.BoolVar(&cfg.ClosePerRequest, "close", false, "open a new connection for each request")
	flags.BoolVar(&expectGood, "expect-good", false, "fail unless every request receives a complete response")
	flags.StringVar(&output, "output", "table", "output format: table or json")
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
	fmt.Fprintf(table, "sent\t%d\ncomplete responses\t%d\nwrong responses\t%d\nno response\t%d\n", rep.Sent, rep.Good, rep.WrongAnswers, rep.Errors)
	fmt.Fprintf(table, "p50\t%s\np90\t%s\np99\t%s\nmax\t%s\n", microseconds(rep.P50Micros), microseconds(rep.P90Micros), microseconds(rep.P99Micros), microseconds(rep.MaxMicros))
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

func microseconds(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
