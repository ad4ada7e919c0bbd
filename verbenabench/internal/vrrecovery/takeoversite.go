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

// runReal kills zone owners among real daemons, one zone after the other.
func (t *takeover) runReal(ctx context.Context) error {
	s, err := newTestbed(ctx, t.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	load := s.load()
	planner := vrload.NewPlanner(&s.fleet.Deployment.Fleet, t.Seed, nil)
	zones := s.fleet.Deployment.Fleet.Zones()
	var takeovers []takeoverTimes
	for i := range t.runs {
		if vrpause.For(ctx, _settleTime) != nil {
			return ctx.Err()
		}
		one, err := s.measureTakeover(ctx, load, planner, zones[i%len(zones)])
		if err != nil {
			return err
		}
		s.progress("%s: lease after %s, served after %s", zones[i%len(zones)], one.lease.Round(time.Millisecond), one.served.Round(time.Millisecond))
		takeovers = append(takeovers, one)
	}
	reportTakeovers(&s.verdict, takeovers)
	if err := s.checkInvariants(load.Wait()); err != nil {
		return err
	}
	return s.finish()
}

func (s *testbed) measureTakeover(ctx context.Context, load *vrload.Generator, planner *vrload.Planner, zone vrid.ZoneID) (takeoverTimes, error) {
	owner, err := s.fleet.Owner(zone)
	if err != nil {
		return takeoverTimes{}, err
	}
	call := planner.ForModel(s.coldModel(planner), "")
	call.Stream = true
	call.Daemon = s.otherDaemon(zone, owner)
	killed := time.Now()
	if _, before := s.evidence.Killed[owner]; !before {
		s.evidence.Killed[owner] = killed
	}
	if err := s.fleet.Kill(owner); err != nil {
		return takeoverTimes{}, err
	}
	load.MarkDown(owner)
	result := takeoverTimes{lease: _serveTimeout, served: s.timeUntilServed(ctx, load, call, killed)}
	for _, entry := range s.fleet.World.Journal.After(0) {
		isLease := entry.Kind == vrstandin.JournalWrite && entry.Object == vrplatform.LeaseKey(zone)
		if isLease && entry.At.After(killed) {
			result.lease = min(result.lease, entry.At.Sub(killed))
		}
	}
	if err := s.fleet.Start(owner); err != nil {
		return takeoverTimes{}, err
	}
	if err := s.fleet.WaitReady(ctx, owner, _readyTimeout); err != nil {
		return takeoverTimes{}, err
	}
	load.MarkUp(owner)
	return result, nil
}

// timeUntilServed repeats the call until it is answered and returns the time from the kill
// to its first token. It returns _serveTimeout if no call is answered in time.
func (s *testbed) timeUntilServed(ctx context.Context, load *vrload.Generator, call vrload.Call, killed time.Time) time.Duration {
	for time.Since(killed) < _serveTimeout {
		view := load.Do(ctx, call)
		load.AddResult(view)
		if last := view.Last(); last.End == vrload.EndAnswered {
			return last.FirstContent.Sub(killed)
		}
		if vrpause.For(ctx, _retryInterval) != nil {
			break
		}
	}
	return _serveTimeout
}

// coldModel returns an urgent model that no server has ever loaded, or the first model if
// there is none.
func (s *testbed) coldModel(planner *vrload.Planner) vrid.ModelID {
	touched := make(map[vrid.ModelID]bool)
	for _, entry := range s.fleet.World.Journal.After(0) {
		if entry.Kind == vrstandin.JournalLoadStarted {
			touched[entry.Model] = true
		}
	}
	models := s.fleet.Deployment.Fleet.Models
	at := slices.IndexFunc(models, func(model vrconfig.Model) bool {
		return !touched[model.ID] && planner.ForModel(model.ID, "").Rank == vrid.RankUrgent
	})
	return models[max(at, 0)].ID
}

// otherDaemon returns another daemon of the zone, or the owner if there is none.
func (s *testbed) otherDaemon(zone vrid.ZoneID, owner vrid.DaemonID) vrid.DaemonID {
	for _, daemon := range s.fleet.Deployment.Daemons {
		if daemon.Zone == zone && daemon.ID != owner {
			return daemon.ID
		}
	}
	return owner
}
