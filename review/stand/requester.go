package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	setUpLimit   = 30 * time.Second
	requestLimit = time.Second
)

// rawConn is a requester's connection to a daemon.
type rawConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dialRaw(address string, receiveBuffer int) (*rawConn, error) {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	tcp := con.(*net.TCPConn)
	if receiveBuffer > 0 {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	return &rawConn{tcp, bufio.NewReader(tcp)}, nil
}

func head(method, uri, host, id string, deadlineMS int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, uri, host, names.RequestID, id, names.Deadline, deadlineMS, more)
}

// answer is what a requester saw.
type answer struct {
	status int
	seal   string
	id     string
	// closes means that the answer ends the connection.
	closes bool
	body   []byte
	err    error
}

func (an answer) String() string {
	return fmt.Sprintf("status=%d id=%s seal=%q body=%d bytes err=%v", an.status, an.id, an.seal, len(an.body), an.err)
}

// read reads one answer. Reading is paced if pause isn't zero: pause after each piece.
func (ra *rawConn) read(piece int, pause time.Duration) answer {
	resp, err := http.ReadResponse(ra.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	an := answer{status: resp.StatusCode, closes: resp.Close, seal: resp.Header.Get(names.Seal), id: resp.Header.Get(names.RequestID)}
	if piece == 0 {
		an.body, an.err = io.ReadAll(resp.Body)
		return an
	}
	buf := make([]byte, piece)
	for {
		count, err := resp.Body.Read(buf)
		an.body = append(an.body, buf[:count]...)
		if err == io.EOF {
			return an
		}
		if err != nil {
			an.err = err
			return an
		}
		time.Sleep(pause)
	}
}

// request sends one request on a connection of its own and returns the answer.
func request(address, method, uri, host, id string, deadlineMS int, body string) answer {
	con, err := dialRaw(address, 0)
	if err != nil {
		return answer{err: err}
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + time.Second))
	more := ""
	if body != "" {
		more = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(con, head(method, uri, host, id, deadlineMS, more)+body); err != nil {
		return answer{err: err}
	}
	return con.read(0, 0)
}

// stream sends safe requests one after another for a time. It returns how many were served, and
// how many of all reached one of the endpoints meanwhile.
func (sc *scene) stream(address, prefix string, duration time.Duration, watched ...*endpoint) (served, reached int) {
	count := func() (total int) {
		for _, en := range watched {
			en.mu.Lock()
			total += len(en.ran)
			en.mu.Unlock()
		}
		return total
	}
	before := count()
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		if an := request(address, "GET", "/pack/x", host, fmt.Sprintf("%s-%d", prefix, i), 3000, ""); an.status == 200 {
			served++
		}
		time.Sleep(40 * time.Millisecond)
	}
	return served, count() - before
}
