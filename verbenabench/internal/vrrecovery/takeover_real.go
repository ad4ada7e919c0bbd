package vrrecovery

import (
	"context"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// _settleTime lets the zone recover between two kills.
const _settleTime = 4 * time.Second

// runReal kills the owners of real zones, one zone after the other.
func (t *takeover) runReal(ctx context.Context) error {
	tb, err := newTestbed(ctx, t.Options)
	if err != nil {
		return err
	}
	defer tb.fleet.Close()
	generator := tb.newGenerator()
	planner := vrload.NewPlanner(&tb.fleet.Deployment.Fleet, t.Seed, nil)
	zones := tb.fleet.Deployment.Fleet.Zones()
	var takeovers []takeoverTimes
	for i := range t.runs {
		if vrpause.For(ctx, _settleTime) != nil {
			return ctx.Err()
		}
		times, err := tb.measureTakeover(ctx, generator, planner, zones[i%len(zones)])
		if err != nil {
			return err
		}
		tb.progress("%s: lease after %s, served after %s", zones[i%len(zones)], times.lease.Round(time.Millisecond), times.served.Round(time.Millisecond))
		takeovers = append(takeovers, times)
	}
	reportTakeovers(&tb.verdict, takeovers)
	if err := tb.checkInvariants(generator.Wait()); err != nil {
		return err
	}
	return tb.finish()
}

// measureTakeover kills the zone's owner, requests a cold model until it is served and
// restarts the killed daemon.
func (tb *testbed) measureTakeover(ctx context.Context, generator *vrload.Generator, planner *vrload.Planner, zone vrid.ZoneID) (takeoverTimes, error) {
	owner, err := tb.fleet.Owner(zone)
	if err != nil {
		return takeoverTimes{}, err
	}
	call := planner.ForModel(tb.coldModel(planner), "")
	call.Stream = true
	call.Daemon = tb.otherDaemon(zone, owner)
	killed := time.Now()
	if _, before := tb.evidence.Killed[owner]; !before {
		tb.evidence.Killed[owner] = killed
	}
	if err := tb.fleet.Kill(owner); err != nil {
		return takeoverTimes{}, err
	}
	generator.MarkDown(owner)
	result := takeoverTimes{lease: _serveTimeout, served: tb.timeUntilServed(ctx, generator, call, killed)}
	for _, entry := range tb.fleet.World.Journal.After(0) {
		isLease := entry.Kind == vrstandin.JournalWrite && entry.Object == vrplatform.LeaseKey(zone)
		if isLease && entry.At.After(killed) {
			result.lease = min(result.lease, entry.At.Sub(killed))
		}
	}
	if err := tb.fleet.Start(owner); err != nil {
		return takeoverTimes{}, err
	}
	if err := tb.fleet.WaitReady(ctx, owner, _readyTimeout); err != nil {
		return takeoverTimes{}, err
	}
	generator.MarkUp(owner)
	return result, nil
}

// timeUntilServed repeats the call until it is answered and returns the time from the kill
// to its first token. It returns _serveTimeout if no call is answered in time.
func (tb *testbed) timeUntilServed(ctx context.Context, generator *vrload.Generator, call vrload.Call, killed time.Time) time.Duration {
	for time.Since(killed) < _serveTimeout {
		result := generator.Do(ctx, call)
		generator.AddResult(result)
		if last := result.Last(); last.End == vrload.EndAnswered {
			return last.FirstContent.Sub(killed)
		}
		if vrpause.For(ctx, _retryInterval) != nil {
			break
		}
	}
	return _serveTimeout
}

// coldModel returns an urgent model that no server has ever started to load, or the first
// model if there is none.
func (tb *testbed) coldModel(planner *vrload.Planner) vrid.ModelID {
	loaded := make(map[vrid.ModelID]bool)
	for _, entry := range tb.fleet.World.Journal.After(0) {
		if entry.Kind == vrstandin.JournalLoadStarted {
			loaded[entry.Model] = true
		}
	}
	models := tb.fleet.Deployment.Fleet.Models
	at := slices.IndexFunc(models, func(model vrconfig.Model) bool {
		return !loaded[model.ID] && planner.ForModel(model.ID, "").Rank == vrid.RankUrgent
	})
	return models[max(at, 0)].ID
}

// otherDaemon returns another daemon of the zone, or the owner if there is none.
func (tb *testbed) otherDaemon(zone vrid.ZoneID, owner vrid.DaemonID) vrid.DaemonID {
	for _, daemon := range tb.fleet.Deployment.Daemons {
		if daemon.Zone == zone && daemon.ID != owner {
			return daemon.ID
		}
	}
	return owner
}
