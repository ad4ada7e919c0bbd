package vroperator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrsettings"
)

// change is a command together with the configuration that results from it.
type change struct {
	text    string
	before  *vrconfig.Fleet
	after   *vrconfig.Fleet
	changes []vrquery.Change
	drains  vrid.ServerID
	explain bool
}

// command handles POST /v1/command.
func (o *Operator) command(ctx context.Context, request call) (*vrquery.CommandResponse, error) {
	body, err := decodeBody[vrquery.CommandRequest](request.body)
	if err != nil {
		return nil, err
	}
	c, err := o.prepare(body)
	if err != nil {
		return nil, err
	}
	answer := &vrquery.CommandResponse{From: c.before.Version, To: c.after.Version, Changes: c.changes}
	if c.explain {
		answer.State = vrquery.CommandExplained
		return answer, nil
	}
	if err := request.need(vrsettings.RoleCommand); err != nil {
		return nil, err
	}
	if len(c.changes) == 0 {
		answer.State = vrquery.CommandUnchanged
		return answer, nil
	}
	if err := o.propose(ctx, c, request.name); err != nil {
		return nil, err
	}
	answer.State = vrquery.CommandAccepted
	if !body.NoWait {
		o.awaitForce(ctx, c.after, answer)
	}
	return answer, nil
}

// current returns the configuration in force on this daemon, or nil.
func (o *Operator) current() *vrconfig.Fleet {
	index := o.options.Live.Configuration()
	if index == nil {
		return nil
	}
	return index.Fleet
}

// prepare computes the change that a request asks for, without proposing it.
func (o *Operator) prepare(body *vrquery.CommandRequest) (*change, error) {
	if (body.Command == "") == (body.Document == nil) {
		return nil, usage("exactly one of command and document is required")
	}
	if body.Document != nil {
		return o.prepareDocument(body.Document)
	}
	statement, err := vrquery.Parse(body.Command)
	if err != nil {
		return nil, err
	}
	if !statement.IsCommand() {
		return nil, usage("this is a query: send it to " + vrquery.PathQuery)
	}
	before := o.current()
	if before == nil {
		return nil, unavailable("this daemon has no configuration yet; import one if the fleet is new")
	}
	after, changes, err := vrquery.Apply(before, statement)
	if err != nil {
		return nil, err
	}
	c := &change{text: statement.Text, before: before, after: after, changes: changes, explain: statement.Explain}
	if statement.Drain != nil {
		c.drains = vrid.ServerID(statement.Drain.Text)
	}
	return c, nil
}

// prepareDocument prepares a change that replaces the whole configuration, or creates the
// first one.
func (o *Operator) prepareDocument(document *vrconfig.Fleet) (*change, error) {
	before := o.current()
	if before == nil {
		before = &vrconfig.Fleet{}
	}
	after := *document
	after.Version = before.Version + 1
	if err := after.Validate(); err != nil {
		return nil, err
	}
	if before.Version > 0 && before.Claims.Shards != after.Claims.Shards {
		return nil, &vrquery.Failure{Kind: vrquery.FailureRefused, Message: "claims.shards can't be changed after the first version"}
	}
	return &change{
		text: fmt.Sprintf("import of a document with %d models", len(after.Models)), before: before, after: &after,
		changes: vrquery.Diff(before, &after),
	}, nil
}

// propose submits a change and returns nil if it was accepted.
func (o *Operator) propose(ctx context.Context, c *change, operator string) error {
	document, err := vrcodec.EncodeFleet(c.after)
	if err != nil {
		return err
	}
	if c.drains != "" {
		// The event drains the server on this daemon at once; the configuration persists the
		// drain and distributes it to the other daemons.
		o.options.Changes.Submit(vrevent.DrainServer{Server: c.drains})
	}
	ctx, cancel := context.WithTimeout(ctx, o.options.CommandTime)
	defer cancel()
	decided := o.options.Changes.Propose(ctx, vrevent.ConfigProposed{
		Base: c.before.Version, Index: vrconfig.NewIndex(c.after), Document: document, Operator: operator, Command: c.text,
	})
	switch decided.Decision {
	case vrevent.ConfigAccepted:
		return nil
	case vrevent.ConfigConflict:
		return o.conflict(c, decided.Version)
	case vrevent.ConfigUnavailable:
		return unavailable("the platform can't be reached, so the configuration can't be changed now (configurationUnavailable)")
	default:
		return &vrquery.Failure{
			Kind: vrquery.FailureUndecided, Version: decided.Version,
			Message: fmt.Sprintf("the platform did not answer in time: the change may still take effect as version %d; see show history", c.after.Version),
		}
	}
}

// conflict returns the failure for a change that lost against a concurrent one. It lists
// what the accepted change altered.
func (o *Operator) conflict(c *change, version vrid.ConfigVersion) error {
	failure := &vrquery.Failure{
		Kind: vrquery.FailureConflict, Version: version,
		Message: fmt.Sprintf("another change was accepted first: version %d is in force, this change is based on version %d", version, c.before.Version),
	}
	winner := o.current()
	if winner == nil || winner.Version <= c.before.Version {
		winner = o.readHistory(version)
	}
	if winner != nil {
		failure.WinningChanges = vrquery.Diff(c.before, winner)
	}
	lines := []string{failure.Message}
	for _, changed := range failure.WinningChanges {
		lines = append(lines, "  "+changed.String())
	}
	failure.Message = strings.Join(lines, "\n")
	return failure
}

// readHistory reads an older version of the configuration from the platform. It returns
// nil if that fails.
func (o *Operator) readHistory(version vrid.ConfigVersion) *vrconfig.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), o.options.PeerTime)
	defer cancel()
	value, outcome := o.objects.Read(ctx, vrplatform.HistoryKey(version))
	if outcome != vrplatform.OutcomeOK {
		return nil
	}
	index, err := vrcodec.DecodeFleet(value)
	if err != nil {
		return nil
	}
	return index.Fleet
}

// First and longest pause between two reads of the zones' acknowledgements; the pause
// doubles after each read.
const (
	firstForcePause = 50 * time.Millisecond
	lastForcePause  = 500 * time.Millisecond
)

// awaitForce waits until every zone has acknowledged the version. On a timeout the answer
// shows which zones have not.
func (o *Operator) awaitForce(ctx context.Context, fleet *vrconfig.Fleet, answer *vrquery.CommandResponse) {
	ctx, cancel := context.WithTimeout(ctx, o.options.ForceTime)
	defer cancel()
	for pause := firstForcePause; ; pause = min(2*pause, lastForcePause) {
		zones, all := o.zoneVersions(ctx, fleet)
		if zones != nil {
			answer.Zones = zones
		}
		if all {
			answer.State = vrquery.CommandInForce
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// zoneVersions reads which version each zone has acknowledged, and reports whether all
// have acknowledged this one.
func (o *Operator) zoneVersions(ctx context.Context, fleet *vrconfig.Fleet) (zones []vrquery.ZoneVersion, all bool) {
	items, outcome := o.objects.List(ctx, vrplatform.PrefixConfigAck, true)
	if outcome != vrplatform.OutcomeOK {
		return nil, false
	}
	acknowledged := make(map[vrid.ZoneID]vrid.ConfigVersion)
	for _, item := range items {
		version, err := strconv.ParseUint(strings.TrimSpace(string(item.Value)), 10, 64)
		if err == nil {
			acknowledged[vrid.ZoneID(strings.TrimPrefix(item.Key, vrplatform.PrefixConfigAck))] = vrid.ConfigVersion(version)
		}
	}
	all = true
	for _, zone := range fleet.Zones() {
		inForce := acknowledged[zone] >= fleet.Version
		all = all && inForce
		zones = append(zones, vrquery.ZoneVersion{Zone: zone, Version: acknowledged[zone], InForce: inForce})
	}
	return zones, all
}

// configuration handles GET /v1/configuration.
func (o *Operator) configuration(_ context.Context, _ call) (*vrconfig.Fleet, error) {
	fleet := o.current()
	if fleet == nil {
		return nil, unavailable("this daemon has no configuration yet")
	}
	return fleet, nil
}
