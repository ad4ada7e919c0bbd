package vrclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/segmentio/encoding/json"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// refusalError is an error code in place of the first token.
type refusalError struct{ code string }

func (e *refusalError) Error() string { return "refused: " + e.code }

// decodeToken reads one line. The strings of the token point into the line.
func decodeToken(line []byte, token *vrengine.Token) error {
	rest, err := json.Parse(line, token, json.ZeroCopy|json.DontMatchCaseInsensitiveStructFields)
	if err != nil {
		return &ProtocolError{What: "line", Problem: err.Error()}
	}
	if len(bytes.TrimSpace(rest)) > 0 {
		return &ProtocolError{What: "line", Problem: "data follows the token"}
	}
	return nil
}

// tokenCheck lets only the tokens of one request through, each offset once and in order.
type tokenCheck struct {
	request vrid.RequestID
	// next is the only offset that may come.
	next   int
	passed int
}

func newTokenCheck(generate *vrengine.GenerateRequest) tokenCheck {
	return tokenCheck{request: generate.RequestID, next: generate.ResumeFrom}
}

// isOwn reports whether a refusal can be one of this request. A server that fails before
// it has read the request can't name it.
func (c *tokenCheck) isOwn(token *vrengine.Token) bool {
	return token.RequestID == "" || token.RequestID == c.request
}

// accept returns the token of a line if it is the next one of this request.
func (c *tokenCheck) accept(line []byte) (vrengine.Token, error) {
	var token vrengine.Token
	if err := decodeToken(line, &token); err != nil {
		return vrengine.Token{}, err
	}
	switch {
	case token.RequestID != c.request:
		return vrengine.Token{}, &ProtocolError{What: "requestId", Problem: fmt.Sprintf("found %q, want %q", token.RequestID, c.request)}
	case token.Error != "" && c.passed == 0:
		return vrengine.Token{}, &refusalError{code: strings.Clone(token.Error)}
	case token.Error != "":
		return vrengine.Token{}, &ProtocolError{What: "error", Problem: strings.Clone(token.Error)}
	case token.Offset != c.next:
		return vrengine.Token{}, &ProtocolError{What: "offset", Problem: fmt.Sprintf("found %d, want %d", token.Offset, c.next)}
	}
	token.RequestID = c.request
	token.Token = strings.Clone(token.Token)
	token.FinishReason = strings.Clone(token.FinishReason)
	if !token.Done {
		c.next++
		c.passed++
	}
	return token, nil
}

// lineReader splits a body into lines of bounded length.
type lineReader struct {
	source io.Reader
	buffer *[]byte
	// start and end bound the bytes that were read and not yet returned.
	start, end int
	// scanned bytes from start hold no end of line.
	scanned int
	ended   bool
}

func (l *lineReader) open(source io.Reader) {
	l.source = source
	l.buffer = _lines.get()
}

func (l *lineReader) isOpen() bool { return l.buffer != nil }

func (l *lineReader) close() {
	if l.buffer != nil {
		_lines.put(l.buffer)
		l.buffer = nil
	}
}

// buffered returns the next line if it is in the buffer.
func (l *lineReader) buffered() ([]byte, error) {
	data := (*l.buffer)[l.start:l.end]
	if at := bytes.IndexByte(data[l.scanned:], '\n'); at >= 0 {
		line := data[:l.scanned+at]
		l.start += len(line) + 1
		l.scanned = 0
		return line, nil
	}
	l.scanned = len(data)
	if !l.ended {
		return nil, nil
	}
	if len(data) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	l.start, l.scanned = l.end, 0
	return data, nil
}

// fill reads once, so that a token is returned as soon as it is there.
func (l *lineReader) fill() error {
	if err := l.makeRoom(); err != nil {
		return err
	}
	n, err := l.source.Read((*l.buffer)[l.end:])
	l.end += n
	if errors.Is(err, io.EOF) {
		l.ended = true
		return nil
	}
	return err
}

func (l *lineReader) makeRoom() error {
	buffer := *l.buffer
	if l.start > 0 {
		l.end = copy(buffer, buffer[l.start:l.end])
		l.start = 0
	}
	if l.end < len(buffer) {
		return nil
	}
	if len(buffer) >= vrengine.MaxTokenLine {
		return &ProtocolError{What: "line", Problem: fmt.Sprintf("is longer than %d bytes", vrengine.MaxTokenLine)}
	}
	larger := make([]byte, min(2*len(buffer), vrengine.MaxTokenLine))
	copy(larger, buffer)
	*l.buffer = larger
	return nil
}

// atEnd reports whether the body ends here.
func (l *lineReader) atEnd() bool {
	if l.start != l.end {
		return false
	}
	if l.ended {
		return true
	}
	var probe [1]byte
	n, err := l.source.Read(probe[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// buffers is a pool of byte slices that keeps only small ones.
type buffers struct {
	pool sync.Pool
	keep int
}

func newBuffers(size, keep int) *buffers {
	return &buffers{keep: keep, pool: sync.Pool{New: func() any {
		buffer := make([]byte, size)
		return &buffer
	}}}
}

func (b *buffers) get() *[]byte { return b.pool.Get().(*[]byte) }

func (b *buffers) put(buffer *[]byte) {
	if cap(*buffer) > b.keep {
		return
	}
	*buffer = (*buffer)[:cap(*buffer)]
	b.pool.Put(buffer)
}

const (
	_bufferSize = 4 << 10
	_keepSize   = 64 << 10
)

var (
	_lines  = newBuffers(_bufferSize, _keepSize)
	_bodies = newBuffers(_bufferSize, _keepSize)
)
