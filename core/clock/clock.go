// Package clock gives time to code that must also run in virtual time.
//
// Usage: take a Clock in a constructor; pass Real in a program and a Fake in a
// test, where Advance moves time.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Real is the clock of the machine.
type Real struct{}

// Now returns the time of the machine.
func (Real) Now() time.Time {
	return time.Now()
}

// Fake is a clock that moves only when it is told to.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that stands at now.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now}
}

// Advance moves the clock by d and returns the new time.
func (fa *Fake) Advance(d time.Duration) time.Time {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.now = fa.now.Add(d)
	return fa.now
}

// Now returns the time that the clock stands at.
func (fa *Fake) Now() time.Time {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.now
}
