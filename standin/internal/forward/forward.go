// Package forward is a TCP and UDP proxy that injects network faults between
// two processes: it delays traffic, blocks one or both directions and resets
// connections on command.
//
// Usage:
//
//	fwd, err := forward.New("127.1.2.1:7100", "127.1.4.1:7100")
//	fwd.Set(forward.Fault{BlockInbound: true}) // nothing reaches the target
//	fwd.Reset()                                // reset all open connections
//	fwd.Set(forward.Fault{})
//	fwd.Close()
//
// A blocked direction of a TCP connection holds its bytes back until it is
// unblocked or the connection ends, as during a network partition. Datagrams to
// a blocked target are dropped.
package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxDatagramBytes    = 64 << 10
	copyBufferBytes     = 16 << 10
	unblockPollInterval = 10 * time.Millisecond
	dialTimeout         = time.Second
)

// Fault describes the faults to inject. The zero value injects none.
type Fault struct {
	// Delay is added before each write to a TCP connection, in each direction.
	Delay time.Duration
	// BlockInbound blocks traffic to the target, BlockOutbound traffic from it.
	BlockInbound  bool
	BlockOutbound bool
}

// Forwarder forwards the traffic of one listen address to one target. It is safe
// for concurrent use.
type Forwarder struct {
	to       string
	listener net.Listener
	socket   *net.UDPConn
	target   *net.UDPAddr

	mu          sync.Mutex
	fault       Fault
	connections map[*net.TCPConn]bool
	closed      bool
}

// New listens on from with TCP and UDP and forwards to the address to.
func New(from, to string) (*Forwarder, error) {
	lis, err := net.Listen("tcp", from)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	fwd := &Forwarder{to: to, listener: lis, connections: make(map[*net.TCPConn]bool)}
	if err := fwd.openSocket(from); err != nil {
		_ = lis.Close()
		return nil, fmt.Errorf("forward: %w", err)
	}
	go fwd.accept()
	go fwd.forwardDatagrams()
	return fwd, nil
}

// Close stops forwarding and resets all connections.
func (fo *Forwarder) Close() {
	fo.mu.Lock()
	fo.closed = true
	fo.mu.Unlock()
	_ = fo.listener.Close()
	_ = fo.socket.Close()
	fo.Reset()
}

// Reset resets all open connections, both to the client and to the target.
func (fo *Forwarder) Reset() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for con := range fo.connections {
		_ = con.SetLinger(0)
		_ = con.Close()
	}
	clear(fo.connections)
}

// Set replaces the current fault.
func (fo *Forwarder) Set(fault Fault) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.fault = fault
}

func (fo *Forwarder) openSocket(from string) error {
	address, err := net.ResolveUDPAddr("udp", from)
	if err != nil {
		return fmt.Errorf("resolve UDP address %s: %w", from, err)
	}
	if fo.target, err = net.ResolveUDPAddr("udp", fo.to); err != nil {
		return fmt.Errorf("resolve UDP address %s: %w", fo.to, err)
	}
	if fo.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("listen on UDP address %s: %w", from, err)
	}
	return nil
}

func (fo *Forwarder) accept() {
	for {
		con, err := fo.listener.Accept()
		if err != nil {
			return
		}
		go fo.forwardConnection(con.(*net.TCPConn))
	}
}

// forwardConnection forwards one connection until both directions have ended.
func (fo *Forwarder) forwardConnection(from *net.TCPConn) {
	raw, err := net.DialTimeout("tcp", fo.to, dialTimeout)
	if err != nil {
		_ = from.SetLinger(0) // Sends a reset, as a port without a listener does.
		_ = from.Close()
		return
	}
	to := raw.(*net.TCPConn)
	if !fo.register(from, to) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { fo.copy(to, from, func(fault Fault) bool { return fault.BlockInbound }) })
	group.Go(func() { fo.copy(from, to, func(fault Fault) bool { return fault.BlockOutbound }) })
	group.Wait()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, con := range []*net.TCPConn{from, to} {
		delete(fo.connections, con)
		_ = con.Close()
	}
}

// register adds connections to those that Reset closes. If the forwarder is
// closed, it closes them and returns false.
func (fo *Forwarder) register(cons ...*net.TCPConn) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, con := range cons {
		if fo.closed {
			_ = con.Close()
			continue
		}
		fo.connections[con] = true
	}
	return !fo.closed
}

// copy forwards one direction of a connection, including its end of
// stream or reset.
func (fo *Forwarder) copy(to, from *net.TCPConn, isBlocked func(Fault) bool) {
	buf := make([]byte, copyBufferBytes)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			fo.waitWhileBlocked(isBlocked)
			if _, err := to.Write(buf[:size]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			fo.waitWhileBlocked(isBlocked)
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// waitWhileBlocked sleeps for the configured delay and then until the direction
// is unblocked or the forwarder is closed.
func (fo *Forwarder) waitWhileBlocked(isBlocked func(Fault) bool) {
	if fault, _ := fo.state(); fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	for {
		fault, closed := fo.state()
		if closed || !isBlocked(fault) {
			return
		}
		time.Sleep(unblockPollInterval)
	}
}

func (fo *Forwarder) state() (Fault, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.fault, fo.closed
}

// forwardDatagrams forwards datagrams to the target. It needs no return path:
// the processes send responses to the address named in the datagram, not to its
// source address.
func (fo *Forwarder) forwardDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, _, err := fo.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if fault, _ := fo.state(); fault.BlockInbound {
			continue
		}
		_, _ = fo.socket.WriteToUDP(buf[:size], fo.target) // UDP allows loss, so an error is ignored.
	}
}
