package process

import (
	"context"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"

	processserver "cactusstream.example/core/gen/http/process/server"
	genprocess "cactusstream.example/core/gen/process"

	"cactusstream.example/core/auth"
	"cactusstream.example/core/metrics"
)

const (
	maxOperatorBodyBytes = 16 << 20
	// maxQueryParameters limits the parameters of a query, which the goa services parse.
	// No method has more than a few.
	maxQueryParameters = 100
)

// Dump returns the state of a process, keyed by component.
type Dump func() map[string]any

// Status returns the status of a process.
type Status func() *genprocess.StatusResult

// OperatorAPI serves the operator API: goa services, and the metrics in the
// Prometheus text format. Every request requires an operator's token.
type OperatorAPI struct {
	mux    goahttp.ResolverMuxer
	http   *http.ServeMux
	tokens *auth.Tokens
}

type processService struct {
	status  Status
	dump    Dump
	metrics *metrics.Registry
}

// NewOperatorAPI returns an OperatorAPI with the services that every process has:
// status, dump and metrics.
func NewOperatorAPI(tokens *auth.Tokens, status Status, dump Dump, reg *metrics.Registry) *OperatorAPI {
	op := &OperatorAPI{mux: goahttp.NewMuxer(), http: http.NewServeMux(), tokens: tokens}
	svc := &processService{status: status, dump: dump, metrics: reg}
	Mount(op.mux, processserver.New, processserver.Mount, genprocess.NewEndpoints(svc))
	op.http.Handle("/v1/", LimitRequestBody(op.mux))
	op.http.HandleFunc("GET /metrics", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = reg.WritePrometheus(wr)
	})
	return op
}

// Handler returns the HTTP handler of the API. It calls onUnauthorized for each
// request without valid credentials.
func (op *OperatorAPI) Handler(onUnauthorized func(*http.Request)) http.Handler {
	return auth.Require(op.tokens, onUnauthorized, op.http)
}

// Mux returns the mux on which further goa services are mounted.
func (op *OperatorAPI) Mux() goahttp.Muxer {
	return op.mux
}

// serverConstructor is the signature of the server constructors that goa generates.
type serverConstructor[E, S any] func(
	endpoints E,
	mux goahttp.Muxer,
	decoder func(*http.Request) goahttp.Decoder,
	encoder func(context.Context, http.ResponseWriter) goahttp.Encoder,
	errhandler func(context.Context, http.ResponseWriter, error),
	formatter func(context.Context, error) goahttp.Statuser,
) S

// Mount creates the HTTP server of a goa service and mounts it on a mux.
func Mount[E, S any](mux goahttp.Muxer, newServer serverConstructor[E, S], mount func(goahttp.Muxer, S), endpoints E) {
	mount(mux, newServer(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
}

// Dump returns the state of the process.
func (pr *processService) Dump(context.Context) (map[string]any, error) {
	return pr.dump(), nil
}

// Metrics returns the metrics by name.
func (pr *processService) Metrics(context.Context) (map[string]any, error) {
	return pr.metrics.All(), nil
}

// Status returns the status of the process.
func (pr *processService) Status(context.Context) (*genprocess.StatusResult, error) {
	return pr.status(), nil
}

// LimitRequestBody limits the request bodies of operators and upstreams to
// maxOperatorBodyBytes, and the queries to maxQueryParameters. Reading beyond the limit
// returns an error.
func LimitRequestBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if strings.Count(req.URL.RawQuery, "&") >= maxQueryParameters {
			http.Error(wr, "the query has too many parameters", http.StatusBadRequest)
			return
		}
		req.Body = http.MaxBytesReader(wr, req.Body, maxOperatorBodyBytes)
		next.ServeHTTP(wr, req)
	})
}
