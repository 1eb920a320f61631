package cmd

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	genplacement "cactusstream.example/core/gen/placement"

	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

func newWhereCmd(ap *app) *cobra.Command {
	var firm, place string
	var bodyBytes int
	var deadline time.Duration
	com := &cobra.Command{
		Use:   "where METHOD URL",
		Short: "Explain where a request would go now",
		Long: `Where prints the route of a request, each upstream of its service, and which one a
daemon would choose if the request arrived there now. The daemon asks gates for wait
estimates as for a request, and sends nothing to an upstream. It samples the gates at
random, so that the next answer may differ; trial requests are left out.

The cost is the wait that an upstream must save because of its zone or its state. The
first daemon of --daemons that answers decides.`,
		Example: `  cactusctl where GET https://shop.example/orders/17 --daemons 10.1.0.7:7103
  cactusctl where POST /corte/order --firm acme --body-bytes 90000 --output json`,
		Args: cobra.ExactArgs(2),
		RunE: func(com *cobra.Command, args []string) error {
			payload, err := newWherePayload(args[0], args[1], deadline)
			if err != nil {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("where: %w", err)}
			}
			payload.Firm, payload.Place, payload.BodyBytes = firm, place, bodyBytes
			cli, err := ap.client()
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			where, err := cli.Where(ctx, payload)
			if err != nil {
				return err
			}
			return ap.printWhere(com, where)
		},
	}
	com.Flags().StringVar(&firm, "firm", "", "firm that sends the request")
	com.Flags().StringVar(&place, "place", "", "place of the request")
	com.Flags().IntVar(&bodyBytes, "body-bytes", 0, "size of the body in bytes")
	com.Flags().DurationVar(&deadline, "deadline", 0, "deadline that the caller sets; 0 for that of the kind")
	return com
}

// newWherePayload returns the payload for a method and a URL, of which only the host and
// the path count.
func newWherePayload(method, target string, deadline time.Duration) (*genplacement.WherePayload, error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return nil, fmt.Errorf("URL: %w", err)
	}
	if !strings.HasPrefix(parsed.Path, "/") {
		return nil, fmt.Errorf("URL %q: want a path that starts with /, with or without a host", target)
	}
	if deadline < 0 {
		return nil, errors.New("the deadline is negative")
	}
	return &genplacement.WherePayload{Method: strings.ToUpper(method), Host: parsed.Host, Path: settings.RoutePath(parsed), DeadlineMs: int(deadline.Milliseconds())}, nil
}

func (ap *app) printWhere(com *cobra.Command, where *genplacement.WhereResult) error {
	rows := make([][]string, 0, len(where.Candidates))
	for _, candidate := range where.Candidates {
		row := []string{mark(candidate.Chosen), candidate.Upstream, candidate.Daemon, candidate.Zone, candidate.State, candidate.Group, "", "", "", "", candidate.Reason}
		if candidate.Asked {
			row[6], row[7] = millis(candidate.WaitMs), millis(candidate.DurationMs)
			row[8], row[9] = millis(candidate.CostMs), strconv.FormatBool(candidate.InTime)
		}
		rows = append(rows, row)
	}
	if ap.output == "table" {
		fmt.Fprintf(com.OutOrStdout(), "firm %s, service %s, kind %s, rank %d, settings version %d\n%d ms left, %d bytes expected\n%s\n\n",
			where.Firm, where.Service, where.Kind, where.Rank, where.SettingsVersion, where.RemainingMs, where.ExpectedBytes, where.Verdict)
	}
	return ap.print(com.OutOrStdout(), where, []string{"", "upstream", "daemon", "zone", "state", "group", "wait", "duration", "cost", "in time", "reason"}, rows)
}

func mark(isChosen bool) string {
	if isChosen {
		return "*"
	}
	return ""
}

func millis(value int64) string { return fmt.Sprintf("%d ms", value) }
