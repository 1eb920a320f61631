package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a way in which the simulated upstream misbehaves.
type FaultKind string

// Fault kinds.
const (
	// FaultNone responds normally.
	FaultNone FaultKind = "none"
	// FaultCut closes the connection without a response.
	FaultCut FaultKind = "cut"
	// FaultDuplicate writes the response twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultError responds with status 500.
	FaultError FaultKind = "error"
	// FaultIgnoreCancel continues a request after the client cancelled it.
	FaultIgnoreCancel FaultKind = "ignoreCancel"
	// FaultLate adds 2 s to the latency.
	FaultLate FaultKind = "late"
	// FaultLie reports to the daemon that no slot is busy.
	FaultLie FaultKind = "lie"
	// FaultShed rejects the request with status 503 and outcome notRun.
	FaultShed FaultKind = "shed"
	// FaultSlow multiplies the latency by Fault.Factor.
	FaultSlow FaultKind = "slow"
	// FaultStall sends no response for an hour; health checks still pass.
	FaultStall FaultKind = "stall"
	// FaultTruncate closes the connection after half of the body.
	FaultTruncate FaultKind = "truncate"
)

// Fault describes a fault and the requests that it affects.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Share is the fraction of affected requests, from 0 to 1.
	Share float64 `json:"share"`
	// Factor multiplies the latency of FaultSlow.
	Factor float64 `json:"factor"`
	// Flap switches the fault on and off after each interval of this length;
	// zero leaves it on.
	Flap time.Duration `json:"flap"`
}

var faultKinds = []FaultKind{FaultNone, FaultCut, FaultDuplicate, FaultError, FaultIgnoreCancel, FaultLate, FaultLie, FaultShed, FaultSlow, FaultStall, FaultTruncate}

// FaultKinds returns all fault kinds.
func FaultKinds() []FaultKind { return slices.Clone(faultKinds) }

// Check returns an error if the kind is unknown or a value is out of range.
func (fa Fault) Check() error {
	if !slices.Contains(faultKinds, fa.Kind) {
		return fmt.Errorf("unknown fault kind %q: want one of %v", fa.Kind, faultKinds)
	}
	if fa.Share < 0 || fa.Share > 1 || fa.Factor < 0 || fa.Flap < 0 {
		return fmt.Errorf("share %g, factor %g or flap %s is out of range: want a share from 0 to 1 and no negative value", fa.Share, fa.Factor, fa.Flap)
	}
	return nil
}

// applies reports whether the fault affects a request that arrives at now.
func (fa Fault) applies(since, now time.Time) bool {
	if fa.Kind == FaultNone || fa.Kind == "" {
		return false
	}
	if fa.Flap > 0 && int(now.Sub(since)/fa.Flap)%2 == 1 {
		return false
	}
	return rand.Float64() < fa.Share
}
