package vrretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrretry"
)

// allowedRetries requests the given number of retries at one time and returns how many of them
// the budget allows.
func allowedRetries(b *vrretry.Budget, now time.Time, attempts int) int {
	count := 0
	for range attempts {
		if b.AllowRetry(now, "app") {
			count++
		}
	}
	return count
}

// If each daemon used the whole slack, the daemons together would exceed the shared budget.
func TestDaemonsShareTheSlack(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	sum := 0
	for range 9 {
		b := vrretry.New(vrretry.Options{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
		b.SetDaemons(9)
		sum += allowedRetries(b, now, 100)
	}
	require.LessOrEqual(t, sum, 58)
	require.Positive(t, sum)
}

// Retries during an outage must stay within the budget in every window, also in one that
// overlaps two consecutive windows which each meet the limit.
func TestAnyWindowStaysWithinTheBudget(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	b := vrretry.New(vrretry.Options{Ratio: 0.2, Slack: 20, Window: 10 * time.Second})
	var retries []time.Time
	requests := 0
	for at := time.Duration(0); at < 40*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		b.CountRequest(now, "app")
		requests++
		for range allowedRetries(b, now, 5) {
			retries = append(retries, now)
		}
	}
	for i := range retries {
		inWindow := 0
		for _, at := range retries[i:] {
			if at.Sub(retries[i]) < 10*time.Second {
				inWindow++
			}
		}
		require.LessOrEqual(t, float64(inWindow), 0.2*100+20, "window from %v", retries[i].Sub(start))
	}
}

// The check alone must not use the budget up, and must deny what AllowRetry would deny: a caller that may
// not send the retry after all would take it from others, and one that relies on the check would be denied.
func TestCheckDoesNotCountRetry(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	// 0.8 of the slack is used: one retry.
	b := vrretry.New(vrretry.Options{Slack: 1.25, Window: 10 * time.Second})
	for range 3 {
		require.True(t, b.HasRetry(now, "app"))
	}
	require.Equal(t, 1, allowedRetries(b, now, 3))
	require.False(t, b.HasRetry(now, "app"))
	require.True(t, b.HasRetry(now.Add(11*time.Second), "app"))
}
