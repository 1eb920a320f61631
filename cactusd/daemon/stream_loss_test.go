package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/cactusd/daemon"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/settings"
	"cactusstream.example/core/stream"
)

// loss is how the connection of a stream is lost.
type loss struct {
	name string
	// after is the number of bytes from the source that pass before the loss. With
	// beforeRequest, not even the request for the body passes. With atEnd, all pass but the
	// last ones, which are a part of the end of a chunked body.
	after         int64
	beforeRequest bool
	atEnd         bool
	// kind is "reset", "closed" or "silent", which passes no more bytes and stays open.
	kind string
}

// streamProxy passes on the traffic to the peer address of a daemon, and loses the next
// connection of a stream. It leaves links and datagrams alone.
type streamProxy struct {
	target   string
	listener net.Listener
	// next is the loss of the next stream, and lost counts the lost ones.
	next atomic.Pointer[loss]
	lost atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// proxyStreams puts a proxy in front of the peer address of a daemon.
func proxyStreams(t testing.TB, opts *daemon.Options) *streamProxy {
	t.Helper()
	opts.Config.PeerListen = freeAddress(t)
	lis, err := net.Listen("tcp", opts.Config.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	sp := &streamProxy{target: opts.Config.PeerListen, listener: lis}
	address, err := net.ResolveUDPAddr("udp", opts.Config.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	sock, err := net.ListenUDP("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sp.close)
	t.Cleanup(func() { _ = sock.Close() })
	go sp.passDatagrams(sock)
	go sp.accept()
	return sp
}

func (sp *streamProxy) close() {
	_ = sp.listener.Close()
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, con := range sp.conns {
		_ = con.Close()
	}
}

// passDatagrams passes on datagrams. Their senders are named in them.
func (sp *streamProxy) passDatagrams(sock *net.UDPConn) {
	target, err := net.ResolveUDPAddr("udp", sp.target)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		count, _, err := sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		_, _ = sock.WriteToUDP(buf[:count], target)
	}
}

func (sp *streamProxy) accept() {
	for {
		con, err := sp.listener.Accept()
		if err != nil {
			return
		}
		go sp.pass(con.(*net.TCPConn))
	}
}

// pass passes on a connection. That of a stream is lost if it is the next one to lose.
func (sp *streamProxy) pass(from *net.TCPConn) {
	start := make([]byte, 64<<10)
	count, err := from.Read(start)
	if err != nil {
		_ = from.Close()
		return
	}
	start = start[:count]
	var lose *loss
	if bytes.HasPrefix(start, []byte(http.MethodGet+" "+stream.Path)) {
		lose = sp.next.Swap(nil)
	}
	raw, err := net.Dial("tcp", sp.target)
	if err != nil {
		_ = from.Close()
		return
	}
	to := raw.(*net.TCPConn)
	sp.mu.Lock()
	sp.conns = append(sp.conns, from, to)
	sp.mu.Unlock()
	if lose != nil && lose.beforeRequest {
		sp.lose(from, to, lose)
		return
	}
	if _, err := to.Write(start); err != nil {
		_ = from.Close()
		return
	}
	var source io.Reader = to
	switch {
	case lose != nil && lose.atEnd:
		source = &allButEnd{source: to}
	case lose != nil:
		source = io.LimitReader(to, lose.after)
	}
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.CloseWrite()
	}()
	if lose != nil && lose.after == 0 && !lose.atEnd {
		_, _ = io.CopyN(io.Discard, to, 1) // A connection that is lost sooner may not have carried the request.
	}
	_, _ = io.Copy(from, source)
	if lose != nil {
		sp.lose(from, to, lose)
		return
	}
	_ = from.CloseWrite()
}

// allButEnd leaves out the last bytes of a source.
type allButEnd struct {
	source io.Reader
	held   []byte
}

func (al *allButEnd) Read(data []byte) (int, error) {
	const omitted = 3
	buf := make([]byte, len(data)+omitted)
	copied := copy(buf, al.held)
	count, err := al.source.Read(buf[copied : copied+len(data)])
	buf = buf[:copied+count]
	passed := max(len(buf)-omitted, 0)
	al.held = buf[passed:]
	return copy(data, buf[:passed]), err
}

func (sp *streamProxy) lose(from, to *net.TCPConn, lose *loss) {
	switch lose.kind {
	case "reset":
		_ = from.SetLinger(0)
		_ = to.SetLinger(0)
		_, _ = from.Close(), to.Close()
	case "closed":
		_, _ = from.CloseWrite(), to.CloseWrite()
		_, _ = from.CloseRead(), to.CloseRead()
	}
	sp.lost.Add(1)
}

// lossPair is a pair of daemons, with proxies in front of both, and two upstreams beside
// the second one. It counts the runs of each request by its name.
type lossPair struct {
	*pair
	front, back *streamProxy
	runs        sync.Map
	// whole holds the names of requests whose body reached the upstream as a whole one.
	whole sync.Map
}

const (
	lossBody   = 8 << 20
	lossAnswer = 9 << 20
)

// newLossPair starts a pair. Requests are idempotent or not, and may be retried.
func newLossPair(t *testing.T, isIdempotent bool) *lossPair {
	t.Helper()
	lp := &lossPair{}
	lp.pair = newPairWith(t, []settings.Edit{
		{Path: "*/*/s/order", Key: "bodyLimit", Value: fmt.Sprint(largestBody)},
		{Path: "*/*/s/order", Key: "idempotent", Value: strconv.FormatBool(isIdempotent)},
		{Path: "*/*", Key: "retryAttempts", Value: "3"},
		{Path: "*/*", Key: "retryPercent", Value: "100"},
	}, lp.serve, func(id string, opts *daemon.Options) {
		proxy := proxyStreams(t, opts)
		if id == "d1" {
			lp.front = proxy
		} else {
			lp.back = proxy
		}
	})
	second := daemon.Announcement{ID: "second", Service: "s", Address: lp.upstream, Slots: pairSlots, Connections: pairSlots}
	if err := lp.pair.back.Announce(second); err != nil {
		t.Fatal(err)
	}
	return lp
}

func (lp *lossPair) serve(wr http.ResponseWriter, req *http.Request) {
	if isProbe(wr, req) {
		return
	}
	name := req.URL.Query().Get("name")
	runs, _ := lp.runs.LoadOrStore(name, &atomic.Int64{})
	runs.(*atomic.Int64).Add(1)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	lp.whole.Store(name, true)
	if req.URL.Query().Get("length") == "true" {
		wr.Header().Set("Content-Length", fmt.Sprint(lossAnswer))
	}
	_, _ = io.Copy(wr, &pattern{size: lossAnswer})
}

// runsOf returns how often a request has run, and whether an upstream took its body for
// whole.
func (lp *lossPair) runsOf(name string) (runs int64, whole bool) {
	_, whole = lp.whole.Load(name)
	if count, ok := lp.runs.Load(name); ok {
		runs = count.(*atomic.Int64).Load()
	}
	return runs, whole
}

// heldSlots returns the number of slots that are taken.
func (lp *lossPair) heldSlots() int {
	held := 0
	for _, upstream := range lp.pair.back.Dump()["gate"].([]map[string]any) {
		held += upstream["running"].(int)
	}
	return held
}

// lossReply is what a caller sees.
type lossReply struct {
	status  int
	outcome string
	whole   bool
	err     error
}

// call sends a request with a body of a length, or a chunked one, to the pair.
func (lp *lossPair) call(t *testing.T, name string, size int64, hasLength bool) lossReply {
	t.Helper()
	length := size
	if !hasLength {
		length = -1
	}
	resp, err := lp.post(t, fmt.Sprintf("name=%s&length=%t", name, hasLength), &pattern{size: size}, length)
	if err != nil {
		return lossReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	whole := digestOf(&body) == digest(lossAnswer)
	return lossReply{status: resp.StatusCode, outcome: resp.Header.Get(outcome.HeaderOutcome), whole: whole, err: err}
}

// TestLostConnectionOfABody loses only the connection that carries the body of a request
// between two daemons. No upstream may take a part for the whole body, and the caller must
// not be told that a request didn't run that did. The slot must be freed.
func TestLostConnectionOfABody(t *testing.T) {
	testLostConnection(t, func(t *testing.T, lp *lossPair, name string, hasLength bool, lose *loss) {
		lp.front.next.Store(lose)
		reply := lp.call(t, name, lossBody, hasLength)
		is := is.New(t)
		is.Equal(lp.front.lost.Load(), int64(1))
		runs, whole := lp.runsOf(name)
		if reply.err == nil && reply.status == http.StatusOK {
			is.True(lose.beforeRequest) // Only a body that wasn't fetched may be sent again.
			is.True(reply.whole && whole)
			is.Equal(runs, int64(1))
			return
		}
		is.True(!whole)
		is.True(runs <= 1)
		if runs > 0 && reply.status != 0 {
			is.True(reply.status != http.StatusServiceUnavailable)
			is.Equal(reply.outcome, string(outcome.Unknown))
		}
	})
}

// TestLostConnectionOfAnAnswer loses only the connection that carries an answer between two
// daemons. The caller must never see a part as the whole answer. A request that isn't
// idempotent must not run twice, and none that ran may be answered as not run.
func TestLostConnectionOfAnAnswer(t *testing.T) {
	testLostConnection(t, func(t *testing.T, lp *lossPair, name string, hasLength bool, lose *loss) {
		lp.back.next.Store(lose)
		reply := lp.call(t, name, 10, hasLength)
		is := is.New(t)
		is.Equal(lp.back.lost.Load(), int64(1))
		runs, _ := lp.runsOf(name)
		is.True(runs >= 1)
		if reply.err == nil && reply.status == http.StatusOK {
			is.True(reply.whole)
			is.True(strings.HasPrefix(name, "idempotent") && lose.after < 1000) // The caller had got a part of the others.
		}
		if !strings.HasPrefix(name, "idempotent") {
			is.Equal(runs, int64(1))
		}
		is.True(reply.status != http.StatusServiceUnavailable)
		is.True(reply.outcome != string(outcome.NotRun))
	})
}

// testLostConnection runs a check for each way in which a connection is lost, and then
// checks that both daemons have freed what they held and serve requests.
func testLostConnection(t *testing.T, check func(t *testing.T, lp *lossPair, name string, hasLength bool, lose *loss)) {
	t.Parallel()
	// maxHeld is how long after the loss slots and streams may be held. A connection that
	// is silent is lost after the stall timeout, which is over when the caller is answered
	// or, if it was answered early, not yet.
	const maxHeld = 2 * time.Second
	for _, lose := range []loss{
		{name: "before the request", beforeRequest: true, kind: "reset"},
		{name: "before the head", kind: "reset"},
		{name: "before the head", kind: "closed"},
		{name: "in the head", after: 30, kind: "closed"},
		{name: "in the body", after: 2_000_000, kind: "reset"},
		{name: "in the body", after: 2_000_000, kind: "closed"},
		{name: "in the body", after: 2_000_000, kind: "silent"},
		{name: "at the end", atEnd: true, kind: "reset"},
		{name: "at the end", atEnd: true, kind: "closed"},
	} {
		for _, isIdempotent := range []bool{false, true} {
			for _, hasLength := range []bool{true, false} {
				kind := "once"
				if isIdempotent {
					kind = "idempotent"
				}
				name := fmt.Sprintf("%s/%s/%s/%t", kind, strings.ReplaceAll(lose.name, " ", "-"), lose.kind, hasLength)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					lp := newLossPair(t, isIdempotent)
					defer lp.stop(t)
					check(t, lp, name, hasLength, &lose)
					isFree := func() bool {
						return lp.heldSlots() == 0 && openStreams(lp.pair.front) == 0 && openStreams(lp.pair.back) == 0
					}
					for end := time.Now().Add(maxHeld); !isFree() && time.Now().Before(end); {
						time.Sleep(10 * time.Millisecond)
					}
					if !isFree() {
						t.Errorf("still held after %s: %d slots, streams %v and %v", maxHeld, lp.heldSlots(), lp.pair.front.Dump()["streams"], lp.pair.back.Dump()["streams"])
					}
					reply := lp.call(t, "after-"+name, lossBody, hasLength)
					if reply.err != nil || reply.status != http.StatusOK || !reply.whole {
						t.Errorf("the next request was answered with %+v", reply)
					}
				})
			}
		}
	}
}
