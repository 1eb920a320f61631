package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"cactusstream.example/cactusctl/internal/client"
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
}

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
		Use:   "list",
		Short: "List the organisations with their ranks, limits, use and keys",
		Long: `List prints the organisations of the newest settings. The rate is in requests a
second; 0 means no limit. Requests and those over the quota are counted by the
daemons that answer, each since its start. Keys are the first characters of the
digests.`,
		Example: "  cactusctl organisations list",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
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
			list := listOrganisations(tree, fetchUse(ctx, cli))
			var rows [][]string
			for _, org := range list {
				rows = append(rows, []string{org.Name, org.Title, strconv.Itoa(org.Rank), formatNumber(org.Rate), formatNumber(org.Burst), strconv.FormatInt(org.Requests, 10), strconv.FormatInt(org.OverQuota, 10), strings.Join(org.Digests, " ")})
			}
			return ap.print(com.OutOrStdout(), list, []string{"name", "title", "rank", "rate", "burst", "requests", "over quota", "keys"}, rows)
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
			row.Digests = append(row.Digests, digest.String()[:digestPrefixLength])
		}
		list = append(list, row)
	}
	return list
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

func formatNumber(number float64) string { return fmt.Sprintf("%g", number) }
