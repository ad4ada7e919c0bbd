package vrlog

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
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
	const maxBytes, rate = 4000, 1
	began := time.Now()
	b := newBounded(out, maxBytes, rate)
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
	refilled := int(time.Since(began).Seconds() * rate)
	require.LessOrEqual(t, out.text.Len(), maxBytes+refilled+len(warning))
	require.True(t, strings.HasSuffix(out.text.String(), warning))
	require.Equal(t, map[string]uint64{"send": 1000 - uint64((out.text.Len()-len(warning))/len(info))}, b.Dropped())
}

// Guards against a change of a metric's label values by the rewording of a log message, which is
// also the label value of its dropped lines unless _kindByMessage lists it.
func TestKindsOfRewordedMessages(t *testing.T) {
	tests := []struct{ message, kind string }{
		{"server registration changed", "server seen"},
		{"server removed", "server gone"},
		{"server ejected", "server set aside"},
		{"store unavailable", "store lost"},
		{"store available again", "store back"},
		{"server missing from store after outage, removal deferred", "server missing after an outage"},
		{"catalog adopted", "catalog in force"},
		{"placement owner updated", "placement owner"},
		{"daemon count changed", "daemons listed"},
		{"order issued", "order"},
		{"required replicas changed", "model need"},
		{"call queued", "wait"},
		{"call dispatched", "send"},
		{"sending to peer failed, queued messages dropped", "peer not reached"},
		{"peer TLS handshake failed", "peer refused"},
		{"peer frame rejected", "peer frame refused"},
		{"cannot encode peer message", "message not encoded"},
		{"cannot accept peer connection", "peer connection not accepted"},
		{"cannot reload peer TLS files, using the previous ones", "peer TLS files not reloaded"},
		{"cannot encode lease record", "lease record can't be encoded"},
		{"cannot reload settings, using the previous ones", "settings not reloaded"},
		{"cannot read server status", "report not read"},
		{"store history expired, listing again", "history gone"},
		{"invalid object ignored", "object ignored"},
		{"gateway starting", "gateway starts"},
		{"proxy server stopped", "callers' server ended"},
		{"gateway stopping", "gateway stops"},
	}
	require.Len(t, _kindByMessage, len(tests))
	for _, test := range append(tests, struct{ message, kind string }{"call ended", "call ended"}) {
		t.Run(test.message, func(t *testing.T) {
			// A capacity of zero drops every line.
			b := newBounded(io.Discard, 0, bytesPerSecond)
			defer b.Close(time.Second)
			NewBoundedLogger(b).Warn(test.message, zap.String("detail", "d"))
			require.Equal(t, map[string]uint64{test.kind: 1}, b.Dropped())
		})
	}
}
