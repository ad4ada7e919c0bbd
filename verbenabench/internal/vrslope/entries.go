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

// Traffic makes entries as a busy daemon makes them: most requests go to few models.
type Traffic struct {
	random *rand.Rand
	fleet  *vrconfig.Fleet
	zipf   *rand.Zipf
}

// entropy is the random part of a request id.
type entropy struct{ random *rand.Rand }

func (e entropy) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = byte(e.random.Uint32())
	}
	return len(data), nil
}

// NewTraffic returns traffic over the declared models and adapters.
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

// Parts of the traffic.
const (
	// refusedPart of the requests is refused.
	refusedPart = 0.02
	adapterPart = 0.3
	coldPart    = 0.01
	callers     = 400
	zoneServers = 290
	maxTokens   = 400
	maxQueued   = 40 * time.Millisecond
	maxFirst    = 900 * time.Millisecond
	tokenTime   = 60 * time.Millisecond
)

// Entry returns the terminal entry of one request that ended at a time.
func (t *Traffic) Entry(at time.Time) vrrecord.Entry {
	model := t.fleet.Models[t.zipf.Uint64()]
	entry := vrrecord.Entry{
		Kind:    vrrecord.EntryAnswered,
		Request: vrid.RequestID(ulid.MustNew(ulid.Timestamp(at), entropy{t.random}).String()),
		Zone:    measuredZone, At: at.UnixMilli(),
		Caller: vrid.CallerID(fmt.Sprintf("school-%d", t.random.IntN(callers))),
		Rank:   vrid.Rank(t.random.IntN(vrid.RankCount)), KindID: model.Kind, Model: model.ID,
		Config: 1, Epoch: 1,
	}
	if t.random.Float64() < refusedPart {
		entry.Kind, entry.Reason, entry.Ran, entry.Status = vrrecord.EntryRefused, "deadlineUnreachable", vrrecord.RanNo, 503
		entry.Total = t.upTo(maxQueued)
		return entry
	}
	if t.random.Float64() < adapterPart {
		entry.Adapter = t.fleet.Adapters[t.random.IntN(len(t.fleet.Adapters))].ID
	}
	entry.Ran, entry.Attempts, entry.Cold = vrrecord.RanYes, 1, t.random.Float64() < coldPart
	entry.Server = vrid.ServerID(fmt.Sprintf("lm-serve-%d", 1+t.random.IntN(zoneServers)))
	entry.ServerZone = measuredZone
	entry.Tokens = uint32(1 + t.random.IntN(maxTokens))
	entry.Queued = t.upTo(maxQueued)
	entry.FirstToken = entry.Queued + t.upTo(maxFirst)
	entry.Total = entry.FirstToken + int64(entry.Tokens)*t.upTo(tokenTime)
	return entry
}

// upTo returns a random length of time in microseconds.
func (t *Traffic) upTo(limit time.Duration) int64 { return t.random.Int64N(limit.Microseconds()) }
