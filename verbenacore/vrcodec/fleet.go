package vrcodec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"verbenaroute.example/verbenacore/vrconfig"
)

// MaxFleet is the largest decompressed configuration in bytes. A declaration takes
// about 200 bytes, so the 8,730 models and adapters of the design scale take 2 MB.
const MaxFleet = 16 << 20

// EncodeFleet checks a configuration and returns its compressed document.
func EncodeFleet(fleet *vrconfig.Fleet) ([]byte, error) {
	if err := fleet.Validate(); err != nil {
		return nil, fmt.Errorf("encode fleet: %w", err)
	}
	plain, err := json.Marshal(fleet)
	if err != nil {
		return nil, fmt.Errorf("encode fleet: %w", err)
	}
	if len(plain) > MaxFleet {
		return nil, fmt.Errorf("encode fleet: %w", &SizeError{Limit: MaxFleet})
	}
	return Compress(nil, plain), nil
}

// DecodeFleet reads and checks a document of EncodeFleet.
func DecodeFleet(data []byte) (*vrconfig.Index, error) {
	plain, err := Decompress(data, MaxFleet)
	if err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	fleet := &vrconfig.Fleet{}
	if err := DecodeStrictJSON(plain, fleet); err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	if err := fleet.Validate(); err != nil {
		return nil, fmt.Errorf("decode fleet: %w", err)
	}
	return vrconfig.NewIndex(fleet), nil
}

// DecodeStrictJSON reads one JSON value and refuses unknown fields and anything that
// follows the value.
func DecodeStrictJSON[T any](data []byte, target *T) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &DecodeError{Codec: CodecJSON, Problem: err.Error(), Offset: jsonOffset(err, decoder)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &DecodeError{Codec: CodecJSON, Problem: "data follows the document", Offset: decoder.InputOffset()}
	}
	return nil
}

func jsonOffset(err error, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return kind.Offset
	}
	return decoder.InputOffset()
}
