// Package cmd implements the command line of cactusctl, with one file per subcommand.
package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/process"
)

// exitConflict is the exit code for a change that conflicts with a concurrent change.
const exitConflict = 4

// app holds the global flags.
type app struct {
	keepers   []string
	daemons   []string
	tokenFile string
	authority string
	output    string
	timeout   time.Duration
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return process.Execute(newRootCmd(), args, stdout, stderr, describe)
}

func newRootCmd() *cobra.Command {
	ap := &app{}
	root := &cobra.Command{
		Use:   "cactusctl",
		Short: "Manage the settings of a cactusstream fleet and inspect its processes",
		Long: `cactusctl edits and explains the settings of a fleet, lists its keepers, daemons
and upstreams, and prints the state of any process.

The defaults of the flags --keepers, --daemons, --token-file and --authority come
from the environment variables CACTUS_KEEPERS, CACTUS_DAEMONS, CACTUS_TOKEN_FILE
and CACTUS_AUTHORITY.

Exit codes: 0 success; 1 failure; 2 invalid usage or configuration; 4 conflict with
a concurrent change.`,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if ap.output != "table" && ap.output != "json" {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("output %q: want table or json", ap.output)}
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&ap.keepers, "keepers", listFromEnv("CACTUS_KEEPERS"), "operator addresses of the keepers")
	flags.StringSliceVar(&ap.daemons, "daemons", listFromEnv("CACTUS_DAEMONS"), "operator addresses of one or more daemons")
	flags.StringVar(&ap.tokenFile, "token-file", os.Getenv("CACTUS_TOKEN_FILE"), "file with an operator token")
	flags.StringVar(&ap.authority, "authority", os.Getenv("CACTUS_AUTHORITY"), "PEM file with the certificate authority of the fleet; enables TLS")
	flags.StringVar(&ap.output, "output", "table", "output format: table or json")
	flags.DurationVar(&ap.timeout, "timeout", 15*time.Second, "time limit for each step of the command")
	root.AddCommand(newClaimsCmd(ap), newDumpCmd(ap), newExplainCmd(ap), newKeepersCmd(ap), newMetricsCmd(ap), newOrganisationsCmd(ap), newSettingsCmd(ap), newStatusCmd(ap), newUpstreamsCmd(ap), newWhereCmd(ap))
	return root
}

// client returns a client for the processes that the flags name.
func (ap *app) client() (*client.Client, error) {
	cfg := client.Config{Keepers: ap.keepers, Daemons: ap.daemons}
	if ap.tokenFile != "" {
		data, err := os.ReadFile(ap.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("token file: %w", err)
		}
		fields := strings.Fields(string(data))
		if len(fields) == 0 {
			return nil, fmt.Errorf("%s: contains no token", ap.tokenFile)
		}
		cfg.Token = fields[0]
	}
	if ap.authority != "" {
		if err := useTLS(&cfg, ap.authority); err != nil {
			return nil, err
		}
	}
	return client.New(cfg), nil
}

// context returns a context that ends after the time in the flag --timeout.
func (ap *app) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ap.timeout)
}

// describe formats an error for the user. It adds the details of errors that the
// keepers return.
func describe(err error) string {
	var refused *gensettings.RefusedError
	var conflict *gensettings.ConflictError
	switch {
	case errors.As(err, &refused):
		return strings.Join(append([]string{refused.Message + " (" + refused.Outcome + ")"}, refused.Faults...), "\n  ")
	case errors.As(err, &conflict):
		text := conflict.Message
		if lost := conflict.LostTo; lost != nil {
			text += fmt.Sprintf("\n  lost to version %d, change %s by %s at %s: %s", lost.Version, lost.ID, lost.Author, lost.Time, lost.Reason)
		}
		return text
	}
	return err.Error()
}

func listFromEnv(name string) []string {
	if text := os.Getenv(name); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// useTLS makes a client use HTTPS and trust only the authority in a PEM file.
func useTLS(cfg *client.Config, authority string) error {
	pem, err := os.ReadFile(authority)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s: contains no certificate", authority)
	}
	cfg.Scheme = "https"
	cfg.HTTP = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}}
	return nil
}
