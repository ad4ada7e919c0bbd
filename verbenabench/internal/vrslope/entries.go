package vrslope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// Traffic generates record entries like those of a busy daemon. The models follow a Zipf
// distribution: most requests go to few models.
type Traffic struct {
	random *rand.Rand
	fleet  *vrconfig.Fleet
	zipf   *rand.Zipf
}

// entropy is the source of the random part of a request ID.
type entropy struct{ random *rand.Rand }

func (e entropy) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = byte(e.random.Uint32())
	}
	return len(data), nil
}

// NewTraffic returns traffic for a deployment with the given numbers of models and adapters.
func NewTraffic(seed uint64, size vrdeploy.Size) (*Traffic, error) {
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, size)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	const skew = 1.1
	return &Traffic{
		random: random,
		fleet:  &deployment.Fleet,
		zipf:   rand.NewZipf(random, skew, 1, uint64(len(deployment.Fleet.Models)-1)),
	}, nil
}

// Fractions and limits of the generated requests.
const (
	// refusedFraction is the fraction of requests that are refused.
	refusedFraction  = 0.02
	adapterFraction  = 0.3
	coldFraction     = 0.01
	callerCount      = 400
	serverCount      = 290
	maxAnswerTokens  = 400
	maxQueued        = 40 * time.Millisecond
	maxFirstToken    = 900 * time.Millisecond
	maxTokenInterval = 60 * time.Millisecond
)

// Entry returns the terminal entry of a random request that ended at the given time.
func (t *Traffic) Entry(at time.Time) vrrecord.Entry {
	model := t.fleet.Models[t.zipf.Uint64()]
	entry := vrrecord.Entry{
		Kind:    vrrecord.EntryAnswered,
		Request: vrid.RequestID(ulid.MustNew(ulid.Timestamp(at), entropy{t.random}).String()),
		Zone:    measuredZone, At: at.UnixMilli(),
		Caller: vrid.CallerID(fmt.Sprintf("school-%d", t.random.IntN(callerCount))),
		Rank:   vrid.Rank(t.random.IntN(vrid.RankCount)), KindID: model.Kind, Model: model.ID,
		Config: 1, Epoch: 1,
	}
	if t.random.Float64() < refusedFraction {
		entry.Kind, entry.Reason, entry.Ran, entry.Status = vrrecord.EntryRefused, "deadlineUnreachable", vrrecord.RanNo, 503
		entry.Total = t.randomMicros(maxQueued)
		return entry
	}
	if t.random.Float64() < adapterFraction {
		entry.Adapter = t.fleet.Adapters[t.random.IntN(len(t.fleet.Adapters))].ID
	}
	entry.Ran, entry.Attempts, entry.Cold = vrrecord.RanYes, 1, t.random.Float64() < coldFraction
	entry.Server = vrid.ServerID(fmt.Sprintf("lm-serve-%d", 1+t.random.IntN(serverCount)))
	entry.ServerZone = measuredZone
	entry.Tokens = uint32(1 + t.random.IntN(maxAnswerTokens))
	entry.Queued = t.randomMicros(maxQueued)
	entry.FirstToken = entry.Queued + t.randomMicros(maxFirstToken)
	entry.Total = entry.FirstToken + int64(entry.Tokens)*t.randomMicros(maxTokenInterval)
	return entry
}

// randomMicros returns a random duration below the limit, in microseconds.
func (t *Traffic) randomMicros(limit time.Duration) int64 {
	return t.random.Int64N(limit.Microseconds())
}
