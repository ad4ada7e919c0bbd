package vrscenario

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenacore/vrclaim"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
)

const _homePrefix = "home:"

// resolveKey returns the named key, or for home:ZONE the first generated key whose claims
// belong to the owner of the zone.
func (s *scenario) resolveKey(name string) vrid.IdempotencyKey {
	zone, isHome := strings.CutPrefix(name, _homePrefix)
	if !isHome {
		return vrid.IdempotencyKey(name)
	}
	fleet := &s.fleet.Deployment.Fleet
	for i := 0; ; i++ {
		key := vrid.IdempotencyKey(fmt.Sprintf("at-home-%d", i))
		shard := vrclaim.Shard(fleet.Services[0].ID, key, fleet.Claims.Shards)
		if vrclaim.HomeZone(shard, fleet.Zones()) == vrid.ZoneID(zone) {
			return key
		}
	}
}

// command sends an operator's command to a daemon and fails if it is not accepted.
func (s *scenario) command(arguments []string) error {
	line := newArgReader("command DAEMON TEXT", arguments)
	daemon, err := s.resolveDaemon(line.word())
	text := strings.Join(line.rest, " ")
	if err := errors.Join(err, line.err); err != nil {
		return err
	}
	answer, err := s.fleet.Command(s.ctx, daemon, text)
	if err != nil {
		return err
	}
	s.evidence.ConfigChangedAt, s.evidence.ConfigVersion = time.Now(), answer.To
	return nil
}

// race sends a command that changes the configuration to each running daemon concurrently.
// Each accepted command must create exactly one version, and all other commands must be refused
// as conflicts.
func (s *scenario) race(arguments []string) error {
	if err := newArgReader("race", arguments).finish(); err != nil {
		return err
	}
	before, err := s.fleet.HeadConfig()
	if err != nil {
		return err
	}
	result := s.raceCommands()
	after, err := s.fleet.HeadConfig()
	if err != nil {
		return err
	}
	versions := int(after.Version - before.Version)
	if len(result.unexpected) > 0 || result.accepted == 0 || result.accepted != versions {
		return &ExpectError{
			Want: "one version for each accepted command and conflicts for the others",
			Got:  fmt.Sprintf("%d accepted, %d versions, %q", result.accepted, versions, result.unexpected),
		}
	}
	s.evidence.ConfigChangedAt, s.evidence.ConfigVersion = time.Now(), after.Version
	return nil
}

// raceResult summarizes the outcomes of concurrent commands.
type raceResult struct {
	accepted int
	// unexpected lists the outcomes other than an acceptance or a conflict.
	unexpected []string
}

func (s *scenario) raceCommands() raceResult {
	// A command that changes nothing creates no version, so each command sets a new value.
	const firstWorth, perRace = 200, 100
	s.raceCount++
	var (
		mu       sync.Mutex
		result   raceResult
		commands conc.WaitGroup
	)
	for i, daemon := range s.fleet.Deployment.Daemons {
		if !s.fleet.Running(daemon.ID) {
			continue
		}
		text := fmt.Sprintf("set rank urgent worth %d", firstWorth+s.raceCount*perRace+i)
		commands.Go(func() {
			answer, err := s.fleet.Command(context.WithoutCancel(s.ctx), daemon.ID, text)
			mu.Lock()
			defer mu.Unlock()
			var failure *vrquery.Failure
			switch {
			case err == nil && answer.State == vrquery.CommandAccepted:
				result.accepted++
			case err == nil:
				result.unexpected = append(result.unexpected, fmt.Sprintf("%s: %s", daemon.ID, answer.State))
			case errors.As(err, &failure) && failure.Kind == vrquery.FailureConflict:
			default:
				result.unexpected = append(result.unexpected, fmt.Sprintf("%s: %v", daemon.ID, err))
			}
		})
	}
	commands.Wait()
	return result
}
