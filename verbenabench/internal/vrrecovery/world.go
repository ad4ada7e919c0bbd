package vrrecovery

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _warmUp is the time that a deployment gets to settle before the measurement.
	_warmUp = 12 * time.Second
	// _urgentModelStep is the index distance between two urgent models: in the default
	// configuration of vrworld, every third model serves urgent calls.
	_urgentModelStep = 3
	_maxTokens       = 10
)

// zoneOwner returns the running daemon that holds the zone's lease, according to the
// lease object on the platform, or nil.
func zoneOwner(w *vrworld.World, zone vrid.ZoneID) *vrworld.Daemon {
	value, _ := w.Platform.Object(vrplatform.LeaseKey(zone))
	record, err := vrwire.Unmarshal[vrlease.Record](value)
	if err != nil || record.Released {
		return nil
	}
	for _, d := range w.Daemons {
		if d.ID == record.Holder && d.Process != nil {
			return d
		}
	}
	return nil
}

// runningDaemons returns the running daemons of a zone.
func runningDaemons(w *vrworld.World, zone vrid.ZoneID) []*vrworld.Daemon {
	var running []*vrworld.Daemon
	for _, d := range w.Daemons {
		if d.Zone == zone && d.Process != nil {
			running = append(running, d)
		}
	}
	return running
}

// isLoaded reports whether a language server of the zone has the model loaded. An empty
// zone means any zone.
func isLoaded(w *vrworld.World, zone vrid.ZoneID, model vrid.ModelID) bool {
	for _, e := range w.Engines {
		if (zone == "" || e.Zone == zone) && e.Models[model] != nil {
			return true
		}
	}
	return false
}

// urgentModels returns the models that serve urgent calls in the default configuration.
func urgentModels(w *vrworld.World) []vrid.ModelID {
	var models []vrid.ModelID
	for i := 0; i < w.Options.Models; i += _urgentModelStep {
		models = append(models, vrworld.ModelName(i))
	}
	return models
}

// urgentRequest returns a request of urgent rank for the model.
func urgentRequest(model vrid.ModelID) vrevent.Request {
	return vrevent.Request{Kind: vrworld.KindUrgent, Model: model, MaxTokens: _maxTokens}
}

// outcomes counts calls by outcome. refused includes calls whose connection broke, and
// reasons counts both by reason code. open counts the calls that have not ended. late
// counts the calls whose first token, or end without a token, did not come within the
// deadline plus one tick.
type outcomes struct {
	answered, refused, open, late int
	reasons                       map[string]int
}

func countOutcomes(w *vrworld.World, calls []*vrworld.Call) outcomes {
	counted := outcomes{reasons: make(map[string]int)}
	for _, call := range calls {
		switch call.End {
		case vrworld.EndAnswered, vrworld.EndReplayed:
			counted.answered++
		case vrworld.EndRefused, vrworld.EndBroken:
			counted.refused++
			counted.reasons[string(call.Reason)]++
		case vrworld.EndOpen:
			counted.open++
		}
		first := call.FirstToken
		if first.IsZero() {
			first = call.Ended
		}
		if first.IsZero() {
			first = w.Now()
		}
		if first.Sub(call.Sent) > call.Limit+vrevent.TickInterval {
			counted.late++
		}
	}
	return counted
}
