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
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
	// refusedAfter is how long a connection to a cut off host takes to fail.
	refusedAfter = time.Second
)

// Network delays, loses, duplicates and reorders messages between daemons, and cuts
// zones off from each other.
type Network struct {
	world *World
	// Loss and Duplicate are probabilities of a message.
	Loss      float64
	Duplicate float64
	// MaxExtraDelay is the longest additional delay of a message; it reorders messages.
	MaxExtraDelay time.Duration
	cuts          map[[2]vrid.ZoneID]bool
}

func newNetwork(w *World) *Network {
	return &Network{world: w, cuts: make(map[[2]vrid.ZoneID]bool)}
}

// SetCut separates two zones, or joins them again.
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
	n.world.breakAcross()
}

// IsCut reports whether two zones are separated.
func (n *Network) IsCut(a, b vrid.ZoneID) bool {
	if a > b {
		a, b = b, a
	}
	return n.cuts[[2]vrid.ZoneID{a, b}]
}

// Heal ends every fault of the network.
func (n *Network) Heal() {
	n.Loss, n.Duplicate, n.MaxExtraDelay = 0, 0, 0
	clear(n.cuts)
}

// delay is the time of one way between two zones.
func (n *Network) delay(a, b vrid.ZoneID) time.Duration {
	base := zoneDelay
	if a != b {
		base = regionDelay
	}
	return base + n.world.spread(0, base/4)
}

// sendPeer carries a message of a daemon. It is encoded and decoded on the way, so
// that daemons share no memory.
func (w *World) sendPeer(p *Process, effect vrevent.SendPeer) {
	envelope := *effect.Envelope
	envelope.From, envelope.Boot, envelope.Zone = p.Daemon.ID, p.Boot, p.Daemon.Zone
	data, err := vrwire.Marshal(&envelope)
	if err != nil {
		panic(err)
	}
	to := w.byDaemon[effect.Peer]
	lost := func(after time.Duration) {
		w.After(after, func() { p.deliver(vrevent.PeerUnreachable{Peer: effect.Peer}) })
	}
	if to == nil || w.Net.IsCut(p.Daemon.Zone, to.Zone) {
		lost(refusedAfter)
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
		w.After(w.Net.delay(p.Daemon.Zone, to.Zone)+w.spread(0, w.Net.MaxExtraDelay), func() {
			switch {
			case w.Net.IsCut(p.Daemon.Zone, to.Zone):
				lost(refusedAfter)
			case to.Process == nil:
				lost(w.Net.delay(p.Daemon.Zone, to.Zone))
			default:
				to.Process.receive(data)
			}
		})
	}
}

// receive decodes a message as the runtime does: offered configurations are checked
// before the reducer sees them.
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

// configCache keeps decoded configurations; an index is immutable.
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
