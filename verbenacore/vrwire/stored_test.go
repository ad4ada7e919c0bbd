package vrwire_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// fuzzDecoder guards against stored bytes that crash the decoder, and against a value that
// is decoded but can't be encoded and decoded again.
func fuzzDecoder[T any, P interface {
	*T
	vrwire.Message
}](f *testing.F, seed *T,
) {
	data, err := vrwire.Marshal(seed)
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x12, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := vrwire.Unmarshal[T, P](data)
		if err != nil {
			return
		}
		stored, err := vrwire.Marshal(value)
		require.NoError(t, err)
		_, err = vrwire.Unmarshal[T, P](stored)
		require.NoError(t, err)
	})
}

func FuzzUnmarshalClaimSegment(f *testing.F) {
	entry := vrwire.ClaimEntry{Service: "circles", Key: "k", State: vrwire.ClaimDone, Daemon: "vm-1", Body: []byte("x"), At: -1}
	fuzzDecoder(f, &vrwire.ClaimSegment{Closed: true, Entries: []vrwire.ClaimEntry{entry, entry}})
}

func FuzzUnmarshalEntry(f *testing.F) {
	fuzzDecoder(f, &vrrecord.Entry{Kind: vrrecord.EntryRefused, Number: 7, Request: "r", Daemon: "vm-1", Boot: "b", Reason: "queueFull", Ran: vrrecord.RanNo})
}
