// Package clock abstracts the current time, so that code can also run in virtual time.
//
// Usage: accept a Clock in a constructor. Pass Real in a program, and a Fake in a
// test, where Advance moves the time.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Real is the system clock.
type Real struct{}

// Now returns the system time.
func (Real) Now() time.Time {
	return time.Now()
}

// Fake is a Clock whose time changes only by Advance. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that starts at the given time.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now}
}

// Advance adds d to the time and returns the new time.
func (fa *Fake) Advance(d time.Duration) time.Time {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.now = fa.now.Add(d)
	return fa.now
}

// Now returns the current time of the Fake.
func (fa *Fake) Now() time.Time {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.now
}
