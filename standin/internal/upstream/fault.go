package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a way in which the stand-in misbehaves.
type FaultKind string

// The kinds of faults.
const (
	FaultNone         FaultKind = "none"
	FaultCut          FaultKind = "cut"
	FaultDuplicate    FaultKind = "duplicate"
	FaultError        FaultKind = "error"
	FaultIgnoreCancel FaultKind = "ignoreCancel"
	FaultLate         FaultKind = "late"
	FaultLie          FaultKind = "lie"
	FaultShed         FaultKind = "shed"
	FaultSlow         FaultKind = "slow"
	FaultStall        FaultKind = "stall"
	FaultTruncate     FaultKind = "truncate"
)

// Fault is what the stand-in does to a share of its requests.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Share is the part of the requests, from 0 to 1.
	Share float64 `json:"share"`
	// Factor is how many times the usual latency a slow answer takes.
	Factor float64 `json:"factor"`
	// Flap alternates between the fault and health with this half period.
	Flap time.Duration `json:"flap"`
}

var faultKinds = []FaultKind{FaultNone, FaultCut, FaultDuplicate, FaultError, FaultIgnoreCancel, FaultLate, FaultLie, FaultShed, FaultSlow, FaultStall, FaultTruncate}

// FaultKinds returns the kinds of faults.
func FaultKinds() []FaultKind { return slices.Clone(faultKinds) }

// Check says whether the fault makes sense.
func (fa Fault) Check() error {
	if !slices.Contains(faultKinds, fa.Kind) {
		return fmt.Errorf("kind %q: want one of %v", fa.Kind, faultKinds)
	}
	if fa.Share < 0 || fa.Share > 1 || fa.Factor < 0 || fa.Flap < 0 {
		return fmt.Errorf("share %g, factor %g, flap %s: out of range", fa.Share, fa.Factor, fa.Flap)
	}
	return nil
}

// hits says whether the fault meets a request that comes at a time.
func (fa Fault) hits(since, now time.Time) bool {
	if fa.Kind == FaultNone || fa.Kind == "" {
		return false
	}
	if fa.Flap > 0 && int(now.Sub(since)/fa.Flap)%2 == 1 {
		return false
	}
	return rand.Float64() < fa.Share
}
