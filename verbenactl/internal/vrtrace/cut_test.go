package vrtrace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenactl/internal/vrtrace"
)

// Guards against an explanation that blames the client or the server, or calls a request answered,
// when the gateway says that its connection was cut for another reason.
func TestCutRequestIsExplained(t *testing.T) {
	const (
		answered = `{"time":"2026-07-27T21:04:41.5Z","message":"call ended","request":"r","outcome":"answered","server":"s"}`
		left     = `{"time":"2026-07-27T21:04:41.5Z","message":"call ended","request":"r","outcome":"callerGone"}`
		failed   = `{"time":"2026-07-27T21:04:41.4Z","message":"send failed","request":"r","server":"s","result":"timedOut","detail":"i/o timeout"}`
		broken   = `{"time":"2026-07-27T21:04:41.5Z","message":"call ended","request":"r","outcome":"broken","events":"3"}`
		cut      = `{"time":"2026-07-27T21:04:41.6Z","message":"request cut","request":"r","cause":%q,"detail":%q}`
	)
	for _, test := range []struct {
		lines                      []string
		cause, detail, explanation string
	}{
		{nil, "bodyUnread", "unexpected EOF", "its connection was cut: bodyUnread (unexpected EOF)"},
		{[]string{left}, "connectionClosed", "", "its connection was cut: connectionClosed"},
		{[]string{left}, "clientGone", "EOF", "its client left"},
		{[]string{answered}, "writeTimedOut", "i/o timeout", "it was answered by server s; its connection was cut: writeTimedOut (i/o timeout)"},
		{[]string{failed, broken}, "graceEnded", "", "its stream broke after 3 events: server s, timedOut (i/o timeout); its connection was cut: graceEnded"},
	} {
		t.Run(test.cause, func(t *testing.T) {
			log := &vrtrace.Log{}
			text := strings.Join(append(test.lines, fmt.Sprintf(cut, test.cause, test.detail)), "\n")
			require.NoError(t, log.Add("edge-1", strings.NewReader(text)))
			require.Zero(t, log.Unreadable)
			explanation, err := log.Explain("r")
			require.NoError(t, err)
			require.Equal(t, test.explanation, explanation.Cause)
		})
	}
}

// Guards against a reload of the settings, around which no request may be lost, missing from the
// context of a request.
func TestReloadIsPartOfTheContext(t *testing.T) {
	require.Len(t, explainWith(t, "settings reloaded", "call queued").Context, 1)
}
