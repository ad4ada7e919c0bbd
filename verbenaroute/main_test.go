package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"

	"verbenaroute.example/verbenaroute/internal/vrserve"
)

// Guards against a check that stops at the first error.
func TestCheckReportsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"daemon": "d", /* no zone */ "callers": "nowhere", "surplus": 1}`), 0o600))
	command := newCommand()
	command.SetArgs([]string{"check", "--config", path})
	command.SetOut(&bytes.Buffer{})
	err := command.Execute()
	for _, part := range []string{"zone", "callers", "surplus", "platform"} {
		require.ErrorContains(t, err, part)
	}
	require.Equal(t, _exitSettings, exitCode(err), "the context must not hide the type of the error")
	require.Equal(t, []string{"settings: " + path}, formatContext(err))
}

// Guards against exit codes that do not distinguish the types of failure.
func TestExitCodes(t *testing.T) {
	cases := map[int]error{
		_exitSettings: fmt.Errorf("settings: %w", &vrconfig.ValidationError{}),
		_exitListen:   &vrserve.ListenError{Field: "callers"},
		_exitCutOff:   &vrserve.ShutdownTimeoutError{Requests: 1},
		_exitOther:    errors.New("other"),
	}
	for want, err := range cases {
		require.Equal(t, want, exitCode(err))
	}
}
