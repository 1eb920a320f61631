package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkSmallRequest measures a request with a body of 1 byte and an answer of 10 bytes
// through two daemons, of a kind whose bodies are all small and of one that allows large
// ones.
func BenchmarkSmallRequest(b *testing.B) {
	for _, bodyLimit := range []int{256 << 10, largestBody} {
		b.Run(fmt.Sprint(bodyLimit), func(b *testing.B) {
			pa := newPairOf(b, bodyLimit, answerAfter(10))
			defer stopDaemon(b, pa.back)
			defer stopDaemon(b, pa.front)
			b.ReportAllocs()
			for b.Loop() {
				if status, _, err := pa.send(0); err != nil || status != http.StatusOK {
					b.Fatal(status, err)
				}
			}
		})
	}
}

// benchmarkBody is a body of zeros, which costs its source little.
type benchmarkBody struct{}

func (benchmarkBody) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

// BenchmarkLargeBody measures bodies of 64 MiB in both directions, directly to an upstream
// and through two daemons.
func BenchmarkLargeBody(b *testing.B) {
	pa := newPairOf(b, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		if req.URL.RawQuery == "up" {
			count, _ := io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprint(wr, count)
			return
		}
		wr.Header().Set("Content-Length", fmt.Sprint(largestBody))
		_, _ = io.Copy(wr, io.LimitReader(benchmarkBody{}, largestBody))
	})
	defer stopDaemon(b, pa.back)
	defer stopDaemon(b, pa.front)
	for _, way := range []string{"direct", "daemons"} {
		for _, query := range []string{"up", "down"} {
			b.Run(way+"/"+query, func(b *testing.B) {
				address := pa.callers
				if way == "direct" {
					address = pa.upstream
				}
				b.SetBytes(largestBody)
				for b.Loop() {
					var body io.Reader = strings.NewReader("x")
					length, want := int64(1), int64(largestBody)
					if query == "up" {
						body, length, want = io.LimitReader(benchmarkBody{}, largestBody), largestBody, int64(len(fmt.Sprint(largestBody)))
					}
					req, err := http.NewRequest(http.MethodPost, "http://"+address+"/order?"+query, body)
					if err != nil {
						b.Fatal(err)
					}
					req.ContentLength = length
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					if count, err := io.Copy(io.Discard, resp.Body); err != nil || count != want {
						b.Fatal(count, err)
					}
					_ = resp.Body.Close()
				}
			})
		}
	}
}

// BenchmarkOpenStreams measures the memory of an answer that its caller doesn't read, for
// both daemons, the upstream and the caller together.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 100
	begun := make(chan struct{})
	pa := newPairOf(b, largestBody, func(wr http.ResponseWriter, req *http.Request) {
		if isProbe(wr, req) {
			return
		}
		begun <- struct{}{}
		wr.Header().Set("Content-Length", fmt.Sprint(largestBody))
		_, _ = io.Copy(wr, io.LimitReader(benchmarkBody{}, largestBody))
	})
	defer stopDaemon(b, pa.back)
	defer stopDaemon(b, pa.front)
	for b.Loop() {
		before := heapInUse()
		var cons []net.Conn
		for range streams {
			con, err := net.Dial("tcp", pa.callers)
			if err != nil {
				b.Fatal(err)
			}
			cons = append(cons, con)
			if _, err := fmt.Fprint(con, "POST /order?unread HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				b.Fatal(err)
			}
			<-begun
		}
		time.Sleep(500 * time.Millisecond) // All buffers on the way are full.
		b.ReportMetric(float64(heapInUse()-before)/streams, "heapB/stream")
		for _, con := range cons {
			_ = con.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}
}
