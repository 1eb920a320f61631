//go:build !linux

package process

import "syscall"

// hasEnded returns false, since the poll event exists only on Linux.
func hasEnded(syscall.Conn) bool { return false }

// unreadBytes returns 0, as hasEnded does.
func unreadBytes(syscall.Conn) int { return 0 }
