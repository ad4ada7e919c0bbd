package vrscenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWords guards against a line with a mistake that is carried out in part.
func TestWords(t *testing.T) {
	line := read("usage", []string{"outage", "3s", "2.5", "at", "daemon-1"})
	require.Equal(t, "outage", line.text())
	require.Equal(t, 3*time.Second, line.duration())
	require.InDelta(t, 2.5, line.number(), 0)
	require.False(t, line.after("within"))
	require.True(t, line.after("at"))
	require.Equal(t, "daemon-1", line.text())
	require.NoError(t, line.end())
	mistakes := map[string]func(*words){
		"too short":   func(w *words) { w.text(); w.text() },
		"too long":    func(*words) {},
		"no number":   func(w *words) { w.number() },
		"no length":   func(w *words) { w.duration() },
		"half a line": func(w *words) { w.optional() },
	}
	for name, mistake := range mistakes {
		line := read("usage", []string{"word"})
		mistake(line)
		var usage *UsageError
		require.ErrorAs(t, line.end(), &usage, name)
	}
}
