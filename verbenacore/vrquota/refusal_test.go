package vrquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused calls of a tenant at three times its limit that are all told to return when there is credit
// for the first of them: they came back within a few milliseconds and were refused again.
func TestRefusedCallsReturnOneAfterTheOther(t *testing.T) {
	m := newFilledModel(t)
	h := m.hosts[1]
	limit := h.daemon.Limit(tenant)
	const cost = 700
	var delays []time.Duration
	for range 400 {
		denied := m.denied
		m.arrive(h, cost)
		m.steps(time.Duration(cost / (3 * limit.Rate) * float64(time.Second)))
		if m.denied > denied {
			delays = append(delays, h.daemon.Refuse(m.clock(h), tenant, cost, time.Millisecond))
		}
	}
	require.Greater(t, len(delays), 100)
	first, last := delays[0], delays[len(delays)-1]
	require.Less(t, first, time.Second)
	require.Greater(t, last, 2*time.Second)
	require.LessOrEqual(t, last, 5*time.Second)
}
