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

// key returns the key as it stands, or for home:ZONE the first key whose claims belong
// to the owner of the zone.
func (s *scenario) key(name string) vrid.IdempotencyKey {
	zone, isHome := strings.CutPrefix(name, _homePrefix)
	if !isHome {
		return vrid.IdempotencyKey(name)
	}
	fleet := &s.fleet.Deployment.Fleet
	for number := 0; ; number++ {
		key := vrid.IdempotencyKey(fmt.Sprintf("at-home-%d", number))
		shard := vrclaim.Shard(fleet.Services[0].ID, key, fleet.Claims.Shards)
		if vrclaim.HomeZone(shard, fleet.Zones()) == vrid.ZoneID(zone) {
			return key
		}
	}
}

// command gives an operator's command to a daemon; it has to be accepted.
func (s *scenario) command(arguments []string) error {
	line := read("command DAEMON TEXT", arguments)
	daemon, err := s.daemon(line.text())
	text := strings.Join(line.left, " ")
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

// race lets an operator at each running daemon change the configuration at the same
// time. Each accepted command makes one version, the others are refused.
func (s *scenario) race(arguments []string) error {
	if err := read("race", arguments).end(); err != nil {
		return err
	}
	before, err := s.fleet.Head()
	if err != nil {
		return err
	}
	result := s.commandAll()
	after, err := s.fleet.Head()
	if err != nil {
		return err
	}
	made := int(after.Version - before.Version)
	if len(result.mistakes) > 0 || result.accepted == 0 || result.accepted != made {
		return &ExpectError{
			Want: "one version for each accepted command, and conflicts",
			Got:  fmt.Sprintf("%d accepted, %d versions, %q", result.accepted, made, result.mistakes),
		}
	}
	s.evidence.ConfigChangedAt, s.evidence.ConfigVersion = time.Now(), after.Version
	return nil
}

// raceResult counts the ends of commands that were given at the same time.
type raceResult struct {
	accepted int
	// mistakes are the ends other than an acceptance or a conflict.
	mistakes []string
}

func (s *scenario) commandAll() raceResult {
	// A command that changes nothing makes no version, so no value is given twice.
	const firstWorth, perRace = 200, 100
	s.races++
	var (
		mu     sync.Mutex
		result raceResult
		given  conc.WaitGroup
	)
	for i, daemon := range s.fleet.Deployment.Daemons {
		if !s.fleet.Running(daemon.ID) {
			continue
		}
		text := fmt.Sprintf("set rank urgent worth %d", firstWorth+s.races*perRace+i)
		given.Go(func() {
			answer, err := s.fleet.Command(context.WithoutCancel(s.ctx), daemon.ID, text)
			mu.Lock()
			defer mu.Unlock()
			var failure *vrquery.Failure
			switch {
			case err == nil && answer.State == vrquery.CommandAccepted:
				result.accepted++
			case err == nil:
				result.mistakes = append(result.mistakes, fmt.Sprintf("%s: %s", daemon.ID, answer.State))
			case errors.As(err, &failure) && failure.Kind == vrquery.FailureConflict:
			default:
				result.mistakes = append(result.mistakes, fmt.Sprintf("%s: %v", daemon.ID, err))
			}
		})
	}
	given.Wait()
	return result
}
