package vrpeer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrwire"
)

// FuzzFrames guards against bytes of a peer that crash the daemon, and against a frame
// above the limit.
func FuzzFrames(f *testing.F) {
	envelope := &vrwire.Envelope{From: "vm-1", Boot: "b", ConfigFetch: &vrwire.ConfigFetch{Have: 3}}
	frame, err := encodeFrame(envelope)
	require.NoError(f, err)
	f.Add(frame)
	f.Add(append(frame, frame...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0x10, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		for {
			length, err := readLength(source)
			if err != nil {
				return
			}
			payload, err := readPayload(source, length)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(payload), vrwire.MaxFrameBytes)
			if decoded, err := vrwire.Unmarshal[vrwire.Envelope](payload); err == nil {
				require.NoError(t, decoded.Validate())
			}
		}
	})
}
