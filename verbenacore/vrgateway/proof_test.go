package vrgateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// catalogQueries returns the queries among effects, by receiver.
func catalogQueries(effects []vrevent.Effect) map[vrid.DaemonID][]*vrwire.CatalogQuery {
	queries := make(map[vrid.DaemonID][]*vrwire.CatalogQuery)
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendPeer); ok && send.Envelope.Notices != nil && send.Envelope.Notices.CatalogQuery != nil {
			queries[send.Peer] = append(queries[send.Peer], send.Envelope.Notices.CatalogQuery)
		}
	}
	return queries
}

// deliver passes the messages among effects that are for the daemon other to it.
func (d *daemon) deliver(effects []vrevent.Effect, to vrid.DaemonID, other *daemon) []vrevent.Effect {
	var caused []vrevent.Effect
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendPeer); ok && send.Peer == to {
			caused = append(caused, other.reduce(vrevent.PeerMessage{Envelope: d.seal(send.Envelope)})...)
		}
	}
	return caused
}

// seal returns an envelope as it arrives, with its sender d.
func (d *daemon) seal(envelope *vrwire.Envelope) *vrwire.Envelope {
	sealed := *envelope
	sealed.From, sealed.Boot = d.id, vrid.BootID("boot of "+d.id)
	data, err := vrwire.Marshal(&sealed)
	require.NoError(d.t, err)
	decoded, err := vrwire.Unmarshal[vrwire.Envelope](data)
	require.NoError(d.t, err)
	return decoded
}

// replyTo returns a reply of d2 to d1's query that was sent at sentAt, with a proof that was 100 ms old.
func replyTo(query *vrwire.CatalogQuery, version vrid.ConfigVersion) *vrwire.CatalogReply {
	return &vrwire.CatalogReply{Boot: "boot of d1", SentAt: query.SentAt, Version: version, ProofAge: 100}
}

func (d *daemon) receiveReply(reply *vrwire.CatalogReply) []vrevent.Effect {
	return d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "boot of d2", Notices: &vrwire.Notices{CatalogReply: reply}}})
}

// askedQuery returns the first query of a daemon whose proof is too old.
func (d *daemon) askedQuery() *vrwire.CatalogQuery {
	for range 200 {
		for _, sent := range catalogQueries(d.tickFor(25 * time.Millisecond)) {
			return sent[0]
		}
	}
	require.Fail(d.t, "nothing was asked")
	return nil
}

// Guards against a daemon that the store rejects and that goes on with a revoked key, or refuses all keys,
// although another daemon knows the newest catalog.
func TestRejectedDaemonGetsProofAndCatalogFromOthers(t *testing.T) {
	rejected := newTenantDaemon(t, appEntry("a1"))
	rejected.reduce(vrevent.StoreLost{})
	other := newTenantDaemonAt(t, "d2", "z", time.Unix(5_000, 0))
	other.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2, "new")})
	other.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Zone: "z"}}})
	other.prove()
	var reached bool
	for until := rejected.now.Add(20 * time.Second); rejected.now.Before(until); {
		effects := rejected.tickFor(100 * time.Millisecond)
		other.now = other.now.Add(100 * time.Millisecond)
		other.prove()
		replies := rejected.deliver(effects, "d2", other)
		reached = reached || len(replies) > 0
		other.deliver(replies, "d1", rejected)
	}
	require.True(t, reached)
	require.EqualValues(t, 2, rejected.state.Catalog().Version)
	require.Equal(t, vrwire.ReasonTenantUnknown, rejected.requireRefused(rejected.arriveWithKey("read", "k")).Reason)
	require.EqualValues(t, "of new", rejected.requireSent(rejected.arriveWithKey("read", "new")).Tenant)
	require.Equal(t, vrid.ConfigVersion(2), rejected.askedQuery().Version, "the catalog is not sent twice")
}

// Guards against a daemon that has just started and refuses everything while the store is away, although other
// daemons have the catalog.
func TestDaemonWithoutCatalogGetsItFromOthers(t *testing.T) {
	d := newTenantDaemonAt(t, "d1", "z", time.Unix(1_790_000_000, 0))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2"}}})
	query := d.askedQuery()
	reply := replyTo(query, 4)
	var err error
	reply.Catalog, err = vrcodec.EncodeCatalog(tenantCatalog(4, "k"))
	require.NoError(t, err)
	d.receiveReply(reply)
	require.EqualValues(t, 4, d.state.Catalog().Version)
	d.reduce(vrevent.FleetListed{Entries: []vrfleet.Entry{appEntry("a1")}})
	require.EqualValues(t, "of k", d.requireSent(d.arriveWithKey("read", "k")).Tenant)
}

// Guards against replies that prove more than they can: a late one counts from the sending of its query, and
// none of a former era, of a former run, about a newer catalog or with a malformed one proves anything.
func TestRepliesProveNoMoreThanTheyCan(t *testing.T) {
	newest, err := vrcodec.EncodeCatalog(tenantCatalog(2, "k"))
	require.NoError(t, err)
	for _, test := range []struct {
		name   string
		late   time.Duration
		change func(*vrwire.CatalogReply)
		// accepted says whether the key is accepted when the reply has arrived.
		accepted bool
	}{
		{"prompt", 20 * time.Millisecond, func(*vrwire.CatalogReply) {}, true},
		{"late", acceptedFor - 100*time.Millisecond, func(*vrwire.CatalogReply) {}, true},
		{"too late", acceptedFor - 99*time.Millisecond, func(*vrwire.CatalogReply) {}, false},
		{"old proof", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.ProofAge = 5000 }, false},
		{"former run", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Boot = "boot before" }, false},
		{"query of the future", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.SentAt += 100_000 }, false},
		{"newer catalog", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Version, r.Catalog = 2, newest }, true},
		{"newer catalog is missing", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Version = 2 }, false},
		{"newer catalog is malformed", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Version, r.Catalog = 2, newest[:9] }, false},
		{"another version", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Version, r.Catalog = 3, newest }, false},
		{"former era", 20 * time.Millisecond, func(r *vrwire.CatalogReply) { r.Era = 4 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTenantDaemon(t, appEntry("a1"))
			d.reduce(vrevent.StoreRestored{Era: 5})
			d.reduce(vrevent.StoreLost{})
			query := d.askedQuery()
			require.EqualValues(t, 5, query.Era)
			reply := replyTo(query, 1)
			reply.Era = 5
			test.change(reply)
			sentAt := time.Unix(1_790_000_000, 0).Add(time.Duration(query.SentAt) * time.Millisecond)
			if arrival := sentAt.Add(test.late); arrival.After(d.now) {
				d.now = arrival
			}
			d.receiveReply(reply)
			effects := d.arriveWithKey("read", "k")
			if test.accepted {
				require.Equal(t, sentAt.Add(-time.Duration(reply.ProofAge)*time.Millisecond+revocation-100*time.Millisecond), d.requireSent(effects).AuthorizedUntil)
				return
			}
			requireNoSend(t, effects)
		})
	}
}

// Guards against answers that pass on what the sender itself has only from other daemons, or that are old.
func TestOnlyOwnRecentProofsArePassedOn(t *testing.T) {
	answers := func(d *daemon, query *vrwire.CatalogQuery) int {
		return len(d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d3", Boot: "b", Notices: &vrwire.Notices{CatalogQuery: query}}}))
	}
	query := &vrwire.CatalogQuery{Version: 1, SentAt: 7}
	d := newTenantDaemon(t)
	d.now = d.now.Add(2 * time.Second)
	require.Equal(t, 1, answers(d, query))
	require.Zero(t, answers(d, &vrwire.CatalogQuery{Version: 1, SentAt: 7, Era: 1}), "the proof is of a former era")
	d.now = d.now.Add(time.Millisecond)
	require.Zero(t, answers(d, query))
	d.receiveReply(replyTo(d.askedQuery(), 1))
	d.requireSent(append(d.reduce(vrevent.FleetListed{Entries: []vrfleet.Entry{appEntry("a1")}}), d.arriveWithKey("read", "k")...))
	require.Zero(t, answers(d, query), "the proof is another daemon's")

	// A heartbeat of the owner proves the version that it names.
	age := d.now.Sub(time.Unix(1_790_000_000, 0)).Milliseconds()
	heartbeat := &vrwire.Notices{Epoch: 1, CatalogVersion: 1, StoreAge: 100, ReportBoot: "boot of d1", ReportSentAt: age - 50, ReportAge: 50}
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: heartbeat}})
	require.Equal(t, 1, answers(d, query))
	d.reduce(vrevent.StoreRestored{Era: 1})
	require.Zero(t, answers(d, query))
	heartbeat.CatalogVersion, heartbeat.Era = 2, 1
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: heartbeat}})
	require.Zero(t, answers(d, query), "this daemon lacks the catalog that the owner names")
}

// Guards against a large fleet that floods itself with queries, or asks daemons that it can't reach, and against
// a daemon that asks only its own zone, which the store may reject as a whole.
func TestQueriesAreFewAndSpread(t *testing.T) {
	d := newTenantDaemon(t)
	var peers []vrevent.Peer
	for i := range 65 {
		peers = append(peers, vrevent.Peer{Daemon: vrid.DaemonID(fmt.Sprintf("d%d", i+1)), Address: "a", Zone: vrid.ZoneID(fmt.Sprintf("z%d", i%6))})
		if i%6 == 0 {
			peers[i].Zone = "z"
		}
	}
	d.reduce(vrevent.PeersListed{Peers: peers})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d9", Notices: &vrwire.Notices{Epoch: 1}}})
	require.Empty(t, catalogQueries(d.tickFor(2*time.Second)), "the proof is recent")
	const rounds = 50
	queries := catalogQueries(d.tickFor(rounds * 400 * time.Millisecond))
	total, near := 0, 0
	for peer, sent := range queries {
		total += len(sent)
		for _, p := range peers {
			if p.Daemon == peer && p.Zone == "z" {
				near += len(sent)
			}
		}
	}
	require.LessOrEqual(t, total, 3*(rounds+1))
	require.GreaterOrEqual(t, total, 3*(rounds-1))
	require.Len(t, queries["d9"], total/3, "the owner is asked in each round")
	require.Equal(t, total/3, near, "one daemon of the own zone is asked in each round")

	for _, peer := range peers[:60] {
		d.reduce(vrevent.PeerUnreachable{Peer: peer.Daemon})
	}
	for peer := range catalogQueries(d.tickFor(time.Second)) {
		require.Contains(t, []vrid.DaemonID{"d61", "d62", "d63", "d64", "d65"}, peer)
	}
}

// Guards against a daemon that refuses all keys without a line that says why.
func TestEndOfProofIsLoggedOnce(t *testing.T) {
	d := newTenantDaemon(t)
	var messages []string
	tick := func(rounds int) {
		for range rounds {
			d.now = d.now.Add(100 * time.Millisecond)
			d.reduce(vrevent.Tick{})
			for _, effect := range d.out.List {
				if line, ok := effect.(vrevent.Log); ok && strings.HasPrefix(line.Message, "catalog proof") || ok && line.Message == "catalog proved again" {
					messages = append(messages, line.Message)
				}
			}
		}
	}
	tick(80)
	require.Equal(t, 8*time.Second, d.state.CatalogProofAge(d.now))
	d.prove()
	tick(20)
	require.Equal(t, []string{"catalog proof expired", "catalog proved again"}, messages)
}

// Guards against a daemon that reads no catalog because the placement owner tells it the newest version, and then
// refuses keys for lack of a proof of its own.
func TestHeartbeatsProveKeys(t *testing.T) {
	for _, catalogFirst := range []bool{true, false} {
		d := newTenantDaemon(t, appEntry("a1"))
		d.now = d.now.Add(10 * time.Second)
		catalog := vrevent.CatalogSeen{Catalog: tenantCatalog(2, "k")}
		if catalogFirst {
			d.reduce(catalog)
		}
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
			Epoch: 1, CatalogVersion: 2, StoreAge: 1000, ReportBoot: "boot of d1", ReportSentAt: 9000, ReportAge: 500,
		}}})
		if !catalogFirst {
			requireNoSend(t, d.arriveWithKey("read", "k"))
			d.reduce(catalog)
		}
		provedAt := time.Unix(1_790_000_000, 0).Add(8500 * time.Millisecond)
		require.Equal(t, provedAt.Add(revocation-100*time.Millisecond), d.requireSent(d.arriveWithKey("read", "k")).AuthorizedUntil)
	}
}

// Guards against calls that wait for a proof which can't come: this daemon has lost the store, and no other one can
// be reached.
func TestIsolatedDaemonRefusesKeysAtOnce(t *testing.T) {
	d := newTenantDaemon(t, appEntry("a1"))
	d.reduce(vrevent.StoreLost{})
	d.now = d.now.Add(acceptedFor + 1)
	for _, peer := range []vrid.DaemonID{"d2", "d3", "d4"} {
		d.reduce(vrevent.PeerUnreachable{Peer: peer})
	}
	require.Equal(t, vrwire.ReasonKeyUnverified, d.requireRefused(d.arriveWithKey("read", "k")).Reason)
	d.requireSent(d.arriveWithKey("public", "k"))
	require.Empty(t, catalogQueries(d.tickFor(time.Second)))
	require.NotEmpty(t, catalogQueries(d.tickFor(time.Second)), "they are asked again after a while")
}

// Guards against a daemon that takes its catalog from another one although no catalog lists tenants, and against one
// that keeps the keys of a catalog which was replaced by one without tenants.
func TestCatalogsWithoutTenantsReplaceOnlyThoseWithTenants(t *testing.T) {
	d := newTenantDaemon(t)
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2)})
	d.prove()
	for version, answers := range map[vrid.ConfigVersion]int{0: 0, 1: 1} {
		query := &vrwire.Notices{CatalogQuery: &vrwire.CatalogQuery{Version: version, SentAt: 7}}
		effects := d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d3", Boot: "b", Notices: query}})
		require.Len(t, effects, answers, "version %d", version)
	}
}
