// Package vrcodec encodes and decodes the documents that verbenaroute stores on the
// platform and sends between daemons: JSON compressed with zstd. It does no I/O.
package vrcodec

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Codec identifies the encoding layer of a document that failed to decode.
type Codec string

// Encoding layers of a document.
const (
	CodecZstd Codec = "zstd"
	CodecJSON Codec = "json"
)

// DecodeError reports a malformed document.
type DecodeError struct {
	Codec   Codec
	Problem string
	// Offset is the byte offset of the error in the decompressed document, or 0 if it
	// is unknown.
	Offset int64
}

func (e *DecodeError) Error() string {
	if e.Offset > 0 {
		return fmt.Sprintf("decode %s at byte %d: %s", e.Codec, e.Offset, e.Problem)
	}
	return fmt.Sprintf("decode %s: %s", e.Codec, e.Problem)
}

// SizeError reports a document that exceeds the size limit when decompressed.
type SizeError struct {
	// Limit is the maximum decompressed size in bytes.
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("the decompressed document exceeds the limit of %d bytes", e.Limit)
}

const (
	// _maxWindow limits the memory that a frame header can request. It is twice the
	// window of the default compression level, so every frame written by Compress fits.
	_maxWindow = 16 << 20
	// _maxInitialBuffer limits the buffer that is allocated up front, before it is known
	// that the input decompresses to that size.
	_maxInitialBuffer = 1 << 20
	// _assumedRatio is the compression ratio by which the initial buffer is sized.
	_assumedRatio = 8
)

// _encoder is used only through EncodeAll, which is safe for concurrent use.
var _encoder = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("zstd encoder options: %v", err))
	}
	return encoder
})

// _decoders caches one decoder for each limit, because the limit is an option of the
// decoder. Callers pass constants as limits, so the map stays small.
var _decoders sync.Map

// decoderFor returns the cached decoder for limit, creating it on first use.
func decoderFor(limit int) (*zstd.Decoder, error) {
	if cached, ok := _decoders.Load(limit); ok {
		return cached.(*zstd.Decoder), nil
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderMaxWindow(_maxWindow))
	if err != nil {
		return nil, fmt.Errorf("zstd decoder with limit %d: %w", limit, err)
	}
	cached, _ := _decoders.LoadOrStore(limit, decoder)
	return cached.(*zstd.Decoder), nil
}

// Compress appends data as a zstd frame to buffer, which may be nil, and returns the
// extended buffer.
func Compress(buffer, data []byte) []byte {
	return _encoder().EncodeAll(data, buffer)
}

// Decompress returns the content of the zstd frames in data, or a SizeError if it is
// longer than limit bytes. Pass a constant as limit: one decoder is cached for each limit.
func Decompress(data []byte, limit int) ([]byte, error) {
	decoder, err := decoderFor(limit)
	if err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, min(limit, _maxInitialBuffer, len(data)*_assumedRatio))
	decompressed, err := decoder.DecodeAll(data, buffer)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded):
		return nil, &SizeError{Limit: limit}
	case err != nil:
		return nil, &DecodeError{Codec: CodecZstd, Problem: err.Error()}
	case len(decompressed) > limit:
		return nil, &SizeError{Limit: limit}
	}
	return decompressed, nil
}
