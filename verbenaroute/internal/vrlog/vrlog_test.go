package vrlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lines that are not valid JSON or lack the type of the failure.
func TestErrorLine(t *testing.T) {
	var out bytes.Buffer
	log, flush := New(&out)
	log.Warn("no answer", Error(fmt.Errorf("poll: %w", &net.AddrError{Err: "missing port", Addr: "a"})))
	flush()
	var line map[string]string
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "warn", line["level"])
	require.Equal(t, "no answer", line["message"])
	require.Equal(t, "poll: address a: missing port", line["error"])
	require.Equal(t, "*net.AddrError", line["errorType"])
}
