package vrscenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestArgReader guards against executing part of a line that contains a mistake, instead of
// rejecting the line.
func TestArgReader(t *testing.T) {
	line := newArgReader("usage", []string{"outage", "3s", "2.5", "at", "daemon-1"})
	require.Equal(t, "outage", line.word())
	require.Equal(t, 3*time.Second, line.duration())
	require.InDelta(t, 2.5, line.number(), 0)
	require.False(t, line.accept("within"))
	require.True(t, line.accept("at"))
	require.Equal(t, "daemon-1", line.word())
	require.NoError(t, line.finish())
	misuses := map[string]func(*argReader){
		"too short":   func(r *argReader) { r.word(); r.word() },
		"too long":    func(*argReader) {},
		"no number":   func(r *argReader) { r.number() },
		"no duration": func(r *argReader) { r.duration() },
		"half a line": func(r *argReader) { r.optionalDuration() },
	}
	for name, misuse := range misuses {
		line := newArgReader("usage", []string{"word"})
		misuse(line)
		var usage *UsageError
		require.ErrorAs(t, line.finish(), &usage, name)
	}
}
