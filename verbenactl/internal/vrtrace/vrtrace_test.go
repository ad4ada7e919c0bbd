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

func collected(t *testing.T) *vrtrace.Log {
	file, err := os.Open(filepath.Join("testdata", "gateways.log"))
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	log := &vrtrace.Log{}
	require.NoError(t, log.Add("gateways.log", file))
	return log
}

// The lines of a run have to lead from the id of a failed request to its cause: a refused
// one, a call with unknown outcome and a stream that broke midway.
func TestExplainGolden(t *testing.T) {
	for name, request := range map[string]string{
		"broken":  "2d17ab81c2ec711a",
		"refused": "bc970d88c5b609c8",
		"unknown": "7c989c07c3b8c6e3",
	} {
		t.Run(name, func(t *testing.T) {
			found, err := collected(t).Explain(request)
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, found.Write(&out))
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

// A cut line must not hide the others, and an unknown id is an error that says so.
func TestCutLinesAndUnknownRequests(t *testing.T) {
	log := collected(t)
	require.Equal(t, 1, log.Unreadable)
	_, err := log.Explain("nobody")
	var missing *vrtrace.NotFoundError
	require.True(t, errors.As(err, &missing))
}
