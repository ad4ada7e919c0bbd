package vrcodec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"verbenaroute.example/verbenacore/vrconfig"
)

// MaxFleetBytes is the maximum size of a decompressed configuration in bytes. A declaration
// takes about 200 bytes, so the 8,730 models and adapters of the design scale take 2 MB.
const MaxFleetBytes = 16 << 20

// EncodeFleet validates a configuration and returns it as compressed JSON.
func EncodeFleet(fleet *vrconfig.Fleet) ([]byte, error) {
	if err := fleet.Validate(); err != nil {
		return nil, fmt.Errorf("encode fleet: %w", err)
	}
	document, err := json.Marshal(fleet)
	if err != nil {
		return nil, fmt.Errorf("encode fleet: %w", err)
	}
	if len(document) > MaxFleetBytes {
		return nil, fmt.Errorf("encode fleet: %w", &SizeError{Limit: MaxFleetBytes})
	}
	return Compress(nil, document), nil
}

// DecodeFleet decodes and validates a document written by EncodeFleet.
func DecodeFleet(data []byte) (*vrconfig.Index, error) {
	document, err := Decompress(data, MaxFleetBytes)
	if err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	fleet := &vrconfig.Fleet{}
	if err := DecodeStrictJSON(document, fleet); err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	if err := fleet.Validate(); err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	return vrconfig.NewIndex(fleet), nil
}

// DecodeStrictJSON decodes one JSON value into target. It rejects unknown fields and any
// data after the value.
func DecodeStrictJSON[T any](data []byte, target *T) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &DecodeError{Codec: CodecJSON, Problem: err.Error(), Offset: jsonOffset(err, decoder)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &DecodeError{Codec: CodecJSON, Problem: "unexpected data after the document", Offset: decoder.InputOffset()}
	}
	return nil
}

// jsonOffset returns the byte offset at which decoding failed.
func jsonOffset(err error, decoder *json.Decoder) int64 {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return syntaxErr.Offset
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Offset
	}
	return decoder.InputOffset()
}
