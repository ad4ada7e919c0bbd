package vroperator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxRows is the maximum size in bytes of a reply's rows; it keeps the reply below
	// vrwire.MaxFrame.
	maxRows = 512 << 10
	// maxPeers is the maximum number of daemons that one query asks.
	maxPeers = 200
)

// tails tracks the queries to other daemons that wait for replies.
type tails struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *vrwire.Envelope
}

// open registers a query and returns its id and the channel for its replies.
func (t *tails) open(capacity int) (uint64, chan *vrwire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	replies := make(chan *vrwire.Envelope, capacity)
	t.waiting[t.last] = replies
	return t.last, replies
}

func (t *tails) close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// deliver passes a reply to the query that waits for it. It never blocks: a peer that
// replies twice must not stall its session.
func (t *tails) deliver(envelope *vrwire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.waiting[envelope.QueryReply.ID] <- envelope:
	default:
	}
}

// HandlePeer handles a QueryRequest or QueryReply from another daemon.
func (o *Operator) HandlePeer(envelope *vrwire.Envelope) {
	switch {
	case envelope.QueryReply != nil:
		o.tails.deliver(envelope)
	case envelope.QueryRequest != nil && envelope.QueryRequest.WholeZone:
		o.answerZone(envelope)
	case envelope.QueryRequest != nil:
		o.answerPeer(envelope, nil, false)
	}
}

// answerZone answers for the whole zone. It does so in the background, because the
// goroutine that calls it also delivers the members' replies. If maxZoneQueries are
// running already, it answers for this daemon only and marks the reply as partial.
func (o *Operator) answerZone(envelope *vrwire.Envelope) {
	select {
	case o.zoneQueries <- struct{}{}:
	default:
		o.answerPeer(envelope, nil, true)
		return
	}
	o.background.Go(func() {
		defer func() { <-o.zoneQueries }()
		var missing []string
		// The peer waits for PeerTime; half of it leaves time to send the reply.
		entries := o.ask(context.Background(), o.options.PeerTime/2, envelope.QueryRequest.Query, o.peersToAsk(false), &missing)
		o.answerPeer(envelope, entries, len(missing) > 0)
	})
}

// askTails collects the unwritten entries of this daemon, of the other daemons in its zone
// and, through the zone owners, of the other zones.
func (o *Operator) askTails(ctx context.Context, text string, state *vrquery.State, missing *[]string) []vrrecord.Entry {
	entries := o.options.Live.Unwritten()
	peers := o.peersToAsk(true)
	for _, zone := range silentZones(state, o.options.Zone, peers) {
		*missing = append(*missing, fmt.Sprintf("zone %s: it can't be reached; its most recent entries are missing", zone))
	}
	return append(entries, o.ask(ctx, o.options.PeerTime, text, peers, missing)...)
}

// silentZones lists the declared zones for which there is no daemon to ask.
func silentZones(state *vrquery.State, own vrid.ZoneID, peers []Peer) []vrid.ZoneID {
	if state.Fleet == nil {
		return nil
	}
	asked := map[vrid.ZoneID]bool{own: true}
	for _, peer := range peers {
		asked[peer.Zone] = true
	}
	var silent []vrid.ZoneID
	for _, zone := range state.Fleet.Zones() {
		if !asked[zone] {
			silent = append(silent, zone)
		}
	}
	return silent
}

// peersToAsk lists the other members of this daemon's zone and, for the whole fleet, also
// the owners of the other zones. It returns at most maxPeers.
func (o *Operator) peersToAsk(fleet bool) []Peer {
	var peers []Peer
	for _, peer := range o.options.Live.Peers() {
		ownZone := peer.Zone == o.options.Zone
		if peer.Daemon != o.options.Daemon && len(peers) < maxPeers && (ownZone || fleet && peer.Owner) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// ask sends a query to peers and collects the entries of their replies. Peers that don't
// reply in time are added to missing.
func (o *Operator) ask(ctx context.Context, wait time.Duration, text string, peers []Peer, missing *[]string) []vrrecord.Entry {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	id, replies := o.tails.open(len(peers))
	defer o.tails.close(id)
	silent := make(map[vrid.DaemonID]Peer, len(peers))
	for _, peer := range peers {
		silent[peer.Daemon] = peer
		o.send(peer.Daemon, peer.Address, &vrwire.Envelope{
			QueryRequest: &vrwire.QueryRequest{ID: id, Query: text, WholeZone: peer.Zone != o.options.Zone},
		})
	}
	var entries []vrrecord.Entry
	for len(silent) > 0 {
		select {
		case envelope := <-replies:
			entries = append(entries, o.takeReply(envelope, silent, missing)...)
		case <-ctx.Done():
			for _, peer := range silent {
				*missing = append(*missing, fmt.Sprintf("zone %s: daemon %s did not answer; its most recent entries are missing", peer.Zone, peer.Daemon))
			}
			return entries
		}
	}
	return entries
}

// takeReply decodes the entries of a reply and removes its sender from the silent peers.
// Replies of other daemons are ignored.
func (o *Operator) takeReply(envelope *vrwire.Envelope, silent map[vrid.DaemonID]Peer, missing *[]string) []vrrecord.Entry {
	peer, expected := silent[envelope.From]
	if !expected {
		return nil
	}
	delete(silent, envelope.From)
	reply := envelope.QueryReply
	if reply.Error != "" || reply.Partial {
		*missing = append(*missing, fmt.Sprintf("zone %s: the last entries of daemon %s are incomplete %s", peer.Zone, peer.Daemon, reply.Error))
	}
	entries, err := decodeRows(reply.Rows)
	if err != nil {
		*missing = append(*missing, fmt.Sprintf("zone %s: the reply of daemon %s is malformed: %v", peer.Zone, peer.Daemon, err))
	}
	return entries
}

// decodeRows decodes entries from lines of JSON. On an error it also returns the entries
// before the malformed line.
func decodeRows(rows []byte) ([]vrrecord.Entry, error) {
	var entries []vrrecord.Entry
	lines := bufio.NewScanner(bytes.NewReader(rows))
	lines.Buffer(nil, vrwire.MaxFrame)
	for lines.Scan() {
		var entry vrrecord.Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return entries, err
		}
		if err := entry.Validate(); err != nil {
			return entries, err
		}
		entries = append(entries, entry)
	}
	return entries, lines.Err()
}

// answerPeer replies to a query with the unwritten entries since the start of its time
// range: those of this daemon and the given ones of others.
func (o *Operator) answerPeer(envelope *vrwire.Envelope, others []vrrecord.Entry, partial bool) {
	request := envelope.QueryRequest
	reply := &vrwire.QueryReply{ID: request.ID, Zone: o.options.Zone}
	statement, err := vrquery.Parse(request.Query)
	var within vrquery.TimeRange
	if err == nil {
		within, _, err = statement.RecordTimeRange(o.options.Now())
	}
	if err != nil {
		reply.Error = err.Error()
	} else {
		rows, cut := encodeRows(append(o.options.Live.Unwritten(), others...), within)
		reply.Rows, reply.Partial = rows, partial || cut
	}
	o.send(envelope.From, "", &vrwire.Envelope{QueryReply: reply})
}

// encodeRows encodes entries as lines of JSON up to maxRows bytes. It reports whether
// entries were left out.
func encodeRows(entries []vrrecord.Entry, within vrquery.TimeRange) (rows []byte, cut bool) {
	for i := range entries {
		if entries[i].At < within.From.UnixMilli() {
			continue
		}
		line, err := json.Marshal(&entries[i])
		if err != nil || len(rows)+len(line) > maxRows {
			return rows, true
		}
		rows = append(append(rows, line...), '\n')
	}
	return rows, false
}

// send fills in the sender's fields of a message and sends it.
func (o *Operator) send(peer vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	envelope.From, envelope.Boot, envelope.Zone = o.options.Daemon, o.options.Boot, o.options.Zone
	o.options.Sender.SendPeer(peer, address, envelope)
}
