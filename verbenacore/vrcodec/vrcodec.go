// Package vrcodec encodes the documents that verbenaroute keeps on the platform and
// passes between daemons. It does no I/O.
package vrcodec

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Codec names the layer of a document that could not be decoded.
type Codec string

// Layers of a document.
const (
	CodecZstd Codec = "zstd"
	CodecJSON Codec = "json"
)

// DecodeError says which layer of a document is malformed.
type DecodeError struct {
	Codec   Codec
	Problem string
	// Offset is the position of the mistake in the decompressed document, or 0 when
	// it is not known.
	Offset int64
}

func (e *DecodeError) Error() string {
	if e.Offset > 0 {
		return fmt.Sprintf("decode %s at byte %d: %s", e.Codec, e.Offset, e.Problem)
	}
	return fmt.Sprintf("decode %s: %s", e.Codec, e.Problem)
}

// SizeError says that a document is larger than its bound when decompressed.
type SizeError struct {
	// Limit is the largest decompressed size in bytes.
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("the decompressed document has more than %d bytes", e.Limit)
}

const (
	// _maxWindow bounds the memory that a frame header can ask for. It is twice the
	// window of the default level, so every frame of Compress fits.
	_maxWindow = 16 << 20
	// _maxPresize bounds the buffer that is allocated before the input has shown that
	// it holds that much.
	_maxPresize = 1 << 20
	_expansion  = 8
)

// _encoder is used only through EncodeAll, which is safe for concurrent use.
var _encoder = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(fmt.Sprintf("zstd encoder options: %v", err))
	}
	return encoder
})

// _decoders holds one decoder for each bound, because the bound is an option of the
// decoder. Bounds are constants of their callers, so the map stays small.
var _decoders sync.Map

func decoderFor(limit int) (*zstd.Decoder, error) {
	if held, ok := _decoders.Load(limit); ok {
		return held.(*zstd.Decoder), nil
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderMaxWindow(_maxWindow))
	if err != nil {
		return nil, fmt.Errorf("zstd decoder with limit %d: %w", limit, err)
	}
	held, _ := _decoders.LoadOrStore(limit, decoder)
	return held.(*zstd.Decoder), nil
}

// Compress appends the zstd frame of data to buffer, which may be nil.
func Compress(buffer, data []byte) []byte {
	return _encoder().EncodeAll(data, buffer)
}

// Decompress returns the content of zstd frames if it has at most limit bytes. The
// limit is a constant of the caller.
func Decompress(data []byte, limit int) ([]byte, error) {
	decoder, err := decoderFor(limit)
	if err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, min(limit, _maxPresize, len(data)*_expansion))
	plain, err := decoder.DecodeAll(data, buffer)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded):
		return nil, &SizeError{Limit: limit}
	case err != nil:
		return nil, &DecodeError{Codec: CodecZstd, Problem: err.Error()}
	case len(plain) > limit:
		return nil, &SizeError{Limit: limit}
	}
	return plain, nil
}
