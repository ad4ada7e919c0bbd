package vrpeer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const _lengthPrefixSize = 4

// FrameError reports why a frame was refused or could not be encoded.
type FrameError struct {
	// Peer is the sender, or empty when it is not known yet.
	Peer    vrid.DaemonID
	Problem string
}

func (e *FrameError) Error() string { return fmt.Sprintf("frame from %q: %s", e.Peer, e.Problem) }

// encodeFrame returns the envelope's frame: the length prefix and the encoded envelope.
func encodeFrame(envelope *vrwire.Envelope) ([]byte, error) {
	payload, err := vrwire.Marshal(envelope)
	if err != nil {
		return nil, err
	}
	if len(payload) > vrwire.MaxFrameBytes {
		return nil, &FrameError{Peer: envelope.From, Problem: fmt.Sprintf("%d bytes, at most %d are allowed", len(payload), vrwire.MaxFrameBytes)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, _lengthPrefixSize+len(payload)), uint32(len(payload)))
	return append(frame, payload...), nil
}

// readLength reads and checks the length prefix of the next frame.
func readLength(reader io.Reader) (int64, error) {
	var header [_lengthPrefixSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > vrwire.MaxFrameBytes {
		return 0, &FrameError{Problem: fmt.Sprintf("length is %d bytes, 1 to %d are allowed", length, vrwire.MaxFrameBytes)}
	}
	return length, nil
}

// readPayload reads the payload of a frame. The buffer grows as data arrives, so that a
// sender that announces a large frame and sends nothing uses no memory.
func readPayload(reader io.Reader, length int64) ([]byte, error) {
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, reader, length); err != nil {
		return nil, err
	}
	return payload.Bytes(), nil
}
