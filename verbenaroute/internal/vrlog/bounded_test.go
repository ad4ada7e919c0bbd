package vrlog

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// An output that does not take lines must not hold up who logs, which happens under the
// lock of all decisions; what is lost has to be known.
func TestBoundedNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	out := &stuckOutput{release: make(chan struct{})}
	b := newBounded(out, 100)
	for range 1000 {
		_, err := b.Write([]byte("0123456789"))
		require.NoError(t, err)
	}
	require.Positive(t, b.Dropped())
	close(out.release)
	b.Close(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	require.EqualValues(t, 1000, uint64(out.text.Len()/10)+b.Dropped())
}
