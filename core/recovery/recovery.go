// Package recovery ends a call whose code panics, instead of the process.
//
// It is for code that serves one call of a peer or one request of a caller. A panic of any
// other code, such as a timer or a background loop, still ends the process, since nobody
// would notice that the loop has ended.
//
// Usage:
//
//	var answer Answer
//	err := recovery.Run(log, reg, logrus.Fields{"method": "run"}, func() { answer = serve(req) })
//	if errors.Is(err, recovery.ErrPanicked) { ... }
package recovery

import (
	"errors"
	"fmt"
	"maps"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
	"cactusstream.example/core/metrics"
)

// ErrPanicked reports that the code of a call panicked. Any part of the call may have run.
var ErrPanicked = errors.New("the code of the call panicked; the call may have run")

// Run calls fn and returns an error that wraps ErrPanicked if it panics. It logs the panic
// with its stack and the given fields, and counts it.
func Run(log *events.Logger, reg *metrics.Registry, fields logrus.Fields, fn func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			Report(log, reg, fields, value)
			err = fmt.Errorf("%w: %v", ErrPanicked, value)
		}
	}()
	fn()
	return nil
}

// Report logs and counts a recovered panic. Call it from the deferred function, so that the
// stack is that of the panic.
func Report(log *events.Logger, reg *metrics.Registry, fields logrus.Fields, value any) {
	all := logrus.Fields{"panic": fmt.Sprint(value), "stack": string(debug.Stack())}
	maps.Copy(all, fields)
	reg.Counter("process.panics").Inc(1)
	log.Write(events.CallPanicked, all)
}
