package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// probeInterval is how often the connection of a caller whose body waits is checked.
	probeInterval = 50 * time.Millisecond
	// waitedTime is how long a body has waited at least when its caller is checked again
	// before it is passed on.
	waitedTime = 100 * time.Millisecond
	// maxAheadBytes limits what that check reads. The end of a caller that has gone lies
	// behind what its kernel has not sent yet, which is up to 4 MB with the usual limit of
	// send buffers.
	maxAheadBytes = 5 << 20
	// aheadTime limits the duration of that check, during which the request has a slot.
	// aheadPause is how long nothing arrives from a caller that is there but slow.
	aheadTime  = 100 * time.Millisecond
	aheadPause = 5 * time.Millisecond
	aheadPoll  = time.Millisecond
	// maxAheadBodies limits how many bodies are read ahead at once. Two take less than half
	// of the memory for bodies, and each is passed on at once.
	maxAheadBodies = 2
)

var errCallerGone = errors.New("ingress: the caller has closed its connection")

// watchCaller calls cancel if the caller closes its connection before its body is fetched.
// net/http notices that only once the body was read. It returns when the body is fetched or
// the context ends.
func (ca *callerBody) watchCaller(ctx context.Context, cancel func()) {
	if ca.probe == nil {
		return
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ca.isConsumed() {
			return
		}
		if ca.probe.HasEnded() {
			ca.fail(errCallerGone)
			cancel()
			return
		}
	}
}

// fail records the error with which reading the body ended, unless there is one.
func (ca *callerBody) fail(err error) {
	ca.state.Lock()
	defer ca.state.Unlock()
	if ca.err == nil {
		ca.err = err
	}
}

// readAhead reads what has arrived of a body that has waited, before it is passed on, and
// returns an error if the caller has gone. The upstream has seen nothing of the request then.
// If too many others are read ahead, the body is passed on unchecked.
func (ca *callerBody) readAhead() error {
	if ca.probe == nil || !ca.acquireAhead() {
		return nil
	}
	arrived := &arrivedReader{body: ca, left: maxAheadBytes, end: time.Now().Add(aheadTime)}
	start, _, err := ca.bodies.ReadStart(ca.account, arrived, maxAheadBytes+1)
	if err != nil {
		<-ca.aheadSlots
		return fmt.Errorf("read ahead: %w", err)
	}
	ca.state.Lock()
	ca.ahead, ca.hasAhead = start, true
	closed := ca.closed
	ca.state.Unlock()
	if closed || ca.probe.HasEnded() {
		ca.releaseAhead()
		ca.fail(errCallerGone)
		return errCallerGone
	}
	ca.reader = io.MultiReader(&aheadReader{body: ca, start: start}, ca.reader)
	return nil
}

// acquireAhead waits until one more body may be read ahead. It returns false if that takes
// too long.
func (ca *callerBody) acquireAhead() bool {
	timer := time.NewTimer(aheadTime)
	defer timer.Stop()
	select {
	case ca.aheadSlots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// releaseAhead frees what was read ahead.
func (ca *callerBody) releaseAhead() {
	ca.state.Lock()
	defer ca.state.Unlock()
	if !ca.hasAhead {
		return
	}
	ca.bodies.Release(ca.ahead)
	ca.ahead, ca.hasAhead = nil, false
	<-ca.aheadSlots
}

// aheadReader reads what was read ahead, and frees it once it was passed on.
type aheadReader struct {
	body  *callerBody
	start []byte
}

// Read returns io.EOF at the end of what was read ahead.
func (ah *aheadReader) Read(data []byte) (int, error) {
	if len(ah.start) == 0 {
		ah.start = nil
		ah.body.releaseAhead()
		return 0, io.EOF
	}
	count := copy(data, ah.start)
	ah.start = ah.start[count:]
	return count, nil
}

// arrivedReader reads as much of a body as arrives without a pause.
type arrivedReader struct {
	body *callerBody
	left int
	end  time.Time
}

// Read returns io.EOF at the end of the body or when nothing more arrives.
func (ar *arrivedReader) Read(data []byte) (int, error) {
	pauseEnd := time.Now().Add(aheadPause)
	for ar.body.probe.Unread() == 0 && !ar.body.probe.HasEnded() {
		if time.Now().After(pauseEnd) {
			return 0, io.EOF
		}
		time.Sleep(aheadPoll)
	}
	if ar.left == 0 || time.Now().After(ar.end) {
		return 0, io.EOF
	}
	count, err := ar.body.Read(data[:min(len(data), ar.left)])
	ar.left -= count
	return count, err
}
