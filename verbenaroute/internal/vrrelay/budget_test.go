package vrrelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that wait for each other, each with a part of the memory that another one needs, and
// against a budget that is exceeded or not returned: in any order of steps, ends and departures, some body can
// always go on.
func TestBodiesNeverWaitForEachOther(t *testing.T) {
	for seed := range uint64(500) {
		if !t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testRandomBodies(t, rand.New(rand.NewPCG(seed, 0))) }) {
			return
		}
	}
}

func testRandomBodies(t *testing.T, random *rand.Rand) {
	const limit, steps, maxStep = 100, 60, 30
	b := newBodyBudget(limit)
	now := time.Unix(1000, 0)
	var open []*bodyClaim
	for range steps {
		now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		if len(open) == 0 || random.IntN(2) == 0 {
			claim := b.newClaim(1 + random.Int64N(limit))
			if b.grant(now, claim) {
				open = append(open, claim)
			}
			continue
		}
		claim := open[random.IntN(len(open))]
		claim.step = min(1+random.Int64N(maxStep), claim.need-claim.held)
		b.grant(now, claim)
		claim.whole = claim.held == claim.need
		require.LessOrEqual(t, b.held, int64(limit))
	}
	for len(open) > 0 {
		i := slices.IndexFunc(open, func(claim *bodyClaim) bool {
			claim.step = claim.need - claim.held
			return claim.whole || b.grant(now, claim)
		})
		require.GreaterOrEqual(t, i, 0, "none of %d bodies can go on", len(open))
		b.release(open[i])
		open = slices.Delete(open, i, i+1)
	}
	require.Zero(t, b.held)
}

// Guards against bodies that begin although those before them will take the memory, against ones that slow
// bodies keep from beginning, and against ones that begin out of order.
func TestBodyBeginsIfItWillFit(t *testing.T) {
	const limit = 100
	now := time.Unix(1000, 0)
	b := newBodyBudget(limit)
	first := b.newClaim(60)
	first.step = 10
	require.True(t, b.grant(now, first))
	second, third := b.newClaim(50), b.newClaim(40)
	second.step, third.step = 10, 10
	b.entering = []*bodyClaim{second, third}
	b.dispatch(now)
	require.Len(t, b.entering, 2, "the first body may take 60 of 100")
	b.dispatch(now.Add(time.Second))
	require.Len(t, b.entering, 1, "the first body has sent 10 within a second, so the second may begin, but not the third")
	require.True(t, <-second.granted)
	first.step = 45
	require.True(t, b.grant(now.Add(time.Second), first))
	second.step = 35
	require.False(t, b.grant(now.Add(time.Second), second), "neither body could be completed with what is left")
	b.continuing = []*bodyClaim{second}
	b.release(first)
	require.True(t, <-second.granted)
	require.True(t, <-third.granted)
	require.Empty(t, b.entering)
}

// Guards against a small body that is refused while no memory is held, because large ones that have not arrived wait
// before it, and against small ones that take the memory for which a large one waits.
func TestSmallBodiesPassLargeOnesThatWait(t *testing.T) {
	const limit, smallNeed = 6400, 100
	b := newBodyBudget(limit)
	large := b.newClaim(limit)
	_, ok := b.take(large, 0, 0)
	require.True(t, ok)
	waiting := b.newClaim(limit)
	b.entering = append(b.entering, waiting)
	for range limit / smallBodyFreeDivisor / smallNeed {
		_, ok = b.take(b.newClaim(smallNeed), smallNeed, 0)
		require.True(t, ok)
	}
	_, ok = b.take(b.newClaim(smallNeed), smallNeed, 0)
	require.False(t, ok)
	require.Equal(t, []*bodyClaim{waiting}, b.entering)
}
