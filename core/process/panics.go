package process

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/recovery"
)

// logPanics logs and counts the panics of a handler. As without it, a panic ends the
// connection, so that no response looks complete that isn't.
func (gu *Guard) logPanics(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in this way.
				// The path may hold the token of a stream.
				recovery.Report(gu.log, gu.metrics, logrus.Fields{"method": req.Method, "peer": req.RemoteAddr}, value)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(wr, req)
	})
}
