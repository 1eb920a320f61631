package process

import (
	"time"

	"cactusstream.example/core/configfile"
)

const (
	// defaultMaxConnections leaves half of the 4,100 descriptors of a VM to links, upstreams
	// and files. Callers that keep within their limits open 1,500 connections.
	defaultMaxConnections = 2000
	// defaultStall is the time without progress after which a connection that is in the
	// middle of a request or an answer is closed. It is longer than the 15 s for which
	// callers may leave a connection idle.
	defaultStall = 20 * time.Second
	// maxMemory and maxConnections are upper bounds of the settings.
	maxMemory      = 1 << 40
	maxConnections = 1 << 20
)

// Limits holds what the peers of a process may make it use.
type Limits struct {
	// Memory is the memory of the VM in bytes, or 0 if it is not known.
	Memory int
	// Connections is the number of connections that are open at once, without links.
	Connections int
	// Stall is how long a request or an answer may make no progress.
	Stall time.Duration
}

// Keys sets the defaults and returns the keys of the section limits.
func (li *Limits) Keys() []configfile.Key {
	li.Connections = defaultMaxConnections
	li.Stall = defaultStall
	return []configfile.Key{
		configfile.Int("limits", "memory", &li.Memory, 0, maxMemory),
		configfile.Int("limits", "connections", &li.Connections, 1, maxConnections),
		configfile.Duration("limits", "stall", &li.Stall, time.Second, time.Hour),
	}
}
