// Package forward is a stand-in for the network between two processes: it
// forwards TCP connections and datagrams from one address to another, and
// delays, silences or resets them on command.
//
// Usage:
//
//	fwd, err := forward.New("127.1.2.1:7100", "127.1.4.1:7100")
//	fwd.Set(forward.Fault{SilentIn: true})   // the target hears nobody
//	fwd.Reset()                              // open connections are reset
//	fwd.Set(forward.Fault{})
//	fwd.Close()
//
// A silent direction holds the bytes of connections back, as a cut network does,
// until it is healed or the connection ends; datagrams are lost.
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
	maxDatagram = 64 << 10
	chunk       = 16 << 10
	// poll is how often a silent direction looks whether it has been healed.
	poll        = 10 * time.Millisecond
	dialTimeout = time.Second
)

// Fault is what happens to what is forwarded.
type Fault struct {
	// Delay is added to each piece, in each direction.
	Delay time.Duration
	// SilentIn holds what goes to the target, SilentOut what comes from it.
	SilentIn  bool
	SilentOut bool
}

// Forwarder forwards one address. It is safe for concurrent use.
type Forwarder struct {
	to       string
	listener net.Listener
	socket   *net.UDPConn
	target   *net.UDPAddr

	mu     sync.Mutex
	fault  Fault
	open   map[*net.TCPConn]bool
	closed bool
}

// New listens on an address and forwards to another one.
func New(from, to string) (*Forwarder, error) {
	lis, err := net.Listen("tcp", from)
	if err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	fwd := &Forwarder{to: to, listener: lis, open: make(map[*net.TCPConn]bool)}
	if err := fwd.openSocket(from); err != nil {
		_ = lis.Close()
		return nil, fmt.Errorf("forward: %w", err)
	}
	go fwd.accept()
	go fwd.forwardDatagrams()
	return fwd, nil
}

// Close ends the forwarding and every connection.
func (fo *Forwarder) Close() {
	fo.mu.Lock()
	fo.closed = true
	fo.mu.Unlock()
	_ = fo.listener.Close()
	_ = fo.socket.Close()
	fo.Reset()
}

// Reset resets all open connections, on both sides.
func (fo *Forwarder) Reset() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for con := range fo.open {
		_ = con.SetLinger(0)
		_ = con.Close()
	}
	clear(fo.open)
}

// Set changes what happens from now on.
func (fo *Forwarder) Set(fault Fault) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.fault = fault
}

func (fo *Forwarder) openSocket(from string) error {
	address, err := net.ResolveUDPAddr("udp", from)
	if err != nil {
		return fmt.Errorf("resolve %s: %w", from, err)
	}
	if fo.target, err = net.ResolveUDPAddr("udp", fo.to); err != nil {
		return fmt.Errorf("resolve %s: %w", fo.to, err)
	}
	if fo.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("listen on %s: %w", from, err)
	}
	return nil
}

func (fo *Forwarder) accept() {
	for {
		con, err := fo.listener.Accept()
		if err != nil {
			return
		}
		go fo.join(con.(*net.TCPConn))
	}
}

// join forwards one connection until either side ends.
func (fo *Forwarder) join(from *net.TCPConn) {
	raw, err := net.DialTimeout("tcp", fo.to, dialTimeout)
	if err != nil {
		_ = from.SetLinger(0) // As a port without a listener.
		_ = from.Close()
		return
	}
	to := raw.(*net.TCPConn)
	if !fo.add(from, to) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { fo.copy(to, from, func(fault Fault) bool { return fault.SilentIn }) })
	group.Go(func() { fo.copy(from, to, func(fault Fault) bool { return fault.SilentOut }) })
	group.Wait()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, con := range []*net.TCPConn{from, to} {
		delete(fo.open, con)
		_ = con.Close()
	}
}

func (fo *Forwarder) add(cons ...*net.TCPConn) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, con := range cons {
		if fo.closed {
			_ = con.Close()
			continue
		}
		fo.open[con] = true
	}
	return !fo.closed
}

// copy forwards one direction, and passes its end on.
func (fo *Forwarder) copy(to, from *net.TCPConn, isSilent func(Fault) bool) {
	buf := make([]byte, chunk)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			fo.hold(isSilent)
			if _, err := to.Write(buf[:size]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			fo.hold(isSilent)
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// hold waits for the delay, and until a silent direction is healed.
func (fo *Forwarder) hold(isSilent func(Fault) bool) {
	if fault, _ := fo.state(); fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	for {
		fault, closed := fo.state()
		if closed || !isSilent(fault) {
			return
		}
		time.Sleep(poll)
	}
}

func (fo *Forwarder) state() (Fault, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.fault, fo.closed
}

// forwardDatagrams forwards what comes for the target. The processes answer to the
// address that a datagram names, so there is no way back here.
func (fo *Forwarder) forwardDatagrams() {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := fo.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if fault, _ := fo.state(); fault.SilentIn {
			continue
		}
		_, _ = fo.socket.WriteToUDP(buf[:size], fo.target) // Lost, as datagrams are.
	}
}
