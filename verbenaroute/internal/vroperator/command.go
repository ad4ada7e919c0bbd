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

// preparedChange is a command together with the configuration that results from it.
type preparedChange struct {
	command string
	before  *vrconfig.Fleet
	after   *vrconfig.Fleet
	changes []vrquery.Change
	// drainServer is the server that the command drains, empty for other commands.
	drainServer vrid.ServerID
	// explain is set if the change must only be shown, not made.
	explain bool
}

// command handles POST /v1/command.
func (a *API) command(ctx context.Context, request authenticatedRequest) (*vrquery.CommandResponse, error) {
	commandRequest, err := decodeBody[vrquery.CommandRequest](request.body)
	if err != nil {
		return nil, err
	}
	c, err := a.prepare(commandRequest)
	if err != nil {
		return nil, err
	}
	response := &vrquery.CommandResponse{From: c.before.Version, To: c.after.Version, Changes: c.changes}
	if c.explain {
		response.State = vrquery.CommandExplained
		return response, nil
	}
	if err := request.requireRole(vrsettings.RoleCommand); err != nil {
		return nil, err
	}
	if len(c.changes) == 0 {
		response.State = vrquery.CommandUnchanged
		return response, nil
	}
	if err := a.propose(ctx, c, request.name); err != nil {
		return nil, err
	}
	response.State = vrquery.CommandAccepted
	if !commandRequest.NoWait {
		a.awaitInForce(ctx, c.after, response)
	}
	return response, nil
}

// currentFleet returns the configuration in force on this daemon, or nil.
func (a *API) currentFleet() *vrconfig.Fleet {
	index := a.options.Live.Configuration()
	if index == nil {
		return nil
	}
	return index.Fleet
}

// prepare computes the change that a request asks for, without proposing it.
func (a *API) prepare(request *vrquery.CommandRequest) (*preparedChange, error) {
	if (request.Command == "") == (request.Document == nil) {
		return nil, usageError("exactly one of command and document is required")
	}
	if request.Document != nil {
		return a.prepareDocument(request.Document)
	}
	statement, err := vrquery.Parse(request.Command)
	if err != nil {
		return nil, err
	}
	if !statement.IsCommand() {
		return nil, usageError("this is a query: send it to " + vrquery.PathQuery)
	}
	before := a.currentFleet()
	if before == nil {
		return nil, unavailableError("this daemon has no configuration yet; import one if the fleet is new")
	}
	after, changes, err := vrquery.Apply(before, statement)
	if err != nil {
		return nil, err
	}
	c := &preparedChange{command: statement.Text, before: before, after: after, changes: changes, explain: statement.Explain}
	if statement.Drain != nil {
		c.drainServer = vrid.ServerID(statement.Drain.Text)
	}
	return c, nil
}

// prepareDocument prepares a change that replaces the whole configuration, or creates the
// first one.
func (a *API) prepareDocument(document *vrconfig.Fleet) (*preparedChange, error) {
	before := a.currentFleet()
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
	return &preparedChange{
		command: fmt.Sprintf("import of a document with %d models", len(after.Models)), before: before, after: &after,
		changes: vrquery.Diff(before, &after),
	}, nil
}

// propose submits a change and returns nil if it was accepted.
func (a *API) propose(ctx context.Context, c *preparedChange, operator string) error {
	document, err := vrcodec.EncodeFleet(c.after)
	if err != nil {
		return err
	}
	if c.drainServer != "" {
		// The event drains the server on this daemon at once; the configuration persists the
		// drain and distributes it to the other daemons.
		a.options.Changes.Submit(vrevent.DrainServer{Server: c.drainServer})
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.CommandTimeout)
	defer cancel()
	decision := a.options.Changes.Propose(ctx, vrevent.ConfigProposed{
		Base: c.before.Version, Index: vrconfig.NewIndex(c.after), Document: document, Operator: operator, Command: c.command,
	})
	switch decision.Decision {
	case vrevent.ConfigAccepted:
		return nil
	case vrevent.ConfigConflict:
		return a.conflict(c, decision.Version)
	case vrevent.ConfigUnavailable:
		return unavailableError("the platform can't be reached, so the configuration can't be changed now (configurationUnavailable)")
	default:
		return &vrquery.Failure{
			Kind: vrquery.FailureUndecided, Version: decision.Version,
			Message: fmt.Sprintf("the platform did not answer in time: the change may still take effect as version %d; see show history", c.after.Version),
		}
	}
}

// conflict returns the failure for a change that was rejected because a concurrent one was
// accepted first. It lists what the accepted change altered.
func (a *API) conflict(c *preparedChange, version vrid.ConfigVersion) error {
	failure := &vrquery.Failure{
		Kind: vrquery.FailureConflict, Version: version,
		Message: fmt.Sprintf("another change was accepted first: version %d is in force, this change is based on version %d", version, c.before.Version),
	}
	accepted := a.currentFleet()
	if accepted == nil || accepted.Version <= c.before.Version {
		accepted = a.readHistory(version)
	}
	if accepted != nil {
		failure.WinningChanges = vrquery.Diff(c.before, accepted)
	}
	lines := []string{failure.Message}
	for _, change := range failure.WinningChanges {
		lines = append(lines, "  "+change.String())
	}
	failure.Message = strings.Join(lines, "\n")
	return failure
}

// readHistory reads an older version of the configuration from the platform. It returns
// nil if that fails.
func (a *API) readHistory(version vrid.ConfigVersion) *vrconfig.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), a.options.PeerTimeout)
	defer cancel()
	value, outcome := a.objects.Read(ctx, vrplatform.HistoryKey(version))
	if outcome != vrplatform.OutcomeOK {
		return nil
	}
	index, err := vrcodec.DecodeFleet(value)
	if err != nil {
		return nil
	}
	return index.Fleet
}

// Minimum and maximum pause between two reads of the zones' acknowledgements. The pause
// doubles after each read.
const (
	minInForcePoll = 50 * time.Millisecond
	maxInForcePoll = 500 * time.Millisecond
)

// awaitInForce waits until every zone has acknowledged the version of fleet. On a timeout the
// response shows which zones have not.
func (a *API) awaitInForce(ctx context.Context, fleet *vrconfig.Fleet, response *vrquery.CommandResponse) {
	ctx, cancel := context.WithTimeout(ctx, a.options.InForceTimeout)
	defer cancel()
	for interval := minInForcePoll; ; interval = min(2*interval, maxInForcePoll) {
		zones, allInForce := a.zoneVersions(ctx, fleet)
		if zones != nil {
			response.Zones = zones
		}
		if allInForce {
			response.State = vrquery.CommandInForce
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// zoneVersions reads which version each zone has acknowledged, and reports whether all of
// them have acknowledged the version of fleet.
func (a *API) zoneVersions(ctx context.Context, fleet *vrconfig.Fleet) (zones []vrquery.ZoneVersion, allInForce bool) {
	items, outcome := a.objects.List(ctx, vrplatform.PrefixConfigAck, true)
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
	allInForce = true
	for _, zone := range fleet.Zones() {
		inForce := acknowledged[zone] >= fleet.Version
		allInForce = allInForce && inForce
		zones = append(zones, vrquery.ZoneVersion{Zone: zone, Version: acknowledged[zone], InForce: inForce})
	}
	return zones, allInForce
}

// configuration handles GET /v1/configuration.
func (a *API) configuration(_ context.Context, _ authenticatedRequest) (*vrconfig.Fleet, error) {
	fleet := a.currentFleet()
	if fleet == nil {
		return nil, unavailableError("this daemon has no configuration yet")
	}
	return fleet, nil
}
