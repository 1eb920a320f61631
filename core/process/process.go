// Package process holds what all programs of the fleet have in common: the
// configuration of a process, its logger, its operator API and graceful shutdown.
//
// Usage:
//
//	var cfg process.Config
//	err := configfile.Load(path, append(cfg.Keys(), ownKeys...))
//	log, err := cfg.Logger(os.Stderr)
//	srv := process.NewServer(cfg.OperatorAddress, handler, tlsConfig)
//	err = srv.Start()
//	process.WaitForStop(ctx, onForcedExit)
//	err = srv.Shutdown(ctx)
//	err = guard.Wait(ctx) // last, once all servers with this Guard are shut down
package process

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/configfile"
	"cactusstream.example/core/events"
)

// Exit codes of every program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	// ExitForced means that the shutdown was forced or timed out and may have
	// aborted requests.
	ExitForced = 3
)

const (
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
)

// Version is the version of the programs. The build sets it.
var Version = "0.1.0-dev"

// Config holds the configuration that every long-running program has.
type Config struct {
	ID              string
	Zone            string
	LogFormat       string
	LogLevel        string
	OperatorAddress string
	// PeerAddress is the address that other processes connect to. PeerListen is the
	// address to listen on if it differs, as behind a forwarder; "" means PeerAddress.
	PeerAddress    string
	PeerListen     string
	FleetTokens    string
	OperatorTokens string
	TLSCertificate string
	TLSKey         string
	TLSAuthority   string
	// StopTimeout limits the duration of a graceful shutdown.
	StopTimeout time.Duration
	Limits      Limits
}

// ExitError is an error with the exit code that the program returns for it.
type ExitError struct {
	Code int
	Err  error
}

// Server is an HTTP server on one address.
type Server struct {
	address  string
	http     *http.Server
	listener *net.TCPListener
	// served is closed when the server accepts no more connections.
	served   chan struct{}
	conns    *connTracker
	guard    *Guard
	draining atomic.Bool
	closed   atomic.Bool
}

// Error returns the text of the wrapped error.
func (ex *ExitError) Error() string {
	return ex.Err.Error()
}

// Unwrap returns the wrapped error.
func (ex *ExitError) Unwrap() error {
	return ex.Err
}

// ExitCode returns the exit code for an error. Faults in a configuration file count
// as invalid usage.
func ExitCode(err error) int {
	var exit *ExitError
	var faults configfile.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &faults):
		return ExitUsage
	}
	return ExitFailed
}

// PeerListenAddress returns the address on which the process listens for its peers.
func (co *Config) PeerListenAddress() string {
	return cmp.Or(co.PeerListen, co.PeerAddress)
}

// Keys sets the defaults and returns the keys of the common configuration.
func (co *Config) Keys() []configfile.Key {
	co.LogFormat = "json"
	co.LogLevel = "info"
	co.StopTimeout = 20 * time.Second
	return append(co.Limits.Keys(), []configfile.Key{
		configfile.String("process", "id", &co.ID, "a name, unique in the fleet", configfile.Required),
		configfile.String("process", "zone", &co.Zone, "the name of the availability zone", configfile.Required),
		configfile.Duration("process", "stopBound", &co.StopTimeout, time.Second, 10*time.Minute),
		configfile.Address("listen", "operators", &co.OperatorAddress, "an IP address and port", configfile.Required),
		configfile.Address("listen", "peers", &co.PeerAddress, "an IP address and port", configfile.Required),
		configfile.Address("listen", "peersListen", &co.PeerListen, "an IP address and port"),
		configfile.Choice("log", "format", &co.LogFormat, []string{"json", "text"}),
		configfile.Choice("log", "level", &co.LogLevel, []string{"debug", "info", "warning", "error"}),
		configfile.File("credentials", "fleetTokens", &co.FleetTokens, "the path of a token file", configfile.Required),
		configfile.File("credentials", "operatorTokens", &co.OperatorTokens, "the path of a token file", configfile.Required),
		configfile.File("tls", "certificate", &co.TLSCertificate, "the path of a PEM file"),
		configfile.File("tls", "key", &co.TLSKey, "the path of a PEM file"),
		configfile.File("tls", "authority", &co.TLSAuthority, "the path of a PEM file"),
	}...)
}

// Logger returns a logger with the configured format and level.
func (co *Config) Logger(out io.Writer) (*events.Logger, error) {
	return events.NewLogger(co.LogFormat, co.LogLevel, out)
}

// OpenTokens reads the token files of the fleet and of the operators.
func (co *Config) OpenTokens() (fleet, operators *auth.Tokens, err error) {
	fleet, err = auth.OpenTokens(co.FleetTokens)
	if err != nil {
		return nil, nil, fmt.Errorf("fleet tokens: %w", err)
	}
	operators, err = auth.OpenTokens(co.OperatorTokens)
	if err != nil {
		return nil, nil, fmt.Errorf("operator tokens: %w", err)
	}
	return fleet, operators, nil
}

// TLS returns the TLS configuration of the process, or nil if it uses plain HTTP.
func (co *Config) TLS() (*auth.TLS, error) {
	if co.TLSCertificate == "" && co.TLSKey == "" && co.TLSAuthority == "" {
		return nil, nil
	}
	return auth.OpenTLS(co.TLSCertificate, co.TLSKey, co.TLSAuthority)
}

// NewServer returns a Server. A nil TLS configuration means plain HTTP.
func NewServer(address string, handler http.Handler, cfg *tls.Config) *Server {
	se := &Server{address: address, conns: newConnTracker()}
	se.http = &http.Server{
		Handler:           se.closeWhileDraining(handler),
		ConnState:         se.conns.setState,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		TLSConfig:         cfg,
	}
	return se
}

// Guard makes the server keep within the limits of the process. Call it before Start. The
// handler may charge bodies to the connection itself if it uses bodybuffer.AccountOf;
// otherwise they are charged as they are read.
func (se *Server) Guard(gu *Guard, handlerCharges bool) *Server {
	se.guard = gu
	track := se.http.ConnState
	se.http.ConnState = func(con net.Conn, state http.ConnState) {
		track(con, state)
		setGuardState(con, state)
	}
	se.http.ConnContext = withAccount
	se.http.Handler = limitAhead(se.http.Handler)
	if !handlerCharges {
		se.http.Handler = chargeBodies(se.http.Handler)
	}
	se.http.Handler = gu.logPanics(se.http.Handler)
	return se
}

// closeWhileDraining makes the responses end their connections once Drain was called.
func (se *Server) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if se.draining.Load() {
			wr.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(wr, req)
	})
}

// Close closes the listener and all connections immediately.
func (se *Server) Close() {
	se.closed.Store(true)
	_ = se.http.Close()
}

// Drain makes all further responses end their connections.
func (se *Server) Drain() {
	se.draining.Store(true)
}

// Shutdown closes the listener, and waits until all requests have been
// answered or the context ends. Peers may still read their answers then; see Guard.Wait.
func (se *Server) Shutdown(ctx context.Context) error {
	se.Drain()
	if se.listener != nil {
		closeListener(ctx, se.listener, se.served)
		// Every accepted connection is known only once Serve has returned.
		select {
		case <-se.served:
		case <-ctx.Done():
		}
		// Once its Shutdown has begun, net/http closes a connection without a response
		// when it has read a request from it.
		se.conns.waitIdle(ctx)
		se.conns.closeSilent()
	}
	if err := se.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down server on %s: %w", se.address, err)
	}
	return nil
}

// ShutdownAll shuts several servers down at the same time.
func ShutdownAll(ctx context.Context, servers ...*Server) error {
	errs := make([]error, len(servers))
	var all sync.WaitGroup
	for i, srv := range servers {
		all.Go(func() { errs[i] = srv.Shutdown(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Start opens the listener and serves requests in the background.
func (se *Server) Start() error {
	lis, err := net.Listen("tcp", se.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	se.listener, _ = lis.(*net.TCPListener)
	lis = se.guard.listener(lis, se.http.TLSConfig, &se.closed)
	se.served = make(chan struct{})
	go func() {
		defer close(se.served)
		_ = se.http.Serve(lis)
	}()
	return nil
}

// CatchStop keeps SIGTERM and SIGINT from ending the process, and returns the channel
// that receives them. A program calls it before anything else, so that a signal during
// its start stops it like a later one.
var CatchStop = sync.OnceValue(func() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
})

// WaitForStop blocks until SIGTERM, SIGINT or the end of the context. If it returned
// because of a signal, a later SIGINT calls onForcedExit and then ends the process
// immediately with ExitForced. A later SIGTERM changes nothing: process managers may
// repeat it, and end a process that stops too slowly with SIGKILL.
func WaitForStop(ctx context.Context, onForcedExit func()) {
	signals := CatchStop()
	select {
	case <-signals:
	case <-ctx.Done():
		return
	}
	go func() {
		waitForInterrupt(signals)
		onForcedExit()
		os.Exit(ExitForced)
	}()
}

func waitForInterrupt(signals <-chan os.Signal) {
	for <-signals != os.Interrupt {
	}
}
