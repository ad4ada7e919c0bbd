package vrgateway_test

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	revocation   = 5 * time.Second
	catalogApply = 4 * time.Second
	// acceptedFor and unknownFor are the ages of a proof up to which a key is accepted or counts as unknown.
	acceptedFor = revocation - 500*time.Millisecond
	unknownFor  = catalogApply - 500*time.Millisecond
)

// tenantCatalog returns a catalog with one tenant for each key, named after it, and a route that needs no key.
func tenantCatalog(version vrid.ConfigVersion, keys ...string) *vrcatalog.Catalog {
	catalog := newCatalog(version)
	for i := range catalog.Routes {
		catalog.Routes[i].Timeout = 20 * time.Second
	}
	public := catalog.Routes[0]
	public.ID, public.Prefix, public.Public = "public", "/public/", true
	catalog.Routes = append(catalog.Routes, public)
	for _, key := range keys {
		catalog.Tenants = append(catalog.Tenants, vrcatalog.Tenant{ID: vrid.TenantID("of " + key), Keys: []vrid.KeyDigest{sha256.Sum256([]byte(key))}})
	}
	if err := catalog.Build(); err != nil {
		panic(err)
	}
	return catalog
}

// newTenantDaemonAt returns a daemon with a limit of the revocation, at a time of its clock.
func newTenantDaemonAt(t *testing.T, id vrid.DaemonID, zone vrid.ZoneID, now time.Time) *daemon {
	d := &daemon{t: t, now: now, id: id}
	d.state = vrgateway.New(vrgateway.Options{
		Daemon: id, Boot: vrid.BootID("boot of " + id), Address: string(id), Zone: zone,
		Bounds: vrgateway.Bounds{
			Lease: 3 * time.Second, Retries: vrretry.Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			Revocation: revocation, CatalogApply: catalogApply,
		},
	})
	d.reduce(vrevent.Tick{})
	return d
}

// newTenantDaemon returns a daemon with a proved catalog in which the key "k" is valid, and three other daemons.
func newTenantDaemon(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newTenantDaemonAt(t, "d1", "z", time.Unix(1_790_000_000, 0))
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(1, "k")})
	d.prove()
	d.reduce(vrevent.FleetListed{Entries: entries})
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Zone: "z"}, {Daemon: "d2", Zone: "z"}, {Daemon: "d3", Zone: "y"}, {Daemon: "d4", Zone: "x"}}})
	return d
}

// prove reports a call to the store, sent now, that returned no newer catalog.
func (d *daemon) prove() []vrevent.Effect { return d.reduce(vrevent.CatalogChecked{At: d.now}) }

// arriveWithKey reports a call with an API key, or without one if key is empty.
func (d *daemon) arriveWithKey(route, key string) []vrevent.Effect {
	d.lastCallID++
	return d.reduce(vrevent.CallArrived{Call: callWithKey(d.lastCallID, route, key)})
}

func callWithKey(id vrevent.CallID, route, key string) vrevent.Call {
	call := vrevent.Call{ID: id, Request: "r", Host: "h", Path: "/" + route + "/x", Timeout: 20 * time.Second}
	if route == "stream" {
		call.Model = "m"
	}
	if key != "" {
		call.Key, call.HasKey = sha256.Sum256([]byte(key)), true
	}
	return call
}

// tickFor applies ticks for the given time and returns all effects.
func (d *daemon) tickFor(duration time.Duration) []vrevent.Effect {
	return d.runFor(duration, func(vrevent.Effect) vrevent.Event { return nil })
}

func requireNoSend(t *testing.T, effects []vrevent.Effect) {
	t.Helper()
	for _, effect := range effects {
		require.IsNotType(t, vrevent.SendCall{}, effect)
	}
}

// Guards against a key that is refused as unknown by a catalog which a newer one may have replaced: the client
// of a key that was just added would give up.
func TestKeysAreJudgedByTheAgeOfTheProof(t *testing.T) {
	for _, test := range []struct {
		name, route, key string
		age              time.Duration
		// reason is empty if the call is sent.
		reason vrwire.Reason
	}{
		{"known", "read", "k", acceptedFor, ""},
		{"known, proof too old", "read", "k", acceptedFor + 1, vrwire.ReasonKeyUnverified},
		{"unknown", "read", "other", unknownFor, vrwire.ReasonTenantUnknown},
		{"unknown, proof too old", "read", "other", unknownFor + 1, vrwire.ReasonKeyUnverified},
		{"none", "read", "", 0, vrwire.ReasonTenantUnknown},
		{"none, proof too old", "read", "", unknownFor + 1, vrwire.ReasonKeyUnverified},
		{"public with a known key", "public", "k", time.Hour, ""},
		{"public with an unknown key", "public", "other", time.Hour, ""},
		{"public without a key", "public", "", time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTenantDaemon(t, appEntry("a1"))
			provedAt := d.now
			d.reduce(vrevent.StoreLost{})
			d.now = d.now.Add(test.age)
			effects := d.arriveWithKey(test.route, test.key)
			if test.reason == "" {
				send := d.requireSent(effects)
				require.True(t, send.HasTenants)
				if test.route == "public" {
					require.Empty(t, send.Tenant)
					require.Zero(t, send.AuthorizedUntil)
					return
				}
				require.EqualValues(t, "of k", send.Tenant)
				require.Equal(t, provedAt.Add(revocation-100*time.Millisecond), send.AuthorizedUntil)
				return
			}
			effects = append(effects, d.tickFor(300*time.Millisecond)...)
			refusal := d.requireRefused(effects)
			require.Equal(t, test.reason, refusal.Reason)
			require.True(t, refusal.NotRun)
			require.Equal(t, test.reason == vrwire.ReasonKeyUnverified, refusal.RetryAfter > 0)
		})
	}
}

// Guards against a catalog without tenants or a deployment without a limit that are treated as others.
func TestKeysMatterOnlyWhereTheDeploymentCallsForThem(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	send := d.requireSent(d.arriveWithKey("read", "any"))
	require.False(t, send.HasTenants)
	require.Zero(t, send.AuthorizedUntil)
	d.endSend(send, vrevent.AttemptAnswered)

	// Without a limit, known keys need no proof, and others are unknown while the store is available.
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2, "k")})
	d.now = d.now.Add(time.Hour)
	send = d.requireSent(d.arriveWithKey("read", "k"))
	require.EqualValues(t, "of k", send.Tenant)
	require.Zero(t, send.AuthorizedUntil)
	require.Equal(t, vrwire.ReasonTenantUnknown, d.requireRefused(d.arriveWithKey("read", "other")).Reason)
	d.reduce(vrevent.StoreLost{})
	require.Equal(t, vrwire.ReasonKeyUnverified, d.requireRefused(d.arriveWithKey("read", "other")).Reason)
	for _, effect := range d.tickFor(3 * time.Second) {
		require.IsNotType(t, vrevent.SendPeer{}, effect, "no proofs are asked for")
	}
}

// Guards against a daemon that was suspended with a queued request and then sends it with a key that was revoked
// meanwhile.
func TestSuspendedDaemonSendsNoRevokedKey(t *testing.T) {
	d := newTenantDaemon(t)
	requireNoSend(t, d.arriveWithKey("read", "k"))
	d.now = d.now.Add(6 * time.Second)
	requireNoSend(t, d.reduce(vrevent.FleetListed{Entries: []vrfleet.Entry{appEntry("a1")}}))
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(3, "other")})
	refusal := d.requireRefused(d.prove())
	require.Equal(t, vrwire.ReasonTenantUnknown, refusal.Reason)
	require.True(t, refusal.NotRun)
}

// Guards against a call that is refused although the proof of its key arrives a moment later.
func TestCallWaitsForProofBriefly(t *testing.T) {
	d := newTenantDaemon(t, appEntry("a1"))
	d.now = d.now.Add(6 * time.Second)
	requireNoSend(t, d.arriveWithKey("read", "k"))
	require.Equal(t, 1, d.state.WaitingCalls())
	requireNoSend(t, d.tickFor(50*time.Millisecond))
	d.requireSent(d.prove())

	d.now = d.now.Add(6 * time.Second)
	d.arriveWithKey("read", "k")
	requireNoSend(t, d.tickFor(75*time.Millisecond))
	require.Equal(t, 1, d.state.WaitingCalls())
	refusal := d.requireRefused(d.tickFor(50 * time.Millisecond))
	require.Equal(t, vrwire.ReasonKeyUnverified, refusal.Reason)
	require.Zero(t, d.state.WaitingCalls())

	d.tickFor(2 * time.Second)
	require.Equal(t, vrwire.ReasonKeyUnverified, d.requireRefused(d.arriveWithKey("read", "k")).Reason,
		"other daemons were asked for longer than a second, so there is nothing to wait for")
}

// Guards against calls that wait for a proof beyond the end of the grace period or after their clients left.
func TestCallsThatWaitForProofEnd(t *testing.T) {
	d := newTenantDaemon(t, appEntry("a1"))
	d.now = d.now.Add(6 * time.Second)
	d.arriveWithKey("read", "k")
	d.reduce(vrevent.ClientGone{Call: d.lastCallID})
	require.Zero(t, d.state.WaitingCalls())
	d.arriveWithKey("read", "k")
	require.Equal(t, vrwire.ReasonShuttingDown, d.requireRefused(d.reduce(vrevent.GracePeriodEnding{})).Reason)
	require.Zero(t, d.state.OpenCalls())
}

// Guards against a call that waits for a server until its time is up, although a newer catalog has dropped its
// key, and against a promise that a call with a dropped key did not run although it may have.
func TestWaitingCallsOfDroppedKeysAreRefused(t *testing.T) {
	d := newTenantDaemon(t, engineEntry("e1"), appEntry("a1"))
	requireNoSend(t, d.arriveWithKey("stream", "k"))
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2, "other")})
	d.prove()
	refusal := d.requireRefused(d.tickFor(25 * time.Millisecond))
	require.Equal(t, vrwire.ReasonTenantUnknown, refusal.Reason)
	require.True(t, refusal.NotRun)

	d = newTenantDaemon(t, appEntry("a1"), appEntry("a2"))
	send := d.requireSent(d.arriveWithKey("read", "k"))
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2, "other")})
	d.prove()
	refusal = d.requireRefused(d.endSend(send, vrevent.AttemptBroken))
	require.Equal(t, vrwire.ReasonBackendFailed, refusal.Reason)
	require.False(t, refusal.NotRun)

	d = newTenantDaemon(t, appEntry("a1"), appEntry("a2"))
	send = d.requireSent(d.arriveWithKey("once", "k"))
	d.reduce(vrevent.CatalogSeen{Catalog: tenantCatalog(2, "other")})
	d.prove()
	refusal = d.requireRefused(d.endSend(send, vrevent.AttemptBusy))
	require.Equal(t, vrwire.ReasonTenantUnknown, refusal.Reason, "the server ran nothing")
	require.True(t, refusal.NotRun)
}

// Guards against a server that gets a retry, a hedge or the rest of a stream without the tenant, or with a key
// that is not proved.
func TestEverySendCarriesTenantAndProof(t *testing.T) {
	// A server whose load is unknown gets one call at a time, so there is one for each call of the test.
	d := newTenantDaemon(t, appEntry("a1"), appEntry("a2"), appEntry("a3"), appEntry("a4"), engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	check := func(name string, send vrevent.SendCall) vrevent.SendCall {
		require.True(t, send.HasTenants, name)
		require.EqualValues(t, "of k", send.Tenant, name)
		require.False(t, send.AuthorizedUntil.IsZero(), name)
		return send
	}
	first := check("first", d.requireSent(d.arriveWithKey("read", "k")))
	check("retry", d.requireSent(d.endSend(first, vrevent.AttemptNotSent)))
	stalled := check("first", d.requireSent(d.arriveWithKey("read", "k")))
	hedge := check("hedge", d.requireSent(d.reduce(vrevent.SendStalled{Call: stalled.Call, Send: 1, Silence: time.Second})))
	require.True(t, hedge.Hedge)
	begun := check("first", d.requireSent(d.arriveWithKey("stream", "k")))
	part := vrevent.SendEnded{Call: begun.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}
	require.True(t, check("resumed", d.requireSent(d.reduce(part))).Resume)

	stalled = d.requireSent(d.arriveWithKey("read", "k"))
	begun = d.requireSent(d.arriveWithKey("stream", "k"))
	d.now = d.now.Add(acceptedFor + 1)
	requireNoSend(t, d.reduce(vrevent.SendStalled{Call: stalled.Call, Send: 1, Silence: time.Second}))
	part.Call = begun.Call
	requireNoSend(t, d.reduce(part))
	require.True(t, check("resumed after the proof", d.requireSent(d.prove())).Resume)
}

// Guards against a send that was not written for lack of a proof and then counts as a failure of its server, as
// a retry, or as one of the servers that were tried.
func TestUnauthorizedSendIsJudgedAgain(t *testing.T) {
	d := newTenantDaemon(t, appEntry("a1"))
	send := d.requireSent(d.arriveWithKey("once", "k"))
	for range 20 {
		resent := d.state.Counts().Resent
		d.prove()
		next := d.requireSent(d.endSend(send, vrevent.AttemptUnauthorized))
		require.EqualValues(t, "a1", next.Server)
		require.Equal(t, send.Send+1, next.Send)
		require.Equal(t, resent, d.state.Counts().Resent)
		send = next
	}
	d.now = d.now.Add(acceptedFor + 1)
	requireNoSend(t, d.endSend(send, vrevent.AttemptUnauthorized))
	refusal := d.requireRefused(d.tickFor(300 * time.Millisecond))
	require.Equal(t, vrwire.ReasonKeyUnverified, refusal.Reason)
	require.True(t, refusal.NotRun)
}

// Guards against logs and metrics that don't name the tenant, or that contain the key.
func TestEndOfCallNamesTheTenant(t *testing.T) {
	d := newTenantDaemon(t, appEntry("a1"))
	send := d.requireSent(d.arriveWithKey("read", "k"))
	d.reduce(vrevent.SendEnded{Call: send.Call, Send: 1, Result: vrevent.AttemptAnswered, Status: 200})
	var tenants []string
	for _, effect := range d.out.List {
		switch e := effect.(type) {
		case vrevent.CallEnded:
			tenants = append(tenants, string(e.Tenant))
		case vrevent.Log:
			for _, field := range e.Fields {
				if field.Name == "tenant" {
					tenants = append(tenants, field.Value)
				}
			}
		}
	}
	require.Equal(t, []string{"of k", "of k"}, tenants)
}

// Guards against models that are loaded for clients without a valid key, and against demand that is not reported
// for a call whose key is proved later.
func TestOnlyCallsWithAcceptedKeysCountAsDemand(t *testing.T) {
	d := newTenantDaemon(t, engineEntry("e1"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Address: "a1"}, {Daemon: "d2", Address: "a2"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1}}})
	arrived := func(effects []vrevent.Effect) (count, running uint32) {
		for _, effect := range effects {
			if send, ok := effect.(vrevent.SendPeer); ok && send.Envelope.PlacementDemand != nil {
				for _, item := range send.Envelope.PlacementDemand.Items {
					count, running = count+item.Arrived, max(running, item.Running+item.Waiting)
				}
			}
		}
		return count, running
	}
	for range 5 {
		d.requireRefused(d.arriveWithKey("stream", "unknown"))
	}
	count, _ := arrived(d.tickFor(1500 * time.Millisecond))
	require.Zero(t, count)

	d.now = d.now.Add(6 * time.Second)
	effects := d.arriveWithKey("stream", "k")
	require.Equal(t, 1, d.state.WaitingCalls())
	effects = append(effects, d.prove()...)
	for range 5 {
		d.requireRefused(d.arriveWithKey("stream", "unknown"))
	}
	count, running := arrived(append(effects, d.tickFor(1500*time.Millisecond)...))
	require.EqualValues(t, 1, count)
	require.EqualValues(t, 1, running, "the end of a refused call ends no other one's demand")
}

// Guards against a stream that is cut at once when its server fails, because other daemons have given no proof for a
// second: one may come before the client gives up.
func TestBegunStreamWaitsForProof(t *testing.T) {
	for _, proved := range []bool{true, false} {
		d := newTenantDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
		begun := d.requireSent(d.arriveWithKey("stream", "k"))
		d.reduce(vrevent.StoreLost{})
		d.tickFor(acceptedFor + time.Second)
		effects := d.reduce(vrevent.SendEnded{Call: begun.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3})
		requireNoSend(t, effects)
		require.NotContains(t, effects, vrevent.AbortCall{Call: begun.Call})
		requireNoSend(t, d.tickFor(500*time.Millisecond))
		if proved {
			require.True(t, d.requireSent(d.prove()).Resume)
			continue
		}
		require.Contains(t, d.tickFor(3*time.Second), vrevent.AbortCall{Call: begun.Call})
		require.Zero(t, d.state.OpenCalls())
	}
}
