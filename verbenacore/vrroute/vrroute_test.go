package vrroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

var start = time.Unix(1_000_000, 0)

const slots = 16

func newTable(plain bool) *vrroute.Table {
	return vrroute.New(vrroute.Options{Random: rand.New(rand.NewPCG(1, 2)), LeastLoaded: plain})
}

func server(id vrid.ServerID, distance vrroute.Distance, running uint32) vrroute.Update {
	return vrroute.Update{
		Item: vrwire.ServerItem{
			Server: id, Pool: "pool", State: vrwire.ServerLive, Slots: slots, Running: running,
			Replicas: []vrwire.ReplicaItem{{Model: "m", State: vrwire.ReplicaLoaded}},
		},
		Distance: distance,
	}
}

func query() vrroute.Query { return vrroute.Query{Model: "m", CrossRegion: true} }

func chosen(table *vrroute.Table, now time.Time, q vrroute.Query) vrid.ServerID {
	if s := table.Choose(now, q); s != nil {
		return s.ID
	}
	return ""
}

// A wrong choice sends requests to servers that refuse them, are far, or are overloaded.
func TestChoose(t *testing.T) {
	leaving := server("leaving", vrroute.SameZone, 0)
	leaving.Item.State = vrwire.ServerLeaving
	shared := server("shared", vrroute.SameZone, 0)
	shared.Share = 0.05
	tests := []struct {
		name    string
		plain   bool
		servers []vrroute.Update
		change  func(*vrroute.Query)
		before  func(*vrroute.Table)
		want    vrid.ServerID
	}{
		{name: "the less loaded", servers: []vrroute.Update{server("a", vrroute.SameZone, 9), server("b", vrroute.SameZone, 2)}, want: "b"},
		{name: "not a leaving one", servers: []vrroute.Update{leaving, server("b", vrroute.SameZone, 9)}, want: "b"},
		{name: "the near one at a similar load", servers: []vrroute.Update{server("far", vrroute.OtherRegion, 1), server("near", vrroute.SameZone, 3)}, want: "near"},
		{name: "the plain policy ignores the distance", plain: true, servers: []vrroute.Update{server("far", vrroute.OtherRegion, 1), server("near", vrroute.SameZone, 3)}, want: "far"},
		{
			name: "no other region beyond the budget", servers: []vrroute.Update{server("far", vrroute.OtherRegion, 0)},
			change: func(q *vrroute.Query) { q.CrossRegion = false },
		},
		{
			name: "the reserve of higher ranks", servers: []vrroute.Update{server("a", vrroute.SameZone, slots-1)},
			change: func(q *vrroute.Query) { q.Rank = vrid.RankDeferred },
		},
		{
			name: "a floor may use the reserve", servers: []vrroute.Update{server("a", vrroute.SameZone, slots-1)},
			change: func(q *vrroute.Query) { q.Rank, q.BelowFloor = vrid.RankDeferred, true }, want: "a",
		},
		{
			name: "no more than the share", servers: []vrroute.Update{shared},
			change: func(q *vrroute.Query) { q.Rank = vrid.RankNormal },
			before: func(table *vrroute.Table) {
				table.Start(table.Server("shared"))
				table.Start(table.Server("shared"))
			},
		},
		{
			name: "a server that was full rests", servers: []vrroute.Update{server("a", vrroute.SameZone, 0)},
			before: func(table *vrroute.Table) { table.RecordBusy(start, "a") },
		},
		{
			name: "without the model", servers: []vrroute.Update{server("a", vrroute.SameZone, 0)},
			before: func(table *vrroute.Table) { table.RemoveReplica("a", "m") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(test.plain)
			table.SetServers(test.servers)
			if test.before != nil {
				test.before(table)
			}
			q := query()
			if test.change != nil {
				test.change(&q)
			}
			require.Equal(t, test.want, chosen(table, start, q))
		})
	}
}

// A failing server that keeps its place fails every request; one that is never probed
// stays lost after it recovered.
func TestFailingServerIsSetAsideAndProbed(t *testing.T) {
	table := newTable(false)
	table.SetServers([]vrroute.Update{server("a", vrroute.SameZone, 0)})
	fail := func() {
		table.Start(table.Server("a"))
		table.End(start, "a", false)
	}
	fail()
	fail()
	require.True(t, table.Loaded(start, query()))
	fail()
	require.Empty(t, chosen(table, start, query()))
	require.False(t, table.Loaded(start, query()), "a load elsewhere may start")
	later := start.Add(3 * time.Second)
	require.True(t, table.Loaded(later, query()), "the probe is due")
	require.Equal(t, vrid.ServerID("a"), chosen(table, later, query()))
	table.Start(table.Server("a"))
	require.Empty(t, chosen(table, later, query()), "one probe at a time")
	table.End(later, "a", true)
	require.Equal(t, vrid.ServerID("a"), chosen(table, later, query()))
}

// A slow server delays its requests; setting most servers aside for the load of all of
// them would make it worse.
func TestSlowServersAreSetAside(t *testing.T) {
	table := newTable(false)
	var servers []vrroute.Update
	for i := range 6 {
		servers = append(servers, server(vrid.ServerID(fmt.Sprintf("s%d", i)), vrroute.SameZone, 0))
	}
	table.SetServers(servers)
	for range 100 {
		for i := range 6 {
			elapsed := 50 * time.Millisecond
			if i == 0 {
				elapsed = 2 * time.Second
			}
			table.RecordFirstToken(start, vrid.ServerID(fmt.Sprintf("s%d", i)), elapsed)
		}
	}
	for range 50 {
		require.NotEqual(t, vrid.ServerID("s0"), chosen(table, start, query()))
	}
}

// A prompt whose prefix is cached elsewhere is computed again; a stale entry must not
// send everything to one full server.
func TestPrefixAffinity(t *testing.T) {
	const prefix = 7
	tests := []struct {
		name   string
		load   uint32
		events []vrengine.CacheEvent
		want   vrid.ServerID
	}{
		{name: "cached", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}}, want: "warm"},
		{name: "cached at a full server", load: 14, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}}, want: "cold"},
		{name: "evicted", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 2, Model: "m", Prefix: prefix, Evicted: true}}, want: "cold"},
		{name: "a small gap", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 9, Model: "m", Prefix: 1}}, want: "warm"},
		{name: "a large gap", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 900, Model: "m", Prefix: 1}}, want: "cold"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(false)
			table.SetServers([]vrroute.Update{server("warm", vrroute.SameZone, test.load), server("cold", vrroute.SameZone, 0)})
			table.ApplyCacheEvents("warm", test.events)
			q := query()
			q.Prefix = prefix
			require.Equal(t, test.want, chosen(table, start, q))
		})
	}
}

// An allocation for each choice costs time at every request.
func TestChooseAllocatesNothing(t *testing.T) {
	table := newTable(false)
	table.SetServers([]vrroute.Update{server("a", vrroute.SameZone, 0), server("b", vrroute.OtherRegion, 0)})
	q := query()
	q.Prefix = 3
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Choose(start, q) }))
}
