package vrlog

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingOutput blocks all writes until release is closed.
type blockingOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// An output that blocks must not block the loggers, because they hold the lock under which
// all events are processed. Every dropped line must be counted.
func TestBoundedNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	b := newBounded(out, 100, bytesPerSecond)
	for range 1000 {
		_, err := b.Write([]byte("0123456789"))
		require.NoError(t, err)
	}
	require.Positive(t, b.Dropped()[otherKind])
	close(out.release)
	b.Close(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	require.EqualValues(t, 1000, uint64(out.text.Len()/10)+b.Dropped()[otherKind])
}

// The rate limit must hold for an output that accepts everything, and the info lines that
// each call writes must not cause warnings to be dropped.
func TestBoundedLimitsRateAndKeepsWarnings(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	close(out.release)
	const maxBytes = 4000
	b := newBounded(out, maxBytes, 1)
	info := []byte(`{"level":"info","message":"call dispatched","request":"r"}` + "\n")
	for range 1000 {
		_, err := b.Write(info)
		require.NoError(t, err)
		time.Sleep(10 * time.Microsecond)
	}
	time.Sleep(2 * batchDelay)
	warning := `{"level":"warn","message":"store unavailable"}` + "\n"
	_, err := b.Write([]byte(warning))
	require.NoError(t, err)
	b.Close(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	require.LessOrEqual(t, out.text.Len(), maxBytes+len(warning))
	require.True(t, strings.HasSuffix(out.text.String(), warning))
	require.Equal(t, map[string]uint64{"call dispatched": 1000 - uint64((out.text.Len()-len(warning))/len(info))}, b.Dropped())
}
