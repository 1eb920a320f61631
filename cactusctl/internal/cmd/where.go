package cmd

import (
	"errors"
	"fmt"
	"io"
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
	var keyFile, keyEnv, organisation string
	com := &cobra.Command{
		Use:   "where METHOD URL",
		Short: "Explain where a request would go now",
		Long: `Where prints the route of a request, whether it would be admitted, each upstream of
its service, and which one a daemon would choose if the request arrived there now.
The daemon asks gates for wait estimates as for a request, and the holders of the
organisation's quota what they have. It takes nothing from the quota. It
sends nothing to an upstream. It samples the gates at random, so that the next answer
may differ; trial requests are left out.

The sender is an organisation's name, or the key in a file or an environment variable,
of which only the digest is sent to the daemon. Without any, the request has no key.
Where requests need keys, --firm is ignored, as the header of a request is.

The cost is the wait that an upstream must save because of its zone or its state. The
first daemon of --daemons that answers decides.`,
		Example: `  cactusctl where GET https://shop.example/orders/17 --daemons 10.1.0.7:7103
  cactusctl where POST /corte/order --firm acme --body-bytes 90000 --output json
  cactusctl where GET /corte/list --organisation acme
  cactusctl where GET /corte/list --key-file acme.key`,
		Args: cobra.ExactArgs(2),
		RunE: func(com *cobra.Command, args []string) error {
			payload, err := newWherePayload(args[0], args[1], deadline)
			if err != nil {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("where: %w", err)}
			}
			if com.Flags().Changed("organisation") && organisation == "" {
				return &process.ExitError{Code: process.ExitUsage, Err: errors.New("where: --organisation is empty")}
			}
			payload.Firm, payload.Place, payload.BodyBytes, payload.Organisation = firm, place, bodyBytes, organisation
			if payload.KeyDigest, err = readKeyDigest(com, keyFile, keyEnv); err != nil {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("where: %w", err)}
			}
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
			if where.Admission == nil && organisation+payload.KeyDigest != "" {
				return errors.New("where: the daemon runs an older program, which doesn't say whether an organisation's request is admitted")
			}
			return ap.printWhere(com, where)
		},
	}
	com.Flags().StringVar(&firm, "firm", "", "firm that sends the request")
	com.Flags().StringVar(&organisation, "organisation", "", "name of the organisation that sends the request")
	com.Flags().StringVar(&keyFile, "key-file", "", "file with the key that is sent")
	com.Flags().StringVar(&keyEnv, "key-env", "", "name of the environment variable with the key that is sent")
	com.MarkFlagsMutuallyExclusive("organisation", "key-file", "key-env", "firm")
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
		fmt.Fprintf(com.OutOrStdout(), "firm %s, service %s, kind %s, rank %d, settings version %d\n%d ms left, %d bytes expected\n",
			where.Firm, where.Service, where.Kind, where.Rank, where.SettingsVersion, where.RemainingMs, where.ExpectedBytes)
		if err := printAdmission(com.OutOrStdout(), where.Admission); err != nil {
			return err
		}
		fmt.Fprintf(com.OutOrStdout(), "%s\n\n", where.Verdict)
	}
	return ap.print(com.OutOrStdout(), where, []string{"", "upstream", "daemon", "zone", "state", "group", "wait", "duration", "cost", "in time", "reason"}, rows)
}

// printAdmission prints whether the request is admitted, its organisation, and what the
// holders of the quota have. Older daemons give no admission.
func printAdmission(out io.Writer, adm *genplacement.WhereAdmission) error {
	if adm == nil {
		return nil
	}
	text := adm.Outcome
	if adm.Outcome == "unknown" {
		text = "admission unknown, since a holder can't be asked without taking a token; otherwise rejected"
	}
	if adm.Status != 0 {
		text += fmt.Sprintf(" with %d %s: %s", adm.Status, adm.Reason, adm.Detail)
	}
	if adm.RetryAfterMs > 0 {
		text += fmt.Sprintf("; likely to be admitted in %s", millis(adm.RetryAfterMs))
	}
	fmt.Fprintln(out, text)
	if adm.Note != "" {
		fmt.Fprintln(out, adm.Note)
	}
	if adm.Organisation == "" {
		return nil
	}
	fmt.Fprintf(out, "organisation %s, rank %d, ", adm.Organisation, adm.Rank)
	if adm.Rate == 0 {
		fmt.Fprintln(out, "no limit")
		return nil
	}
	fmt.Fprintf(out, "rate %s requests/s, burst %s\n%s\n\n", formatNumber(adm.Rate), formatNumber(adm.Burst), formatHolders(adm))
	rows := make([][]string, 0, len(adm.Holders))
	for _, holder := range adm.Holders {
		row := []string{holder.Daemon, holder.Zone, unknownMark, "", holder.Note}
		if holder.Answered {
			row[2] = formatLeft(holder.Left)
		}
		if holder.RetryAfterMs > 0 {
			row[3] = millis(holder.RetryAfterMs)
		}
		rows = append(rows, row)
	}
	if err := printTable(out, []string{"holder", "zone", "left", "next token", "note"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(out)
	return nil
}

func formatHolders(adm *genplacement.WhereAdmission) string {
	return fmt.Sprintf("%d of %d holders answered, with %s requests left; each holds up to %s and gets %s a second",
		adm.Answered, len(adm.Holders), formatLeft(adm.Left), formatLeft(adm.HolderDepth), formatLeft(adm.HolderRate))
}

func mark(isChosen bool) string {
	if isChosen {
		return "*"
	}
	return ""
}

func millis(value int64) string { return fmt.Sprintf("%d ms", value) }
