// Package client calls the operator API of the processes of a fleet.
//
// Usage:
//
//	cli := client.New(client.Config{Keepers: ..., Daemons: ..., Token: ...})
//	result, err := cli.Apply(ctx, payload)      // finds the leader, retries if the outcome is unknown
//	status, err := cli.Status(ctx, address)
package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	genfleet "cactusstream.example/core/gen/fleet"
	fleetclient "cactusstream.example/core/gen/http/fleet/client"
	keepersclient "cactusstream.example/core/gen/http/keepers/client"
	placementclient "cactusstream.example/core/gen/http/placement/client"
	processclient "cactusstream.example/core/gen/http/process/client"
	settingsclient "cactusstream.example/core/gen/http/settings/client"
	genkeepers "cactusstream.example/core/gen/keepers"
	genplacement "cactusstream.example/core/gen/placement"
	genprocess "cactusstream.example/core/gen/process"
	gensettings "cactusstream.example/core/gen/settings"
)

const (
	requestTimeout = 8 * time.Second
	retryInterval  = 200 * time.Millisecond
)

// Config holds the addresses of the processes, the token and the transport.
type Config struct {
	Keepers []string
	Daemons []string
	Token   string
	Scheme  string
	HTTP    *http.Client
}

// Client calls keepers and daemons.
type Client struct {
	cfg Config
}

// authenticatedDoer sends requests with an operator's token.
type authenticatedDoer struct {
	http  *http.Client
	token string
}

// ErrNoAnswer is returned if no process was called, as when no addresses are given.
var ErrNoAnswer = errors.New("none of the processes answered")

// New returns a Client. By default it uses HTTP with a timeout for each request.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: requestTimeout}
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	return &Client{cfg: cfg}
}

// Do adds the token to a request and sends it.
func (au *authenticatedDoer) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+au.token)
	return au.http.Do(req) //nolint:wrapcheck // The caller adds the address.
}

// Apply makes a change of the settings. If the outcome is unknown, it retries with the
// same change id, for which the keepers return the result of the first request.
func (cl *Client) Apply(ctx context.Context, pay *gensettings.ApplyPayload) (*gensettings.ApplyResult, error) {
	return callKeepers(ctx, cl, func(ctx context.Context, address string) (*gensettings.ApplyResult, error) {
		return cl.settings(address).Apply(ctx, pay)
	})
}

// ChangeKeepers makes one step of a membership change of the keeper group.
func (cl *Client) ChangeKeepers(ctx context.Context, pay *genkeepers.ChangePayload) (*genkeepers.ChangeResult, error) {
	return callKeepers(ctx, cl, func(ctx context.Context, address string) (*genkeepers.ChangeResult, error) {
		return cl.keepers(address).Change(ctx, pay)
	})
}

// Daemons returns the configured addresses of daemons.
func (cl *Client) Daemons() []string { return cl.cfg.Daemons }

// Dump returns the state of a process.
func (cl *Client) Dump(ctx context.Context, address string) (map[string]any, error) {
	dump, err := cl.process(address).Dump(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return dump, nil
}

// Explain returns the origin of each effective value of a node.
func (cl *Client) Explain(ctx context.Context, path string) ([]*gensettings.Explanation, error) {
	return callKeepers(ctx, cl, func(ctx context.Context, address string) ([]*gensettings.Explanation, error) {
		return cl.settings(address).Explain(ctx, &gensettings.ExplainPayload{Path: path})
	})
}

// KeeperStatus returns the state of the keeper group as seen by one keeper.
func (cl *Client) KeeperStatus(ctx context.Context, address string) (*genkeepers.StatusResult, error) {
	status, err := cl.keepers(address).Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return status, nil
}

// Keepers returns the configured addresses of keepers.
func (cl *Client) Keepers() []string { return cl.cfg.Keepers }

// Log returns the accepted changes of the settings, newest first.
func (cl *Client) Log(ctx context.Context, pay *gensettings.LogPayload) ([]*gensettings.Change, error) {
	return callKeepers(ctx, cl, func(ctx context.Context, address string) ([]*gensettings.Change, error) {
		return cl.settings(address).Log(ctx, pay)
	})
}

// Members returns the daemons of the fleet as seen by the first configured daemon that
// answers.
func (cl *Client) Members(ctx context.Context) ([]*genfleet.Member, error) {
	return callDaemons(ctx, cl, func(ctx context.Context, address string) ([]*genfleet.Member, error) {
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

// Quotas returns what the holders of the quotas of some organisations have, as the first
// configured daemon that answers finds out.
func (cl *Client) Quotas(ctx context.Context, organisations []string) ([]*genplacement.QuotaLevel, error) {
	return callDaemons(ctx, cl, func(ctx context.Context, address string) ([]*genplacement.QuotaLevel, error) {
		return cl.placement(address).Quotas(ctx, &genplacement.QuotasPayload{Organisations: organisations})
	})
}

// Status returns the status of a process.
func (cl *Client) Status(ctx context.Context, address string) (*genprocess.StatusResult, error) {
	status, err := cl.process(address).Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return status, nil
}

// Tree returns the settings tree of a version. 0 requests the newest one, which the
// keeper confirms with a quorum.
func (cl *Client) Tree(ctx context.Context, version uint64) (*gensettings.TreeResult, error) {
	return callKeepers(ctx, cl, func(ctx context.Context, address string) (*gensettings.TreeResult, error) {
		return cl.settings(address).Tree(ctx, &gensettings.TreePayload{Version: version, Fresh: version == 0})
	})
}

// Upstreams returns the upstreams of the fleet as seen by the first configured daemon
// that answers.
func (cl *Client) Upstreams(ctx context.Context) ([]*genfleet.Upstream, error) {
	return callDaemons(ctx, cl, func(ctx context.Context, address string) ([]*genfleet.Upstream, error) {
		return cl.fleet(address).Upstreams(ctx)
	})
}

// Where returns where the first configured daemon that answers would send a request. An
// error of that daemon about the request is final.
func (cl *Client) Where(ctx context.Context, pay *genplacement.WherePayload) (*genplacement.WhereResult, error) {
	type answer struct {
		result *genplacement.WhereResult
		err    error
	}
	ans, err := callDaemons(ctx, cl, func(ctx context.Context, address string) (answer, error) {
		result, err := cl.placement(address).Where(ctx, pay)
		var refused *goa.ServiceError
		if errors.As(err, &refused) && (refused.Name == "noRoute" || refused.Name == "unknownOrganisation" || refused.Name == "badKey") {
			return answer{err: fmt.Errorf("%s: %w", address, err)}, nil
		}
		return answer{result: result}, err
	})
	if err != nil {
		return nil, err
	}
	return ans.result, ans.err
}

func (cl *Client) doer() goahttp.Doer {
	return &authenticatedDoer{http: cl.cfg.HTTP, token: cl.cfg.Token}
}

func (cl *Client) fleet(address string) *genfleet.Client {
	cli := fleetclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genfleet.NewClient(cli.Members(), cli.Upstreams())
}

func (cl *Client) keepers(address string) *genkeepers.Client {
	cli := keepersclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genkeepers.NewClient(cli.Status(), cli.Change())
}

func (cl *Client) placement(address string) *genplacement.Client {
	cli := placementclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genplacement.NewClient(cli.Where(), cli.Quotas())
}

func (cl *Client) process(address string) *genprocess.Client {
	cli := processclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genprocess.NewClient(cli.Status(), cli.Dump(), cli.Metrics())
}

func (cl *Client) settings(address string) *gensettings.Client {
	cli := settingsclient.NewClient(cl.cfg.Scheme, address, cl.doer(), goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return gensettings.NewClient(cli.Apply(), cli.Tree(), cli.Log(), cli.Explain())
}

// callDaemons calls the configured daemons one after another until one answers.
func callDaemons[T any](ctx context.Context, cl *Client, call func(context.Context, string) (T, error)) (T, error) {
	var zero T
	lastErr := ErrNoAnswer
	for _, address := range cl.cfg.Daemons {
		res, err := call(ctx, address)
		if err == nil {
			return res, nil
		}
		lastErr = fmt.Errorf("%s: %w", address, err)
	}
	return zero, lastErr
}

// callKeepers calls the keepers, and the leader that they name, until one returns a
// final result or the context ends.
func callKeepers[T any](ctx context.Context, cl *Client, call func(context.Context, string) (T, error)) (T, error) {
	var zero T
	lastErr := ErrNoAnswer
	for {
		leader := ""
		for _, address := range cl.cfg.Keepers {
			res, err := call(ctx, address)
			if err == nil || isFinal(err) {
				return res, err
			}
			lastErr = fmt.Errorf("%s: %w", address, err)
			if leader = leaderOf(err); leader != "" {
				break
			}
		}
		if leader != "" {
			res, err := call(ctx, leader)
			if err == nil || isFinal(err) {
				return res, err
			}
			lastErr = fmt.Errorf("%s: %w", leader, err)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return zero, lastErr
		}
	}
}

// isFinal reports whether an error is a decision of the keepers, so that a retry would
// return the same.
func isFinal(err error) bool {
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

// leaderOf returns the address of the leader that a keeper named in an error, or "".
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
