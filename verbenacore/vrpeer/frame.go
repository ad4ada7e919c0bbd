package vrpeer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const _lengthSize = 4

// FrameError says why a frame was refused.
type FrameError struct {
	// Peer is empty when the sender is not known yet.
	Peer    vrid.DaemonID
	Problem string
}

func (e *FrameError) Error() string { return fmt.Sprintf("frame from %q: %s", e.Peer, e.Problem) }

// encodeFrame returns the length and the encoded envelope.
func encodeFrame(envelope *vrwire.Envelope) ([]byte, error) {
	payload, err := vrwire.Marshal(envelope)
	if err != nil {
		return nil, err
	}
	if len(payload) > vrwire.MaxFrameBytes {
		return nil, &FrameError{Peer: envelope.From, Problem: fmt.Sprintf("%d bytes, allowed are %d", len(payload), vrwire.MaxFrameBytes)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, _lengthSize+len(payload)), uint32(len(payload)))
	return append(frame, payload...), nil
}

// readLength reads the length of the next frame.
func readLength(source io.Reader) (int64, error) {
	var header [_lengthSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return 0, err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > vrwire.MaxFrameBytes {
		return 0, &FrameError{Problem: fmt.Sprintf("a length of %d bytes, allowed are 1 to %d", length, vrwire.MaxFrameBytes)}
	}
	return length, nil
}

// readPayload reads a frame. The buffer grows with what arrives, so a sender that only
// announces a large frame costs no memory.
func readPayload(source io.Reader, length int64) ([]byte, error) {
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, source, length); err != nil {
		return nil, err
	}
	return payload.Bytes(), nil
}
