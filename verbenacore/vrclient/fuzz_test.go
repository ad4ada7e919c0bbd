package vrclient

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrplatform"
)

// FuzzTokenLines guards against an answer that crashes the reader, and against a token
// that is not the next one of its request. How the bytes are cut must not matter.
func FuzzTokenLines(f *testing.F) {
	f.Add([]byte(`{"requestId":"r","offset":0,"token":"a"}` + "\n" + `{"requestId":"r","offset":1,"done":true}` + "\n"))
	f.Add([]byte(`{"requestId":"r","offset":0,"token":"\u00e9\ud83d\ude00"}` + "\n" + `{"requestId":"s","offset":1}` + "\n"))
	f.Add([]byte(`{"requestId":"r","error":"busy"}` + "\n\n[1,2]\nnull\n{\"a\":{\"b\":[1e999]}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := readTokens(t, strings.NewReader(string(data)))
		require.Equal(t, whole, readTokens(t, iotest.OneByteReader(strings.NewReader(string(data)))))
		for i, token := range whole {
			require.Equal(t, i, token.Offset)
			require.EqualValues(t, "r", token.RequestID)
		}
	})
}

func readTokens(t *testing.T, source io.Reader) []vrengine.Token {
	var lines lineReader
	lines.open(source)
	defer lines.close()
	check := newTokenCheck(&vrengine.GenerateRequest{RequestID: "r"})
	var tokens []vrengine.Token
	for {
		line, err := lines.buffered()
		if err != nil {
			return tokens
		}
		if line == nil {
			if lines.fill() != nil {
				return tokens
			}
			continue
		}
		token, err := check.accept(line)
		if err != nil {
			return tokens
		}
		require.True(t, json.Valid(line), "the standard library refuses %q", line)
		tokens = append(tokens, token)
		if token.Done {
			return tokens
		}
	}
}

// FuzzEngineAnswers guards against reports, cache events and answers to orders that
// crash the client or pass although their own check refuses them.
func FuzzEngineAnswers(f *testing.F) {
	f.Add([]byte(`{"server":"s","boot":"b","running":1,"models":[{"model":"m","state":"loaded"}]}`))
	f.Add([]byte(`{"events":[{"number":3,"model":"m","prefix":18446744073709551615,"tokens":5}],"next":3}`))
	f.Add([]byte(`{"highestEpoch":4,"highestSequence":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if report, err := decodeBody[vrengine.Report](data); err == nil {
			require.NoError(t, report.Validate())
		}
		if events, err := decodeBody[vrengine.CacheEvents](data); err == nil {
			require.NoError(t, events.Validate())
		}
		for _, status := range []int{200, 409, 507, 400, 500} {
			result := orderResult(status, data)
			if !json.Valid(data) {
				require.Equal(t, vrengine.OrderOutcomeUnknown, result.Status)
			}
		}
	})
}

// FuzzPlatformAnswers guards against lists and watches that crash the client or hold
// items that were not asked for.
func FuzzPlatformAnswers(f *testing.F) {
	f.Add([]byte(`{"revision":9,"items":[{"key":"config/head","version":9,"value":"eA=="}]}`))
	f.Add([]byte(`{"items":[{"key":"leases/a","version":1}]}`))
	f.Add([]byte(`{"vms":[{"id":"vm-1","kind":"daemon","zone":"z","address":"10.0.0.1:1","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		answer := platformAnswer{outcome: vrplatform.OutcomeOK, body: data}
		if watch, err := decodeItems[vrplatform.Watch](answer, "config/"); err == nil {
			requireItems(t, watch.Items)
		}
		if list, err := decodeItems[vrplatform.List](answer, "config/"); err == nil {
			requireItems(t, list.Items)
		}
		if vms, err := decodeAnswer[vrplatform.VMList](answer); err == nil {
			require.NoError(t, vms.Validate())
		}
	})
}

func requireItems(t *testing.T, items []vrplatform.Item) {
	for _, item := range items {
		require.True(t, strings.HasPrefix(item.Key, "config/"))
		require.NotZero(t, item.Version)
	}
}
