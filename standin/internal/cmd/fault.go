package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cactusstream.example/core/process"
	"cactusstream.example/standin/internal/upstream"
)

const controlTimeout = 5 * time.Second

func newFaultCmd() *cobra.Command {
	fault := upstream.Fault{}
	com := &cobra.Command{
		Use:   "fault CONTROL-ADDRESS KIND",
		Short: "Set the fault of a running simulated upstream",
		Long:  fmt.Sprintf("Fault injects a fault into a running simulated upstream. The kind none ends it. Kinds: %v.", upstream.FaultKinds()),
		Example: `  standin fault 127.0.0.21:9101 stall
  standin fault 127.0.0.21:9101 error --share 0.1
  standin fault 127.0.0.21:9101 slow --factor 5 --flap 3s
  standin fault 127.0.0.21:9101 none`,
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			fault.Kind = upstream.FaultKind(args[1])
			if err := fault.Check(); err != nil {
				return &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("fault: %w", err)}
			}
			return sendFault(args[0], fault)
		},
	}
	com.Flags().Float64Var(&fault.Share, "share", 1, "fraction of affected requests, from 0 to 1")
	com.Flags().Float64Var(&fault.Factor, "factor", 5, "latency multiplier of the kind slow")
	com.Flags().DurationVar(&fault.Flap, "flap", 0, "switch the fault on and off after each interval of this length; 0 leaves it on")
	return com
}

func newCountsCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "counts CONTROL-ADDRESS...",
		Short:   "Print the counters of running simulated upstreams as JSON",
		Example: "  standin counts 127.0.0.21:9101",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(com *cobra.Command, args []string) error {
			client := &http.Client{Timeout: controlTimeout}
			for _, address := range args {
				resp, err := client.Get("http://" + address + "/counts")
				if err != nil {
					return fmt.Errorf("counts: %w", err)
				}
				_, err = io.Copy(com.OutOrStdout(), resp.Body)
				_ = resp.Body.Close()
				if err != nil {
					return fmt.Errorf("counts: %w", err)
				}
			}
			return nil
		},
	}
}

func sendFault(address string, fault upstream.Fault) error {
	data, err := json.Marshal(fault)
	if err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	client := &http.Client{Timeout: controlTimeout}
	resp, err := client.Post("http://"+address+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("fault: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("fault: %s", strings.TrimSpace(string(text)))
	}
	return nil
}
