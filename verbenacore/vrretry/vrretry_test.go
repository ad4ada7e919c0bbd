package vrretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrretry"
)

// taken returns how many of the given number of retries the budget allows at one time.
func taken(b *vrretry.Budget, now time.Time, tries int) int {
	count := 0
	for range tries {
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
		sum += taken(b, now, 100)
	}
	require.LessOrEqual(t, sum, 58)
	require.Positive(t, sum)
}

// Retries during an outage must stay within the budget in every window, also in one that
// overlaps two consecutive windows which each meet the limit.
func TestAnyWindowStaysWithinTheBudget(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	b := vrretry.New(vrretry.Options{Ratio: 0.2, Slack: 20, Window: 10 * time.Second})
	var resends []time.Time
	requests := 0
	for at := time.Duration(0); at < 40*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		b.CountRequest(now, "app")
		requests++
		for range taken(b, now, 5) {
			resends = append(resends, now)
		}
	}
	for i := range resends {
		inWindow := 0
		for _, at := range resends[i:] {
			if at.Sub(resends[i]) < 10*time.Second {
				inWindow++
			}
		}
		require.LessOrEqual(t, float64(inWindow), 0.2*100+20, "window from %v", resends[i].Sub(start))
	}
}
