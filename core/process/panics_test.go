package process

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

// TestPanicOfAnHTTPHandlerIsAnEvent guards against panics that only net/http writes down, and
// against a partial response that looks complete. A handler that aborts its response on
// purpose is no event.
func TestPanicOfAnHTTPHandlerIsAnEvent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := events.NewLogger("json", "info", &out)
	is.NoErr(err)
	gu := NewGuard(Limits{}, log, metrics.NewRegistry())
	srv := httptest.NewServer(gu.logPanics(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(wr, "partial")
		if req.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("a handler")
	})))
	defer srv.Close()
	for _, path := range []string{"/abort", "/secret"} {
		resp, err := http.Get(srv.URL + path)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		is.True(err != nil)
	}
	srv.Close() // It waits for the handlers.
	is.Equal(gu.metrics.Counter("process.panics").Count(), int64(1))
	is.Equal(strings.Count(out.String(), `"event":603`), 1)
	is.True(strings.Contains(out.String(), "panics_test.go"))
	is.True(!strings.Contains(out.String(), "secret"))
}
