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
	// maxReplyBytes is the maximum size in bytes of a reply's rows; it keeps the reply below
	// vrwire.MaxFrameBytes.
	maxReplyBytes = 512 << 10
	// maxQueriedPeers is the maximum number of daemons that one query asks.
	maxQueriedPeers = 200
)

// pendingQueries tracks the queries to other daemons that wait for replies.
type pendingQueries struct {
	mu     sync.Mutex
	lastID uint64
	// replies holds the channel for the replies to each query, by the query's id.
	replies map[uint64]chan *vrwire.Envelope
}

// register registers a query and returns its id and the channel for its replies.
func (q *pendingQueries) register(capacity int) (uint64, chan *vrwire.Envelope) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	replies := make(chan *vrwire.Envelope, capacity)
	q.replies[q.lastID] = replies
	return q.lastID, replies
}

func (q *pendingQueries) unregister(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.replies, id)
}

// deliver passes a reply to the query that waits for it, and drops it if there is none. It
// never blocks: a peer that replies twice must not stall its session.
func (q *pendingQueries) deliver(envelope *vrwire.Envelope) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.replies[envelope.QueryReply.ID] <- envelope:
	default:
	}
}

// HandlePeerMessage handles a QueryRequest or QueryReply from another daemon.
func (a *API) HandlePeerMessage(envelope *vrwire.Envelope) {
	switch {
	case envelope.QueryReply != nil:
		a.pending.deliver(envelope)
	case envelope.QueryRequest != nil && envelope.QueryRequest.WholeZone:
		a.replyForZone(envelope)
	case envelope.QueryRequest != nil:
		a.replyToQuery(envelope, nil, false)
	}
}

// replyForZone replies to a query with the unwritten entries of the whole zone. It does so in
// the background, because the goroutine that calls it also delivers the members' replies. If
// maxZoneQueries are already running, it replies with this daemon's entries only and marks
// the reply as partial.
func (a *API) replyForZone(envelope *vrwire.Envelope) {
	select {
	case a.inFlightZoneQueries <- struct{}{}:
	default:
		a.replyToQuery(envelope, nil, true)
		return
	}
	a.background.Go(func() {
		defer func() { <-a.inFlightZoneQueries }()
		var missing []string
		// The peer waits for PeerTimeout; half of it leaves time to send the reply.
		entries := a.queryPeers(context.Background(), a.options.PeerTimeout/2, envelope.QueryRequest.Query, a.peersToQuery(false), &missing)
		a.replyToQuery(envelope, entries, len(missing) > 0)
	})
}

// collectUnwritten collects the unwritten entries of this daemon, of the other daemons in
// its zone and, through the zone owners, of the other zones.
func (a *API) collectUnwritten(ctx context.Context, query string, state *vrquery.State, missing *[]string) []vrrecord.Entry {
	entries := a.options.Live.Unwritten()
	peers := a.peersToQuery(true)
	for _, zone := range unreachableZones(state, a.options.Zone, peers) {
		*missing = append(*missing, fmt.Sprintf("zone %s: it can't be reached; its most recent entries are missing", zone))
	}
	return append(entries, a.queryPeers(ctx, a.options.PeerTimeout, query, peers, missing)...)
}

// unreachableZones lists the declared zones for which there is no daemon to ask.
func unreachableZones(state *vrquery.State, ownZone vrid.ZoneID, peers []Peer) []vrid.ZoneID {
	if state.Fleet == nil {
		return nil
	}
	asked := map[vrid.ZoneID]bool{ownZone: true}
	for _, peer := range peers {
		asked[peer.Zone] = true
	}
	var unreachable []vrid.ZoneID
	for _, zone := range state.Fleet.Zones() {
		if !asked[zone] {
			unreachable = append(unreachable, zone)
		}
	}
	return unreachable
}

// peersToQuery lists the other members of this daemon's zone and, for the whole fleet, also
// the owners of the other zones. It returns at most maxQueriedPeers.
func (a *API) peersToQuery(wholeFleet bool) []Peer {
	var peers []Peer
	for _, peer := range a.options.Live.Peers() {
		ownZone := peer.Zone == a.options.Zone
		if peer.Daemon != a.options.Daemon && len(peers) < maxQueriedPeers && (ownZone || wholeFleet && peer.Owner) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// queryPeers sends a query to peers and collects the entries of their replies. Peers that
// don't reply in time are added to missing.
func (a *API) queryPeers(ctx context.Context, timeout time.Duration, query string, peers []Peer, missing *[]string) []vrrecord.Entry {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id, replies := a.pending.register(len(peers))
	defer a.pending.unregister(id)
	unanswered := make(map[vrid.DaemonID]Peer, len(peers))
	for _, peer := range peers {
		unanswered[peer.Daemon] = peer
		a.send(peer.Daemon, peer.Address, &vrwire.Envelope{
			QueryRequest: &vrwire.QueryRequest{ID: id, Query: query, WholeZone: peer.Zone != a.options.Zone},
		})
	}
	var entries []vrrecord.Entry
	for len(unanswered) > 0 {
		select {
		case envelope := <-replies:
			entries = append(entries, a.handleReply(envelope, unanswered, missing)...)
		case <-ctx.Done():
			for _, peer := range unanswered {
				*missing = append(*missing, fmt.Sprintf("zone %s: daemon %s did not answer; its most recent entries are missing", peer.Zone, peer.Daemon))
			}
			return entries
		}
	}
	return entries
}

// handleReply decodes the entries of a reply and removes its sender from the unanswered
// peers. Replies of other daemons are ignored.
func (a *API) handleReply(envelope *vrwire.Envelope, unanswered map[vrid.DaemonID]Peer, missing *[]string) []vrrecord.Entry {
	peer, expected := unanswered[envelope.From]
	if !expected {
		return nil
	}
	delete(unanswered, envelope.From)
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
	lines.Buffer(nil, vrwire.MaxFrameBytes)
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

// replyToQuery replies to a query with the unwritten entries since the start of its time
// range: those of this daemon and the given entries of other daemons.
func (a *API) replyToQuery(envelope *vrwire.Envelope, others []vrrecord.Entry, partial bool) {
	request := envelope.QueryRequest
	reply := &vrwire.QueryReply{ID: request.ID, Zone: a.options.Zone}
	statement, err := vrquery.Parse(request.Query)
	var timeRange vrquery.TimeRange
	if err == nil {
		timeRange, _, err = statement.RecordTimeRange(a.options.Now())
	}
	if err != nil {
		reply.Error = err.Error()
	} else {
		rows, truncated := encodeRows(append(a.options.Live.Unwritten(), others...), timeRange)
		reply.Rows, reply.Partial = rows, partial || truncated
	}
	a.send(envelope.From, "", &vrwire.Envelope{QueryReply: reply})
}

// encodeRows encodes entries as lines of JSON up to maxReplyBytes. It reports whether
// entries were left out.
func encodeRows(entries []vrrecord.Entry, timeRange vrquery.TimeRange) (rows []byte, truncated bool) {
	for i := range entries {
		if entries[i].At < timeRange.From.UnixMilli() {
			continue
		}
		line, err := json.Marshal(&entries[i])
		if err != nil || len(rows)+len(line) > maxReplyBytes {
			return rows, true
		}
		rows = append(append(rows, line...), '\n')
	}
	return rows, false
}

// send fills in the sender's fields of a message and sends it.
func (a *API) send(peer vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	envelope.From, envelope.Boot, envelope.Zone = a.options.Daemon, a.options.Boot, a.options.Zone
	a.options.Sender.SendPeer(peer, address, envelope)
}
