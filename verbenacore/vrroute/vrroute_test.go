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

func newTable(leastLoaded bool) *vrroute.Table {
	return vrroute.New(vrroute.Options{Random: rand.New(rand.NewPCG(1, 2)), LeastLoaded: leastLoaded})
}

func newServer(id vrid.ServerID, distance vrroute.Distance, running uint32) vrroute.Update {
	return vrroute.Update{
		Item: vrwire.ServerItem{
			Server: id, Pool: "pool", State: vrwire.ServerLive, Slots: slots, Running: running,
			Replicas: []vrwire.ReplicaItem{{Model: "m", State: vrwire.ReplicaLoaded}},
		},
		Distance: distance,
	}
}

func newQuery() vrroute.Query { return vrroute.Query{Model: "m", CrossRegion: true} }

func choose(table *vrroute.Table, now time.Time, q vrroute.Query) vrid.ServerID {
	if s := table.Choose(now, q); s != nil {
		return s.ID
	}
	return ""
}

// TestChoose checks the choice of a server: a wrong one sends requests to servers that refuse
// them, are far away, or are overloaded.
func TestChoose(t *testing.T) {
	leaving := newServer("leaving", vrroute.SameZone, 0)
	leaving.Item.State = vrwire.ServerLeaving
	withShare := newServer("shared", vrroute.SameZone, 0)
	withShare.Share = 0.05
	tests := []struct {
		name        string
		leastLoaded bool
		servers     []vrroute.Update
		adjustQuery func(*vrroute.Query)
		prepare     func(*vrroute.Table)
		want        vrid.ServerID
	}{
		{name: "the less loaded", servers: []vrroute.Update{newServer("a", vrroute.SameZone, 9), newServer("b", vrroute.SameZone, 2)}, want: "b"},
		{name: "not a leaving one", servers: []vrroute.Update{leaving, newServer("b", vrroute.SameZone, 9)}, want: "b"},
		{name: "the near one if the loads are similar", servers: []vrroute.Update{newServer("far", vrroute.OtherRegion, 1), newServer("near", vrroute.SameZone, 3)}, want: "near"},
		{name: "the baseline policy ignores the distance", leastLoaded: true, servers: []vrroute.Update{newServer("far", vrroute.OtherRegion, 1), newServer("near", vrroute.SameZone, 3)}, want: "far"},
		{
			name: "no other region beyond the budget", servers: []vrroute.Update{newServer("far", vrroute.OtherRegion, 0)},
			adjustQuery: func(q *vrroute.Query) { q.CrossRegion = false },
		},
		{
			name: "the reserve of higher ranks", servers: []vrroute.Update{newServer("a", vrroute.SameZone, slots-1)},
			adjustQuery: func(q *vrroute.Query) { q.Rank = vrid.RankDeferred },
		},
		{
			name: "a floor may use the reserve", servers: []vrroute.Update{newServer("a", vrroute.SameZone, slots-1)},
			adjustQuery: func(q *vrroute.Query) { q.Rank, q.BelowFloor = vrid.RankDeferred, true }, want: "a",
		},
		{
			name: "no more than the share", servers: []vrroute.Update{withShare},
			adjustQuery: func(q *vrroute.Query) { q.Rank = vrid.RankNormal },
			prepare: func(table *vrroute.Table) {
				table.Start(table.Server("shared"))
				table.Start(table.Server("shared"))
			},
		},
		{
			name: "no request to a server that was full", servers: []vrroute.Update{newServer("a", vrroute.SameZone, 0)},
			prepare: func(table *vrroute.Table) { table.RecordBusy(start, "a") },
		},
		{
			name: "without the model", servers: []vrroute.Update{newServer("a", vrroute.SameZone, 0)},
			prepare: func(table *vrroute.Table) { table.RemoveReplica("a", "m") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(test.leastLoaded)
			table.SetServers(test.servers)
			if test.prepare != nil {
				test.prepare(table)
			}
			q := newQuery()
			if test.adjustQuery != nil {
				test.adjustQuery(&q)
			}
			require.Equal(t, test.want, choose(table, start, q))
		})
	}
}

// TestFailingServerIsEjectedAndProbed guards against a failing server that is not ejected and
// fails every request, and against an ejected server that is never probed and so stays unused
// after it recovered.
func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	table := newTable(false)
	table.SetServers([]vrroute.Update{newServer("a", vrroute.SameZone, 0)})
	fail := func() {
		table.Start(table.Server("a"))
		table.End(start, "a", false)
	}
	fail()
	fail()
	require.True(t, table.Loaded(start, newQuery()))
	fail()
	require.Empty(t, choose(table, start, newQuery()))
	require.False(t, table.Loaded(start, newQuery()), "a load elsewhere may start")
	later := start.Add(3 * time.Second)
	require.True(t, table.Loaded(later, newQuery()), "the probe is due")
	require.Equal(t, vrid.ServerID("a"), choose(table, later, newQuery()))
	table.Start(table.Server("a"))
	require.Empty(t, choose(table, later, newQuery()), "one probe at a time")
	table.End(later, "a", true)
	require.Equal(t, vrid.ServerID("a"), choose(table, later, newQuery()))
}

// TestSlowServersAreEjected guards against a slow server that stays in use and delays the requests
// that are sent to it.
func TestSlowServersAreEjected(t *testing.T) {
	table := newTable(false)
	var servers []vrroute.Update
	for i := range 6 {
		servers = append(servers, newServer(vrid.ServerID(fmt.Sprintf("s%d", i)), vrroute.SameZone, 0))
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
		require.NotEqual(t, vrid.ServerID("s0"), choose(table, start, newQuery()))
	}
}

// TestPrefixAffinity checks that a request goes to a server that has the prefix of its prompt
// cached, because another one would compute the prefix again, and that an outdated entry or a
// much higher load does not send requests to that server.
func TestPrefixAffinity(t *testing.T) {
	const prefix = 7
	tests := []struct {
		name   string
		load   uint32
		events []vrengine.CacheEvent
		want   vrid.ServerID
	}{
		{name: "cached", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}}, want: "warm"},
		{name: "cached at a server with a much higher load", load: 14, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}}, want: "cold"},
		{name: "evicted", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 2, Model: "m", Prefix: prefix, Evicted: true}}, want: "cold"},
		{name: "a small gap", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 9, Model: "m", Prefix: 1}}, want: "warm"},
		{name: "a large gap", load: 2, events: []vrengine.CacheEvent{{Number: 1, Model: "m", Prefix: prefix}, {Number: 900, Model: "m", Prefix: 1}}, want: "cold"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(false)
			table.SetServers([]vrroute.Update{newServer("warm", vrroute.SameZone, test.load), newServer("cold", vrroute.SameZone, 0)})
			table.ApplyCacheEvents("warm", test.events)
			q := newQuery()
			q.Prefix = prefix
			require.Equal(t, test.want, choose(table, start, q))
		})
	}
}

// TestChooseAllocatesNothing guards against an allocation in Choose, which would cost time at
// every request.
func TestChooseAllocatesNothing(t *testing.T) {
	table := newTable(false)
	table.SetServers([]vrroute.Update{newServer("a", vrroute.SameZone, 0), newServer("b", vrroute.OtherRegion, 0)})
	q := newQuery()
	q.Prefix = 3
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Choose(start, q) }))
}
