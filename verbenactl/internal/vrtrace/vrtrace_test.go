package vrtrace_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenactl/internal/vrtrace"
)

var update = flag.Bool("update", false, "write the golden files")

// readTestLog returns the log in testdata/gateways.log.
func readTestLog(t *testing.T) *vrtrace.Log {
	file, err := os.Open(filepath.Join("testdata", "gateways.log"))
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	log := &vrtrace.Log{}
	require.NoError(t, log.Add("gateways.log", file))
	return log
}

// Checks the explanations of three failed requests in the log of a run: a refused one, one
// whose outcome is unknown and a stream that broke midway.
func TestExplainGolden(t *testing.T) {
	for name, request := range map[string]string{
		"broken":  "2d17ab81c2ec711a",
		"refused": "bc970d88c5b609c8",
		"unknown": "7c989c07c3b8c6e3",
	} {
		t.Run(name, func(t *testing.T) {
			explanation, err := readTestLog(t).Explain(request)
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, explanation.Write(&out))
			path := filepath.Join("testdata", name+".golden")
			if *update {
				require.NoError(t, os.WriteFile(path, out.Bytes(), 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

// Guards against a truncated line hiding the other lines. An unknown id gives a NotFoundError.
func TestTruncatedLineAndUnknownRequest(t *testing.T) {
	log := readTestLog(t)
	require.Equal(t, 1, log.Unreadable)
	_, err := log.Explain("nobody")
	var notFound *vrtrace.NotFoundError
	require.True(t, errors.As(err, &notFound))
}
