package vrcodec_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

const _second = vrid.Duration(1e9)

func testFleet() *vrconfig.Fleet {
	return &vrconfig.Fleet{
		Version: 3, Deployment: "shuyuan",
		Regions: []vrconfig.Region{{ID: "tw-north", Zones: []vrid.ZoneID{"tw-north-a"}}},
		Pools: []vrconfig.Pool{
			{ID: "lm-serve", Kind: vrconfig.KindLanguageServer, Memory: 80 * vrid.GiB, Slots: 8},
			{ID: "circle-app", Kind: vrconfig.KindApplicationServer, Slots: 16},
		},
		Models:   []vrconfig.Model{{ID: "summary@3", Memory: vrid.GiB, LoadTime: _second, ReplicasPerZone: 2, Kind: "prompt", Pool: "lm-serve"}},
		Adapters: []vrconfig.Adapter{{ID: "poetry@1", Base: "summary@3", Memory: vrid.MiB}},
		Services: []vrconfig.Service{{ID: "circles", Pool: "circle-app", Calls: []vrconfig.CallRule{{Method: "POST", Path: "/", Kind: "prompt"}}}},
		Kinds:    []vrconfig.Kind{{ID: "prompt", Rank: vrid.RankUrgent}},
		Ranks:    rankPolicies(), WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		Claims: vrconfig.Claims{Shards: 1, Retention: _second}, Record: vrconfig.Record{Retention: _second},
	}
}

func rankPolicies() []vrconfig.RankPolicy {
	var policies []vrconfig.RankPolicy
	for _, rank := range vrid.Ranks() {
		policies = append(policies, vrconfig.RankPolicy{Rank: rank, Target: _second, Deadline: 2 * _second, Weight: 1, Floor: 0.1, Objective: 0.95, CallerShare: 0.5})
	}
	return policies
}

func encodedFleet(t testing.TB) []byte {
	data, err := vrcodec.EncodeFleet(testFleet())
	require.NoError(t, err)
	return data
}

// Checks that encoding and decoding a configuration returns an equal one.
func TestFleetRoundTrip(t *testing.T) {
	index, err := vrcodec.DecodeFleet(encodedFleet(t))
	require.NoError(t, err)
	require.Equal(t, testFleet(), index.Fleet)
}

// Checks that malformed documents are rejected rather than silently accepted, and that
// a small document that decompresses to a huge one can't exhaust memory.
func TestDecodeFleetErrors(t *testing.T) {
	var fields map[string]any
	document, err := vrcodec.Decompress(encodedFleet(t), vrcodec.MaxFleetBytes)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(document, &fields))
	fields["modles"] = 1
	unknownField, err := json.Marshal(fields)
	require.NoError(t, err)

	var decodeErr *vrcodec.DecodeError
	var sizeErr *vrcodec.SizeError
	var validationErr *vrconfig.ValidationError
	cases := []struct {
		name   string
		data   []byte
		target any
	}{
		{"garbage", []byte("garbage"), &decodeErr},
		{"empty", nil, &decodeErr},
		{"truncated", encodedFleet(t)[:20], &decodeErr},
		{"unknown field", vrcodec.Compress(nil, unknownField), &decodeErr},
		{"second document", vrcodec.Compress(nil, append(document, "{}"...)), &decodeErr},
		{"bomb", vrcodec.Compress(nil, make([]byte, vrcodec.MaxFleetBytes+1)), &sizeErr},
		{"inconsistent", vrcodec.Compress(nil, []byte(`{"version":0}`)), &validationErr},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := vrcodec.DecodeFleet(c.data)
			require.ErrorAs(t, err, c.target)
		})
	}
}

// Checks that EncodeFleet rejects an invalid configuration, which no daemon could load.
func TestEncodeFleetInvalid(t *testing.T) {
	invalid := testFleet()
	invalid.Models[0].Pool = "absent"
	_, err := vrcodec.EncodeFleet(invalid)
	var validationErr *vrconfig.ValidationError
	require.ErrorAs(t, err, &validationErr)
}

// Checks the size limit for an off-by-one error: a document of exactly limit bytes is
// accepted, one byte more is not.
func TestDecompressLimit(t *testing.T) {
	const limit = 3 << 20
	decompressed, err := vrcodec.Decompress(vrcodec.Compress(nil, make([]byte, limit)), limit)
	require.NoError(t, err)
	require.Len(t, decompressed, limit)
	_, err = vrcodec.Decompress(vrcodec.Compress(nil, make([]byte, limit+1)), limit)
	var sizeErr *vrcodec.SizeError
	require.ErrorAs(t, err, &sizeErr)
}

// FuzzDecodeFleet checks that no input panics the decoder and that every configuration
// that decodes can be encoded again.
func FuzzDecodeFleet(f *testing.F) {
	f.Add(encodedFleet(f))
	f.Add([]byte("garbage"))
	// The magic number of a zstd frame.
	f.Add(bytes.Repeat([]byte{0x28, 0xb5, 0x2f, 0xfd}, 4))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, document := range [][]byte{data, vrcodec.Compress(nil, data)} {
			index, err := vrcodec.DecodeFleet(document)
			if err != nil {
				continue
			}
			_, err = vrcodec.EncodeFleet(index.Fleet)
			require.NoError(t, err)
		}
	})
}
