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

func fleet() *vrconfig.Fleet {
	return &vrconfig.Fleet{
		Version: 3, Deployment: "shuyuan",
		Regions: []vrconfig.Region{{ID: "tw-north", Zones: []vrid.ZoneID{"tw-north-a"}}},
		Pools: []vrconfig.Pool{
			{ID: "lm-serve", Kind: vrconfig.KindLanguageServer, Memory: 80 * vrid.GiB, Slots: 8},
			{ID: "circle-app", Kind: vrconfig.KindApplicationServer, Slots: 16},
		},
		Models:   []vrconfig.Model{{ID: "summary@3", Memory: vrid.GiB, LoadTime: _second, ReplicasPerZone: 2, Kind: "prompt", Pool: "lm-serve"}},
		Adapters: []vrconfig.Adapter{{ID: "poetry@1", Base: "summary@3", Memory: vrid.MiB}},
		Services: []vrconfig.Service{{ID: "circles", Pool: "circle-app", Calls: []vrconfig.Call{{Method: "POST", Path: "/", Kind: "prompt"}}}},
		Kinds:    []vrconfig.Kind{{ID: "prompt", Rank: vrid.RankUrgent}},
		Ranks:    ranks(), WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		Claims: vrconfig.Claims{Shards: 1, Retention: _second}, Record: vrconfig.Record{Retention: _second},
	}
}

func ranks() []vrconfig.RankPolicy {
	var policies []vrconfig.RankPolicy
	for _, rank := range vrid.Ranks() {
		policies = append(policies, vrconfig.RankPolicy{Rank: rank, Target: _second, Deadline: 2 * _second, Worth: 1, Floor: 0.1, Objective: 0.95, CallerShare: 0.5})
	}
	return policies
}

func encoded(t testing.TB) []byte {
	data, err := vrcodec.EncodeFleet(fleet())
	require.NoError(t, err)
	return data
}

// Guards against a configuration that changes on its way through the platform.
func TestFleetRoundTrip(t *testing.T) {
	index, err := vrcodec.DecodeFleet(encoded(t))
	require.NoError(t, err)
	require.Equal(t, fleet(), index.Fleet)
}

// Guards against a mistake in a document that a daemon accepts in silence, and
// against a small document that takes all memory.
func TestDecodeFleetRefusals(t *testing.T) {
	var plain map[string]any
	raw, err := vrcodec.Decompress(encoded(t), vrcodec.MaxFleet)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(raw, &plain))
	plain["modles"] = 1
	unknown, err := json.Marshal(plain)
	require.NoError(t, err)

	var decode *vrcodec.DecodeError
	var size *vrcodec.SizeError
	var check *vrconfig.CheckError
	cases := []struct {
		name   string
		data   []byte
		target any
	}{
		{"garbage", []byte("garbage"), &decode},
		{"empty", nil, &decode},
		{"truncated", encoded(t)[:20], &decode},
		{"unknown field", vrcodec.Compress(nil, unknown), &decode},
		{"second document", vrcodec.Compress(nil, append(raw, "{}"...)), &decode},
		{"bomb", vrcodec.Compress(nil, make([]byte, vrcodec.MaxFleet+1)), &size},
		{"inconsistent", vrcodec.Compress(nil, []byte(`{"version":0}`)), &check},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := vrcodec.DecodeFleet(c.data)
			require.ErrorAs(t, err, c.target)
		})
	}
}

// Guards against a configuration that is written though no daemon can read it.
func TestEncodeFleetChecks(t *testing.T) {
	broken := fleet()
	broken.Models[0].Pool = "absent"
	_, err := vrcodec.EncodeFleet(broken)
	var check *vrconfig.CheckError
	require.ErrorAs(t, err, &check)
}

// Guards against an off-by-one in the bound: a document of exactly the limit passes.
func TestDecompressLimit(t *testing.T) {
	const limit = 3 << 20
	plain, err := vrcodec.Decompress(vrcodec.Compress(nil, make([]byte, limit)), limit)
	require.NoError(t, err)
	require.Len(t, plain, limit)
	_, err = vrcodec.Decompress(vrcodec.Compress(nil, make([]byte, limit+1)), limit)
	var size *vrcodec.SizeError
	require.ErrorAs(t, err, &size)
}

// FuzzDecodeFleet guards against input that crashes the decoder or that passes
// although it can't be encoded again.
func FuzzDecodeFleet(f *testing.F) {
	f.Add(encoded(f))
	f.Add([]byte("garbage"))
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
