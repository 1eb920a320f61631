package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

const (
	host = "tickets.example"

	// packBytes is the size of the large answer, packWork the work for it, and packDeadline the
	// requester's time limit in milliseconds.
	packBytes    = 540_000
	packWork     = time.Second
	packDeadline = 10_000
	// The requester has a receive buffer of 64 KiB, and reads 8 KiB each 4 ms: 2 MB/s.
	receiveBuffer = 64 << 10
	readPiece     = 8 << 10
	readPause     = 4 * time.Millisecond
)

// playPipeline sends a download on a kept connection, and a safe request before the answer to it. The daemon that reads them has just got SIGTERM, and says so only in its answer.
func playPipeline(sc *scene) (bool, error) {
	isLarge := func(req *http.Request) bool { return strings.HasPrefix(req.RequestURI, "/pack/large") }
	en := &endpoint{id: "i-1", slots: 8, work: func(req *http.Request) time.Duration {
		if isLarge(req) {
			return packWork
		}
		return 0
	}, body: func(req *http.Request) []byte {
		if isLarge(req) {
			return bytes.Repeat([]byte("0123456789"), packBytes/10)
		}
		return []byte("small\n")
	}}
	cfg := config(3, 0, host, []string{"depot", "desk"}, []route{{"packs", "/pack/", "download", "depot", packDeadline, 2}, {"browse", "/browse/", "safe", "depot", 6000, 2}}, nil)
	if _, err := sc.setUp(3, []string{"depot", "desk"}, []*endpoint{en, nil}, cfg); err != nil {
		return false, err
	}
	front := sc.fl.daemons[1]
	address := front.settings["listen.outbound"]
	if served, _ := sc.stream(address, "before", 4*time.Second); served == 0 {
		return false, fmt.Errorf("%w: no request was served", errInvalid)
	}
	con, err := dialRaw(address, receiveBuffer)
	if err != nil {
		return false, err
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(con, head("GET", "/browse/bag", host, "kept", 6000, ""))
	if an := con.read(0, 0); an.status != http.StatusOK {
		return false, fmt.Errorf("%w: the connection was not kept: %v", errInvalid, an)
	}
	if sc.trouble {
		sc.rec.note("SIGTERM for %s", front.name)
		sc.fl.signal(front, syscall.SIGTERM)
	}
	stoppedAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(con, head("GET", "/pack/large", host, "first", packDeadline, ""))
	sc.rec.note("requester: has sent first on its kept connection")
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(con, head("GET", "/browse/bag", host, "second", 6000, ""))
	sc.rec.note("requester: has sent second on it, before the answer to first")
	first := con.read(readPiece, readPause)
	sc.rec.note("requester: answer to first, %.1f s after the SIGTERM: %v, it ends the connection: %t", time.Since(stoppedAt).Seconds(), first, first.closes)
	isWhole := first.status == http.StatusOK && first.err == nil && len(first.body) == packBytes
	if isWhole && !first.closes {
		sc.rec.note("requester: answer to second: %v", con.read(0, 0))
	}
	en.mu.Lock()
	ran := en.runs["first"]
	en.mu.Unlock()
	if ran != 1 {
		return false, fmt.Errorf("%w: first was run %d times", errInvalid, ran)
	}
	// An answer of the daemon's own in place of the endpoint's would break the rule as well.
	return !isWhole, nil
}
