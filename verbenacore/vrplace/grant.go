package vrplace

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

// grantInterval is the pause between two grants in advance; each one is a write.
const grantInterval = 10 * time.Second

// grant reserves free memory for the model that is most likely needed while the
// platform can't be reached. Loads take the memory back at once.
func (w *plan) grant() {
	if !w.GrantInAdvance || w.now.Sub(w.planner.grantedAt) < grantInterval {
		return
	}
	w.planner.grantedAt = w.now
	model := w.likeliest()
	if model == nil {
		return
	}
	if server := w.reserve(model); server != nil {
		w.actions = append(w.actions, vrledger.Action{
			Kind: vrledger.ActionGrant, Server: server.Info.ID, Model: model.ID, Bytes: model.Memory,
			Cap: model.ReplicasPerZone, Source: source(server, model.ID),
		})
	}
}

// likeliest is the absent model whose recent use times its load time is highest.
func (w *plan) likeliest() *vrconfig.Model {
	var best *vrconfig.Model
	highest := 0.0
	for n, u := range w.planner.uses {
		model := w.Index.Model(n.model)
		if n.adapter != "" || model == nil || !model.AllowedIn(w.Zone) || u.arrived.IsZero() {
			continue
		}
		if w.Replicas(n.model)+w.added[n.model] > 0 {
			continue
		}
		faded := u.rate * exp2(-float64(w.now.Sub(u.fadedAt))/float64(useHalfLife))
		value := faded * model.LoadTime.Std().Seconds()
		if value > highest || (value == highest && best != nil && model.ID < best.ID) {
			best, highest = model, value
		}
	}
	return best
}

// reserve is the live server without a grant that has the most free memory.
func (w *plan) reserve(model *vrconfig.Model) *vrledger.Snapshot {
	var best *vrledger.Snapshot
	for i := range w.Servers {
		server := &w.Servers[i]
		id := server.Info.ID
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || w.granted[id] > 0 || w.free[id] < model.Memory {
			continue
		}
		if best == nil || w.free[id] > w.free[best.Info.ID] {
			best = server
		}
	}
	return best
}

// countGrants adds the memory of grants that can be taken back to what is free.
func (w *plan) countGrants(server *vrledger.Snapshot) {
	for i := range server.Entries {
		entry := &server.Entries[i]
		if w.revocable(server, entry) {
			w.granted[server.Info.ID] += entry.Bytes
			w.free[server.Info.ID] += entry.Bytes
		}
	}
}

func (w *plan) revocable(server *vrledger.Snapshot, entry *vrledger.Entry) bool {
	return entry.State == vrwire.ReplicaGranted && w.Revocable != nil && w.Revocable(server.Info.ID, entry.Model)
}

// take uses memory of a server and takes back the grants that stand in its way; the
// grant of the model itself becomes its load.
func (w *plan) take(server *vrledger.Snapshot, model vrid.ModelID, bytes vrid.Bytes) {
	id := server.Info.ID
	w.free[id] -= bytes
	for i := range server.Entries {
		entry := &server.Entries[i]
		if !w.revocable(server, entry) || w.granted[id] < entry.Bytes {
			continue
		}
		if entry.Model == model {
			w.granted[id] -= entry.Bytes
			continue
		}
		if w.free[id] < w.granted[id] {
			w.granted[id] -= entry.Bytes
			w.actions = append(w.actions, vrledger.Action{Kind: vrledger.ActionRevoke, Server: id, Model: entry.Model})
		}
	}
}

// revokeStranded takes back the grants of servers that take no new work: such a grant
// counts towards its model's cap and can't be used.
func (w *plan) revokeStranded() {
	for i := range w.Servers {
		server := &w.Servers[i]
		if server.Info.State == vrwire.ServerLive {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if w.revocable(server, entry) {
				w.actions = append(w.actions, vrledger.Action{
					Kind: vrledger.ActionRevoke, Server: server.Info.ID, Model: entry.Model,
				})
			}
		}
	}
}
