// Package process holds what every program of the fleet does alike: its own
// settings, its logger, its operators' listener and its graceful stop.
//
// Usage:
//
//	var cfg process.Config
//	err := configfile.Load(path, append(cfg.Keys(), ownKeys...))
//	log, err := cfg.Logger(os.Stderr)
//	srv := process.NewServer(cfg.OperatorAddress, handler, tlsConfig)
//	err = srv.Start()
//	process.WaitForStop(ctx)
//	err = srv.Shutdown(ctx)
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
	ExitCut    = 3
)

const (
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
)

// Version is the version of the programs; the build sets it.
var Version = "0.1.0-dev"

// Config is the settings that every long-running program has.
type Config struct {
	ID              string
	Zone            string
	LogFormat       string
	LogLevel        string
	OperatorAddress string
	// PeerAddress is where other processes reach this one, and PeerListen where it
	// listens if that is another address, as behind a forwarder; "" is the same.
	PeerAddress    string
	PeerListen     string
	FleetTokens    string
	OperatorTokens string
	TLSCertificate string
	TLSKey         string
	TLSAuthority   string
	StopBound      time.Duration
}

// ExitError is an error with the exit code that it leads to.
type ExitError struct {
	Code int
	Err  error
}

// Server is one HTTP listener.
type Server struct {
	address  string
	http     *http.Server
	listener *net.TCPListener
}

// Error returns the text of the error inside.
func (ex *ExitError) Error() string {
	return ex.Err.Error()
}

// Unwrap returns the error inside.
func (ex *ExitError) Unwrap() error {
	return ex.Err
}

// ExitCode returns the exit code that an error leads to.
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

// PeerListener returns the address that the process listens on for its peers.
func (co *Config) PeerListener() string {
	return cmp.Or(co.PeerListen, co.PeerAddress)
}

// Keys returns the keys of the common settings, with defaults set.
func (co *Config) Keys() []configfile.Key {
	co.LogFormat = "json"
	co.LogLevel = "info"
	co.StopBound = 20 * time.Second
	return []configfile.Key{
		configfile.String("process", "id", &co.ID, "a name, unique in the fleet", configfile.Required),
		configfile.String("process", "zone", &co.Zone, "the name of the availability zone", configfile.Required),
		configfile.Duration("process", "stopBound", &co.StopBound, time.Second, 10*time.Minute),
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
	}
}

// Logger returns the logger that the settings ask for.
func (co *Config) Logger(out io.Writer) (*events.Logger, error) {
	return events.NewLogger(co.LogFormat, co.LogLevel, out)
}

// OpenTokens reads the fleet's and the operators' tokens.
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

// TLS returns the TLS settings of the process, or nil when it uses none.
func (co *Config) TLS() (*auth.TLS, error) {
	if co.TLSCertificate == "" && co.TLSKey == "" && co.TLSAuthority == "" {
		return nil, nil
	}
	return auth.OpenTLS(co.TLSCertificate, co.TLSKey, co.TLSAuthority)
}

// NewServer returns a Server; a nil TLS config means plain HTTP.
func NewServer(address string, handler http.Handler, cfg *tls.Config) *Server {
	return &Server{address: address, http: &http.Server{
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		TLSConfig:         cfg,
	}}
}

// Close closes the listener and every connection.
func (se *Server) Close() {
	_ = se.http.Close()
}

// Shutdown closes the listener and waits until every request was answered.
func (se *Server) Shutdown(ctx context.Context) error {
	if se.listener != nil {
		drain(se.listener)
	}
	if err := se.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop %s: %w", se.address, err)
	}
	return nil
}

// Start listens and serves in the background.
func (se *Server) Start() error {
	lis, err := net.Listen("tcp", se.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	se.listener, _ = lis.(*net.TCPListener)
	if se.http.TLSConfig != nil {
		lis = tls.NewListener(lis, se.http.TLSConfig)
	}
	go func() { _ = se.http.Serve(lis) }()
	return nil
}

// WaitForStop returns at SIGTERM, SIGINT or the end of the context. A second
// signal then ends the process at once with ExitCut, after cut was called.
func WaitForStop(ctx context.Context, cut func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-ctx.Done():
		return
	}
	go func() {
		<-signals
		cut()
		os.Exit(ExitCut)
	}()
}
