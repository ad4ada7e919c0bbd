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

// _recoverTime lets the zone settle between two kills.
const _recoverTime = 4 * time.Second

// onSite kills owners of real daemons, one zone after the other.
func (t *takeover) onSite(ctx context.Context) error {
	s, err := newSite(ctx, t.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	load := s.load()
	planner := vrload.NewPlanner(&s.fleet.Deployment.Fleet, t.Seed, nil)
	zones := s.fleet.Deployment.Fleet.Zones()
	var spells []spell
	for i := range t.runs {
		if vrpause.For(ctx, _recoverTime) != nil {
			return ctx.Err()
		}
		one, err := s.takeOver(ctx, load, planner, zones[i%len(zones)])
		if err != nil {
			return err
		}
		s.progress("%s: lease after %s, served after %s", zones[i%len(zones)], one.lease.Round(time.Millisecond), one.served.Round(time.Millisecond))
		spells = append(spells, one)
	}
	reportSpells(&s.verdict, spells)
	if err := s.judge(load.Wait()); err != nil {
		return err
	}
	return s.end()
}

func (s *site) takeOver(ctx context.Context, load *vrload.Load, planner *vrload.Planner, zone vrid.ZoneID) (spell, error) {
	owner, err := s.fleet.Owner(zone)
	if err != nil {
		return spell{}, err
	}
	call := planner.ForModel(s.coldModel(planner), "")
	call.Stream = true
	call.Daemon = s.other(zone, owner)
	killed := time.Now()
	if _, before := s.evidence.Killed[owner]; !before {
		s.evidence.Killed[owner] = killed
	}
	if err := s.fleet.Kill(owner); err != nil {
		return spell{}, err
	}
	load.MarkDown(owner)
	result := spell{lease: _patience, served: s.served(ctx, load, call, killed)}
	for _, entry := range s.fleet.World.Journal.After(0) {
		isLease := entry.Kind == vrstandin.JournalWrite && entry.Object == vrplatform.LeaseKey(zone)
		if isLease && entry.At.After(killed) {
			result.lease = min(result.lease, entry.At.Sub(killed))
		}
	}
	if err := s.fleet.Start(owner); err != nil {
		return spell{}, err
	}
	if err := s.fleet.WaitReady(ctx, owner, _readyBound); err != nil {
		return spell{}, err
	}
	load.MarkUp(owner)
	return result, nil
}

// served asks until the call is answered and returns the time since the kill.
func (s *site) served(ctx context.Context, load *vrload.Load, call vrload.Call, killed time.Time) time.Duration {
	for time.Since(killed) < _patience {
		view := load.Do(ctx, call)
		load.Keep(view)
		if last := view.Last(); last.End == vrload.EndAnswered {
			return last.First.Sub(killed)
		}
		if vrpause.For(ctx, _askEvery) != nil {
			break
		}
	}
	return _patience
}

// coldModel returns an urgent model that no server holds or ever held.
func (s *site) coldModel(planner *vrload.Planner) vrid.ModelID {
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

// other returns another daemon of the zone.
func (s *site) other(zone vrid.ZoneID, owner vrid.DaemonID) vrid.DaemonID {
	for _, daemon := range s.fleet.Deployment.Daemons {
		if daemon.Zone == zone && daemon.ID != owner {
			return daemon.ID
		}
	}
	return owner
}
