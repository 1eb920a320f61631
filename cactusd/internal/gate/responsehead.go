package gate

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"cactusstream.example/cactusd/internal/wire"
)

// maxHeadBytes limits the status line and the headers of a response, in bytes.
const maxHeadBytes = 64 << 10

var (
	// errHeadTooLarge reports a response whose status line and headers do not end within
	// maxHeadBytes.
	errHeadTooLarge = fmt.Errorf("the head of the response is larger than %d bytes", maxHeadBytes)
	// errInvalidFieldName reports a response whose head has a line that doesn't begin with a
	// field name.
	errInvalidFieldName = errors.New("the head of the response has an invalid field name")
	// errFaultyFraming reports a response of a version without transfer codings that names
	// one.
	errFaultyFraming = errors.New("the response has a Transfer-Encoding, which its version of HTTP doesn't have")
)

// headReader limits and records the bytes that are read while the head of a response is
// parsed. The parser of net/http has no limit of its own, and an upstream may send a head
// without end. It also accepts lines that aren't fields, so the head itself has to be
// checked.
type headReader struct {
	source io.Reader
	// parsing is set while a head is parsed, and left counts the bytes that may still be
	// read for it.
	parsing bool
	left    int
	// isEmpty is set until a byte is read after begin.
	isEmpty bool
	// recorded holds the bytes that the parser has had.
	recorded []byte
}

// begin starts the parsing of a head. The bytes that buffered holds are the first of it.
func (he *headReader) begin(buffered *bufio.Reader) {
	he.parsing, he.left, he.isEmpty = true, maxHeadBytes, true
	start, _ := buffered.Peek(buffered.Buffered())
	he.recorded = append(he.recorded[:0], start...)
}

// end ends the parsing of a head, and returns the head without the bytes after it, which
// buffered holds. The head is valid until the next call.
func (he *headReader) end(buffered *bufio.Reader) []byte {
	he.parsing = false
	head := he.recorded[:len(he.recorded)-buffered.Buffered()]
	if cap(he.recorded) > readBufferSize {
		he.recorded = nil
	}
	return head
}

// Read reads from the connection.
func (he *headReader) Read(data []byte) (int, error) {
	if !he.parsing {
		return he.source.Read(data)
	}
	if he.left == 0 {
		return 0, errHeadTooLarge
	}
	count, err := he.source.Read(data[:min(len(data), he.left)])
	he.left -= count
	he.isEmpty = he.isEmpty && count == 0
	he.recorded = append(he.recorded, data[:count]...)
	return count, err
}

// checkHead returns an error if a head that net/http has parsed is not valid although
// net/http accepts it.
//
// Each line must begin with a field name (RFC 9110, section 5.1). net/http accepts names with
// blanks. It doesn't recognize such a field, which may be the one that frames the body, and
// doesn't write it.
//
// HTTP/1.0 has no transfer codings (RFC 9112, section 6.1). net/http drops the field there, so
// that the framing of the chunks would be a part of the body.
func checkHead(head []byte, resp *http.Response) error {
	hasCodings := resp.ProtoAtLeast(1, 1)
	_, fields, _ := bytes.Cut(head, []byte{'\n'}) // Without the status line.
	for line := range bytes.SplitSeq(fields, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 || continuesValue(line) {
			continue
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: %.*q", errInvalidFieldName, wire.MaxShownName, name)
		}
		if !hasCodings && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return errFaultyFraming
		}
	}
	return nil
}

// continuesValue reports whether a line continues the value of the field before it. A line
// that begins with a blank and else reads like a field doesn't: the blank is part of its name.
func continuesValue(line []byte) bool {
	if line[0] != ' ' && line[0] != '\t' {
		return false
	}
	name, _, hasColon := bytes.Cut(line, []byte{':'})
	name = bytes.Trim(name, blanks)
	return !hasColon || len(name) > 0 && !httpguts.ValidHeaderFieldName(string(name))
}

// blanks are the characters that separate the parts of a line.
const blanks = " \t"
