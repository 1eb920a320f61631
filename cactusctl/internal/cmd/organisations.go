package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

// digestPrefixLength is how many characters of a digest are printed. They tell the keys
// of an organisation apart.
const digestPrefixLength = 8

// organisationRow describes an organisation in the output.
type organisationRow struct {
	Name      string   `json:"name"`
	Title     string   `json:"title"`
	Rank      int      `json:"rank"`
	Rate      float64  `json:"rate"`
	Burst     float64  `json:"burst"`
	Requests  int64    `json:"requests"`
	OverQuota int64    `json:"overQuota"`
	Digests   []string `json:"digests"`
	// Quota is nil if the organisation has no limit, or what its holders have is unknown
	// or was not asked.
	Quota *organisationQuota `json:"quota"`
}

// organisationQuota is what the holders of an organisation's quota have.
type organisationQuota struct {
	// Left is what the holders that answered have together.
	Left     float64 `json:"left"`
	Holders  int     `json:"holders"`
	Answered int     `json:"answered"`
}

// maxListedQuotas is the number of quotas whose holders are asked for one list, which is
// the number that a daemon accepts in one request. The daemon asks each holder once for
// all of them, so that a list costs at most one call for each daemon of the fleet.
const maxListedQuotas = 100

// unknownMark stands for a value that is not known.
const unknownMark = "?"

func newOrganisationsCmd(ap *app) *cobra.Command {
	com := &cobra.Command{
		Use:   "organisations",
		Short: "List organisations and replace their keys",
		Long: `An organisation is a firm whose node in the settings describes one: its keys, its
rank and its quota. Keys are secret: no command shows them, only the first
characters of their digests.`,
	}
	com.AddCommand(newOrganisationsListCmd(ap), newOrganisationsRotateCmd(ap))
	return com
}

func newOrganisationsListCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:   "list [NAME...]",
		Short: "List the organisations with their ranks, limits, use and keys",
		Long: `List prints the organisations of the newest settings. The rate is in requests a
second; 0 means no limit. Requests and those over the quota are counted by the
daemons that answer, each since its start. Keys are the first characters of the
digests.

Left is the number of requests that the holders of the quota that answered would
admit at once, and answered is how many of the holders answered. The first daemon of
--daemons that answers asks the holders; nothing is taken. They are asked for at most
100 quotas, the first ones of the list; name organisations to ask for others.`,
		Example: `  cactusctl organisations list
  cactusctl organisations list acme other --output json`,
		RunE: func(com *cobra.Command, names []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			tree, _, err := fetchTree(ap, cli, 0)
			if err != nil {
				return err
			}
			ctx, cancel := ap.context()
			defer cancel()
			list, err := selectOrganisations(listOrganisations(tree, fetchUse(ctx, cli)), names)
			if err != nil {
				return &process.ExitError{Code: process.ExitUsage, Err: err}
			}
			if err := addQuotas(ctx, com.ErrOrStderr(), cli, list); err != nil {
				fmt.Fprintf(com.ErrOrStderr(), "what the holders of the quotas have is unknown: %v\n", err)
			}
			var rows [][]string
			for _, org := range list {
				left, answered := org.quotaColumns()
				rows = append(rows, []string{org.Name, org.Title, strconv.Itoa(org.Rank), formatNumber(org.Rate), formatNumber(org.Burst), left, answered, strconv.FormatInt(org.Requests, 10), strconv.FormatInt(org.OverQuota, 10), strings.Join(org.Digests, " ")})
			}
			return ap.print(com.OutOrStdout(), list, []string{"name", "title", "rank", "rate", "burst", "left", "answered", "requests", "over quota", "keys"}, rows)
		},
	}
}

// organisationUse counts the requests of an organisation.
type organisationUse struct {
	requests, overQuota int64
}

func listOrganisations(tree *settings.Tree, use map[string]organisationUse) []organisationRow {
	list := []organisationRow{}
	for _, org := range settings.NewResolver(tree).Organisations().All() {
		row := organisationRow{Name: org.Name, Title: org.Title, Rank: org.Rank, Rate: org.Rate, Burst: org.Burst, Requests: use[org.Name].requests, OverQuota: use[org.Name].overQuota, Digests: []string{}}
		for _, digest := range org.Digests {
			row.Digests = append(row.Digests, shortDigest(digest))
		}
		list = append(list, row)
	}
	return list
}

// selectOrganisations returns the organisations with the given names, or all without any.
func selectOrganisations(list []organisationRow, names []string) ([]organisationRow, error) {
	if len(names) == 0 {
		return list, nil
	}
	selected := []organisationRow{}
	for _, name := range names {
		i := slices.IndexFunc(list, func(org organisationRow) bool { return org.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no organisation has the name %q", name)
		}
		selected = append(selected, list[i])
	}
	return selected, nil
}

// addQuotas adds what the holders have of the first maxListedQuotas quotas of a list, and
// reports the number of the others.
func addQuotas(ctx context.Context, notes io.Writer, cli *client.Client, list []organisationRow) error {
	var names []string
	for _, org := range list {
		if org.Rate > 0 {
			names = append(names, org.Name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	if left := len(names) - maxListedQuotas; left > 0 {
		fmt.Fprintf(notes, "the holders of the last %d of %d quotas were not asked; name organisations to ask for them\n", left, len(names))
		names = names[:maxListedQuotas]
	}
	levels, err := cli.Quotas(ctx, names)
	if err != nil {
		return err
	}
	for _, level := range levels {
		for i := range list {
			if list[i].Name == level.Organisation {
				list[i].Quota = &organisationQuota{Left: level.Left, Holders: level.Holders, Answered: level.Answered}
			}
		}
	}
	return nil
}

// quotaColumns returns the columns for what the holders of the quota have left, and how
// many of them answered.
func (or *organisationRow) quotaColumns() (left, answered string) {
	switch {
	case !(or.Rate > 0):
		return "", ""
	case or.Quota == nil:
		return unknownMark, unknownMark
	case or.Quota.Answered == 0:
		left = unknownMark
	default:
		left = formatLeft(or.Quota.Left)
	}
	return left, fmt.Sprintf("%d/%d", or.Quota.Answered, or.Quota.Holders)
}

// fetchUse adds up the counters of all daemons that answer. Without any, the use is 0.
func fetchUse(ctx context.Context, cli *client.Client) map[string]organisationUse {
	sums := make(map[string]organisationUse)
	addresses, err := daemonAddresses(ctx, cli)
	if err != nil {
		return sums
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentCalls)
	for _, address := range addresses {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			dump, err := cli.Dump(callCtx, address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			addUse(sums, dump)
		})
	}
	group.Wait()
	return sums
}

// addUse adds the counters in the dump of a daemon.
func addUse(sums map[string]organisationUse, dump map[string]any) {
	ingress, _ := dump["ingress"].(map[string]any)
	counts, _ := ingress["organisations"].(map[string]any)
	for name, value := range counts {
		entry, _ := value.(map[string]any)
		requests, _ := entry["requests"].(float64)
		overQuota, _ := entry["overQuota"].(float64)
		sum := sums[name]
		sum.requests += int64(requests)
		sum.overQuota += int64(overQuota)
		sums[name] = sum
	}
}

// formatLeft formats a number of tokens.
func formatLeft(tokens float64) string { return strconv.FormatFloat(tokens, 'f', 1, 64) }

func formatNumber(number float64) string { return fmt.Sprintf("%g", number) }
