// Package client asks the processes of a fleet over their operators' services.
//
// Usage:
//
//	cli := client.New(client.Config{Keepers: ..., Daemons: ..., Token: ...})
//	result, err := cli.Apply(ctx, payload)      // finds the leader, resends when unknown
//	status, err := cli.Status(ctx, address)
package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	genfleet "cactusstream.example/core/gen/fleet"
	fleetclient "cactusstream.example/core/gen/http/fleet/client"
	keepersclient "cactusstream.example/core/gen/http/keepers/client"
	processclient "cactusstream.example/core/gen/http/process/client"
	settingsclient "cactusstream.example/core/gen/http/settings/client"
	genkeepers "cactusstream.example/core/gen/keepers"
	genprocess "cactusstream.example/core/gen/process"
	gensettings "cactusstream.example/core/gen/settings"
)

const (
	requestTimeout = 8 * time.Second
	retryEvery     = 200 * time.Millisecond
)

// Config is whom to ask and how.
type Config struct {
	Keepers []string
	Daemons []string
	Token   string
	Scheme  string
	HTTP    *http.Client
}

// Client asks keepers and daemons.
type Client struct {
	cfg Config
}

type signedDoer struct {
	http  *http.Client
	token string
}

// ErrNobody reports that none of the processes answered.
var ErrNobody = errors.New("none of the processes answered")

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: requestTimeout}
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	return &Client{cfg: cfg}
}

// Do sends a request with the operator's credential.
func (si *signedDoer) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+si.token)
	return si.http.Do(req) //nolint:wrapcheck // The caller adds the address.
}

// Apply makes a change. A change whose fate is not known is sent again with
// the same id, which gets the first answer.
func (cl *Client) Apply(ctx context.Context, pay *gensettings.ApplyPayload) (*gensettings.ApplyResult, error) {
	return askKeepers(ctx, cl, func(ctx context.Context, address string) (*gensettings.ApplyResult, error) {
		return cl.settings(address).Apply(ctx, pay)
	})
}

// ChangeKeepers makes one step of a change of the keepers' group.
func (cl *Client) ChangeKeepers(ctx context.Context, pay *genkeepers.ChangePayload) (*genkeepers.ChangeResult, error) {
	return askKeepers(ctx, cl, func(ctx context.Context, address string) (*genkeepers.ChangeResult, error) {
		return cl.keepers(address).Change(ctx, pay)
	})
}

// Daemons returns the addresses of the daemons that were named.
func (cl *Client) Daemons() []string { return cl.cfg.Daemons }

// Dump returns the state of a process.
func (cl *Client) Dump(ctx context.Context, address string) (map[string]any, error) {
	dump, err := cl.process(address).Dump(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return dump, nil
}

// Explain says where the effective values of a node come from.
func (cl *Client) Explain(ctx context.Context, path string) ([]*gensettings.Explanation, error) {
	return askKeepers(ctx, cl, func(ctx context.Context, address string) ([]*gensettings.Explanation, error) {
		return cl.settings(address).Explain(ctx, &gensettings.ExplainPayload{Path: path})
	})
}

// KeeperStatus returns the group as one keeper sees it.
func (cl *Client) KeeperStatus(ctx context.Context, address string) (*genkeepers.StatusResult, error) {
	status, err := cl.keepers(address).Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return status, nil
}

// Keepers returns the addresses of the keepers that were named.
func (cl *Client) Keepers() []string { return cl.cfg.Keepers }

// Log returns accepted changes, newest first.
func (cl *Client) Log(ctx context.Context, pay *gensettings.LogPayload) ([]*gensettings.Change, error) {
	return askKeepers(ctx, cl, func(ctx context.Context, address string) ([]*gensettings.Change, error) {
		return cl.settings(address).Log(ctx, pay)
	})
}

// Members returns the daemons as the first named daemon that answers sees them.
func (cl *Client) Members(ctx context.Context) ([]*genfleet.Member, error) {
	return askDaemons(ctx, cl, func(ctx context.Context, address string) ([]*genfleet.Member, error) {
		return cl.fleet(address).Members(ctx)
	})
}

// Metrics returns the metrics of a process.
func (cl *Client) Metrics(ctx context.Context, address string) (map[string]any, error) {
	metrics, err := cl.process(address).Metrics(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return metrics, nil
}

// Status returns the status of a process.
func (cl *Client) Status(ctx context.Context, address string) (*genprocess.StatusResult, error) {
	status, err := cl.process(address).Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return status, nil
}

// Tree returns the tree at a version; 0 is the newest, which a quorum confirms.
func (cl *Client) Tree(ctx context.Context, version uint64) (*gensettings.TreeResult, error) {
	return askKeepers(ctx, cl, func(ctx context.Context, address string) (*gensettings.TreeResult, error) {
		return cl.settings(address).Tree(ctx, &gensettings.TreePayload{Version: version, Fresh: version == 0})
	})
}

// Upstreams returns the endpoints as the first named daemon that answers sees them.
func (cl *Client) Upstreams(ctx context.Context) ([]*genfleet.Upstream, error) {
	return askDaemons(ctx, cl, func(ctx context.Context, address string) ([]*genfleet.Upstream, error) {
		return cl.fleet(address).Upstreams(ctx)
	})
}

func (cl *Client) doer() goahttp.Doer {
	return &signedDoer{http: cl.cfg.HTTP, token: cl.cfg.Token}
}

func (cl *Client) fleet(address string) *genfleet.Client {
	cli := fleetclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genfleet.NewClient(cli.Members(), cli.Upstreams())
}

func (cl *Client) keepers(address string) *genkeepers.Client {
	cli := keepersclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genkeepers.NewClient(cli.Status(), cli.Change())
}

func (cl *Client) process(address string) *genprocess.Client {
	cli := processclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genprocess.NewClient(cli.Status(), cli.Dump(), cli.Metrics())
}

func (cl *Client) settings(address string) *gensettings.Client {
	cli := settingsclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return gensettings.NewClient(cli.Apply(), cli.Tree(), cli.Log(), cli.Explain())
}

// askDaemons asks the named daemons one after another until one answers.
func askDaemons[T any](ctx context.Context, cl *Client, ask func(context.Context, string) (T, error)) (T, error) {
	var none T
	failed := ErrNobody
	for _, address := range cl.cfg.Daemons {
		res, err := ask(ctx, address)
		if err == nil {
			return res, nil
		}
		failed = fmt.Errorf("%s: %w", address, err)
	}
	return none, failed
}

// askKeepers asks keepers until one decides, following them to their leader.
func askKeepers[T any](ctx context.Context, cl *Client, ask func(context.Context, string) (T, error)) (T, error) {
	var none T
	failed := ErrNobody
	for {
		leader := ""
		for _, address := range cl.cfg.Keepers {
			res, err := ask(ctx, address)
			if err == nil || isDecision(err) {
				return res, err
			}
			failed = fmt.Errorf("%s: %w", address, err)
			if leader = leaderOf(err); leader != "" {
				break
			}
		}
		if leader != "" {
			res, err := ask(ctx, leader)
			if err == nil || isDecision(err) {
				return res, err
			}
			failed = fmt.Errorf("%s: %w", leader, err)
		}
		select {
		case <-time.After(retryEvery):
		case <-ctx.Done():
			return none, failed
		}
	}
}

// isDecision says whether an error is the keepers' answer, so that asking
// again would change nothing.
func isDecision(err error) bool {
	var conflict *gensettings.ConflictError
	var refused *gensettings.RefusedError
	var refusedKeepers *genkeepers.RefusedError
	switch {
	case errors.As(err, &conflict):
		return true
	case errors.As(err, &refused):
		return refused.Name == "invalid"
	case errors.As(err, &refusedKeepers):
		return refusedKeepers.Outcome == "notRun"
	}
	return false
}

func leaderOf(err error) string {
	var settings *gensettings.NotLeaderError
	var keepers *genkeepers.NotLeaderError
	switch {
	case errors.As(err, &settings):
		return settings.Leader
	case errors.As(err, &keepers):
		return keepers.Leader
	}
	return ""
}
