package vrworld

import (
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	sameZoneDelay    = 500 * time.Microsecond
	crossRegionDelay = 8 * time.Millisecond
	// connectFailureDelay is how long it takes until a connection to an unreachable host
	// fails.
	connectFailureDelay = time.Second
)

// Network simulates the network: it delays, loses, duplicates and reorders messages
// between daemons and can cut the connections between zones.
type Network struct {
	world *World
	// Loss and Duplicate are the probabilities that a message is lost or sent twice.
	Loss      float64
	Duplicate float64
	// MaxExtraDelay is the maximum additional delay of a message. It makes messages overtake each
	// other.
	MaxExtraDelay time.Duration
	// cuts holds the pairs of zones that are cut off from each other, the lesser id first.
	cuts map[[2]vrid.ZoneID]bool
}

func newNetwork(w *World) *Network {
	return &Network{world: w, cuts: make(map[[2]vrid.ZoneID]bool)}
}

// SetCut cuts the connections between two zones, or restores them if cut is false.
func (n *Network) SetCut(a, b vrid.ZoneID, cut bool) {
	if a == b {
		return
	}
	if a > b {
		a, b = b, a
	}
	if !cut {
		delete(n.cuts, [2]vrid.ZoneID{a, b})
		return
	}
	n.cuts[[2]vrid.ZoneID{a, b}] = true
	n.world.breakCutConnections()
}

// IsCut reports whether two zones are cut off from each other.
func (n *Network) IsCut(a, b vrid.ZoneID) bool {
	if a > b {
		a, b = b, a
	}
	return n.cuts[[2]vrid.ZoneID{a, b}]
}

// Heal removes all faults of the network.
func (n *Network) Heal() {
	n.Loss, n.Duplicate, n.MaxExtraDelay = 0, 0, 0
	clear(n.cuts)
}

// delay returns the one-way delay between two zones, with up to a quarter of random jitter.
func (n *Network) delay(a, b vrid.ZoneID) time.Duration {
	base := sameZoneDelay
	if a != b {
		base = crossRegionDelay
	}
	return base + n.world.randomDuration(0, base/4)
}

// sendPeer delivers a message from one daemon to another. The message is encoded and
// decoded on the way so that daemons share no memory.
func (w *World) sendPeer(p *Process, effect vrevent.SendPeer) {
	envelope := *effect.Envelope
	envelope.From, envelope.Boot, envelope.Zone = p.Daemon.ID, p.Boot, p.Daemon.Zone
	data, err := vrwire.Marshal(&envelope)
	if err != nil {
		panic(err)
	}
	to := w.byDaemon[effect.Peer]
	unreachable := func(delay time.Duration) {
		w.After(delay, func() { p.deliver(vrevent.PeerUnreachable{Peer: effect.Peer}) })
	}
	if to == nil || w.Net.IsCut(p.Daemon.Zone, to.Zone) {
		unreachable(connectFailureDelay)
		return
	}
	if w.chance(w.Net.Loss) {
		return
	}
	copies := 1
	if w.chance(w.Net.Duplicate) {
		copies++
	}
	for range copies {
		w.After(w.Net.delay(p.Daemon.Zone, to.Zone)+w.randomDuration(0, w.Net.MaxExtraDelay), func() {
			switch {
			case w.Net.IsCut(p.Daemon.Zone, to.Zone):
				unreachable(connectFailureDelay)
			case to.Process == nil:
				unreachable(w.Net.delay(p.Daemon.Zone, to.Zone))
			default:
				to.Process.receive(data)
			}
		})
	}
}

// receive decodes a message as the daemon's runtime does: an offered configuration is
// validated before the reducer sees it.
func (p *Process) receive(data []byte) {
	envelope, err := vrwire.Unmarshal[vrwire.Envelope](data)
	if err != nil {
		panic(err)
	}
	if envelope.ConfigOffer != nil {
		offer := envelope.ConfigOffer
		p.deliver(vrevent.ConfigSeen{
			Index: p.world.configs.decode(offer.Document), Document: offer.Document, Confirmed: offer.Confirmed,
		})
		return
	}
	p.deliver(vrevent.PeerMessage{Envelope: envelope})
}

// configCache caches decoded configurations by their document. They can be shared because
// an index is immutable.
type configCache map[string]*vrconfig.Index

func (c configCache) decode(document []byte) *vrconfig.Index {
	if index, ok := c[string(document)]; ok {
		return index
	}
	index, err := vrcodec.DecodeFleet(document)
	if err != nil {
		panic(err)
	}
	c[string(document)] = index
	return index
}

func (c configCache) encode(fleet *vrconfig.Fleet) (*vrconfig.Index, []byte) {
	document, err := vrcodec.EncodeFleet(fleet)
	if err != nil {
		panic(err)
	}
	return c.decode(document), document
}
