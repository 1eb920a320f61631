// Package cmd holds the command line of cactusctl, one file a subcommand.
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

// exitLost is the exit code of a change that lost a race.
const exitLost = 4

// app is what the subcommands share.
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
		Short: "Edit and explain the settings of a cactusstream fleet, and look at it",
		Long: `cactusctl edits and explains the settings of a fleet, shows its keepers, daemons
and upstreams, and asks any process for its state.

The flags --keepers, --daemons, --token-file and --authority may be given by the
environment variables CACTUS_KEEPERS, CACTUS_DAEMONS, CACTUS_TOKEN_FILE and
CACTUS_AUTHORITY.

Exit codes: 0 done; 1 failed; 2 wrong use; 4 the change lost a race.`,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if ap.output != "table" && ap.output != "json" {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("output %q: want table or json", ap.output)}
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&ap.keepers, "keepers", listFromEnv("CACTUS_KEEPERS"), "operators' addresses of keepers")
	flags.StringSliceVar(&ap.daemons, "daemons", listFromEnv("CACTUS_DAEMONS"), "operators' addresses of some daemons")
	flags.StringVar(&ap.tokenFile, "token-file", os.Getenv("CACTUS_TOKEN_FILE"), "file with the operators' token")
	flags.StringVar(&ap.authority, "authority", os.Getenv("CACTUS_AUTHORITY"), "PEM file of the fleet's certificate authority, when it uses TLS")
	flags.StringVar(&ap.output, "output", "table", "table or json")
	flags.DurationVar(&ap.timeout, "timeout", 15*time.Second, "how long to try")
	root.AddCommand(newClaimsCmd(ap), newDumpCmd(ap), newExplainCmd(ap), newKeepersCmd(ap), newMetricsCmd(ap), newSettingsCmd(ap), newStatusCmd(ap), newUpstreamsCmd(ap))
	return root
}

// client returns the client that the flags ask for.
func (ap *app) client() (*client.Client, error) {
	cfg := client.Config{Keepers: ap.keepers, Daemons: ap.daemons}
	if ap.tokenFile != "" {
		data, err := os.ReadFile(ap.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("token file: %w", err)
		}
		fields := strings.Fields(string(data))
		if len(fields) == 0 {
			return nil, fmt.Errorf("%s: holds no token", ap.tokenFile)
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

func (ap *app) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ap.timeout)
}

// describe adds to an error what its type holds besides the text.
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

func useTLS(cfg *client.Config, authority string) error {
	pem, err := os.ReadFile(authority)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s: holds no certificate", authority)
	}
	cfg.Scheme = "https"
	cfg.HTTP = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}}
	return nil
}
