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

// refusalError is an error code that came instead of the first token.
type refusalError struct{ code string }

func (e *refusalError) Error() string { return "refused: " + e.code }

// decodeToken decodes one line. The strings of the token alias the line.
func decodeToken(line []byte, token *vrengine.Token) error {
	rest, err := json.Parse(line, token, json.ZeroCopy|json.DontMatchCaseInsensitiveStructFields)
	if err != nil {
		return &ProtocolError{Part: "line", Problem: err.Error()}
	}
	if len(bytes.TrimSpace(rest)) > 0 {
		return &ProtocolError{Part: "line", Problem: "unexpected data after the token"}
	}
	return nil
}

// tokenValidator accepts only the tokens of one request, each offset once and in order.
type tokenValidator struct {
	request vrid.RequestID
	// nextOffset is the only offset that is accepted next.
	nextOffset    int
	acceptedCount int
}

func newTokenValidator(generateRequest *vrengine.GenerateRequest) tokenValidator {
	return tokenValidator{request: generateRequest.RequestID, nextOffset: generateRequest.ResumeFrom}
}

// belongsToRequest reports whether a refusal can belong to this request. A server that fails
// before it has read the request can't send the request ID, so an empty ID is accepted.
func (v *tokenValidator) belongsToRequest(token *vrengine.Token) bool {
	return token.RequestID == "" || token.RequestID == v.request
}

// accept decodes a line and returns its token if that is the next one of this request.
func (v *tokenValidator) accept(line []byte) (vrengine.Token, error) {
	var token vrengine.Token
	if err := decodeToken(line, &token); err != nil {
		return vrengine.Token{}, err
	}
	switch {
	case token.RequestID != v.request:
		return vrengine.Token{}, &ProtocolError{Part: "requestId", Problem: fmt.Sprintf("found %q, want %q", token.RequestID, v.request)}
	case token.Error != "" && v.acceptedCount == 0:
		return vrengine.Token{}, &refusalError{code: strings.Clone(token.Error)}
	case token.Error != "":
		return vrengine.Token{}, &ProtocolError{Part: "error", Problem: strings.Clone(token.Error)}
	case token.Offset != v.nextOffset:
		return vrengine.Token{}, &ProtocolError{Part: "offset", Problem: fmt.Sprintf("found %d, want %d", token.Offset, v.nextOffset)}
	}
	token.RequestID = v.request
	token.Token = strings.Clone(token.Token)
	token.FinishReason = strings.Clone(token.FinishReason)
	if !token.Done {
		v.nextOffset++
		v.acceptedCount++
	}
	return token, nil
}

// lineReader splits a body into lines of at most vrengine.MaxTokenLineBytes.
type lineReader struct {
	source io.Reader
	buffer *[]byte
	// start and end delimit the bytes in buffer that were read but not returned yet.
	start, end int
	// scanned is the number of bytes from start that are known to contain no newline.
	scanned int
	eof     bool
}

func (l *lineReader) open(source io.Reader) {
	l.source = source
	l.buffer = _lineBuffers.get()
}

func (l *lineReader) isOpen() bool { return l.buffer != nil }

func (l *lineReader) close() {
	if l.buffer != nil {
		_lineBuffers.put(l.buffer)
		l.buffer = nil
	}
}

// buffered returns the next line, or nil if fill has to read more of it. At the end of the
// body it returns the rest without a newline, and io.ErrUnexpectedEOF if there is none.
func (l *lineReader) buffered() ([]byte, error) {
	data := (*l.buffer)[l.start:l.end]
	if i := bytes.IndexByte(data[l.scanned:], '\n'); i >= 0 {
		line := data[:l.scanned+i]
		l.start += len(line) + 1
		l.scanned = 0
		return line, nil
	}
	l.scanned = len(data)
	if !l.eof {
		return nil, nil
	}
	if len(data) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	l.start, l.scanned = l.end, 0
	return data, nil
}

// fill reads from the source into the buffer, but only once, so that a token is returned as
// soon as it arrives.
func (l *lineReader) fill() error {
	if err := l.ensureSpace(); err != nil {
		return err
	}
	n, err := l.source.Read((*l.buffer)[l.end:])
	l.end += n
	if errors.Is(err, io.EOF) {
		l.eof = true
		return nil
	}
	return err
}

// ensureSpace moves the unread bytes to the start of the buffer and, if it is still full,
// doubles it up to vrengine.MaxTokenLineBytes.
func (l *lineReader) ensureSpace() error {
	buffer := *l.buffer
	if l.start > 0 {
		l.end = copy(buffer, buffer[l.start:l.end])
		l.start = 0
	}
	if l.end < len(buffer) {
		return nil
	}
	if len(buffer) >= vrengine.MaxTokenLineBytes {
		return &ProtocolError{Part: "line", Problem: fmt.Sprintf("is longer than %d bytes", vrengine.MaxTokenLineBytes)}
	}
	grown := make([]byte, min(2*len(buffer), vrengine.MaxTokenLineBytes))
	copy(grown, buffer)
	*l.buffer = grown
	return nil
}

// atEnd reports whether the body ends here. It may read from the source.
func (l *lineReader) atEnd() bool {
	if l.start != l.end {
		return false
	}
	if l.eof {
		return true
	}
	var probe [1]byte
	n, err := l.source.Read(probe[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// bufferPool is a pool of byte slices that keeps those of at most maxRetained bytes.
type bufferPool struct {
	pool        sync.Pool
	maxRetained int
}

func newBufferPool(size, maxRetained int) *bufferPool {
	return &bufferPool{maxRetained: maxRetained, pool: sync.Pool{New: func() any {
		buffer := make([]byte, size)
		return &buffer
	}}}
}

func (b *bufferPool) get() *[]byte { return b.pool.Get().(*[]byte) }

func (b *bufferPool) put(buffer *[]byte) {
	if cap(*buffer) > b.maxRetained {
		return
	}
	*buffer = (*buffer)[:cap(*buffer)]
	b.pool.Put(buffer)
}

const (
	_initialBufferBytes   = 4 << 10
	_maxPooledBufferBytes = 64 << 10
)

var (
	_lineBuffers = newBufferPool(_initialBufferBytes, _maxPooledBufferBytes)
	_bodyBuffers = newBufferPool(_initialBufferBytes, _maxPooledBufferBytes)
)
