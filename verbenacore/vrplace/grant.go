package vrplace

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

// grantInterval is the minimum time between two grants in advance; each grant is a write to
// the platform.
const grantInterval = 10 * time.Second

// grantInAdvance reserves free memory for the model that is most likely to be needed while
// the platform can't be reached. Loads revoke such a grant at once when they need its memory.
func (p *plan) grantInAdvance() {
	if !p.GrantInAdvance || p.now.Sub(p.planner.lastGrant) < grantInterval {
		return
	}
	p.planner.lastGrant = p.now
	model := p.mostLikelyNeeded()
	if model == nil {
		return
	}
	if server := p.serverForGrant(model); server != nil {
		p.actions = append(p.actions, vrledger.Action{
			Kind: vrledger.ActionGrant, Server: server.Info.ID, Model: model.ID, Bytes: model.Memory,
			MaxReplicas: model.ReplicasPerZone, Source: checkpointSource(server, model.ID),
		})
	}
}

// mostLikelyNeeded returns the model without a replica that has the highest product of recent
// requests and load time.
func (p *plan) mostLikelyNeeded() *vrconfig.Model {
	var best *vrconfig.Model
	highestBenefit := 0.0
	for key, u := range p.planner.usages {
		model := p.Index.Model(key.model)
		if key.adapter != "" || model == nil || !model.AllowedIn(p.Zone) || u.lastArrival.IsZero() {
			continue
		}
		if p.Replicas(key.model)+p.plannedReplicas[key.model] > 0 {
			continue
		}
		recentRequests := u.recentRequests * exp2(-float64(p.now.Sub(u.decayedAt))/float64(usageHalfLife))
		benefit := recentRequests * model.LoadTime.Std().Seconds()
		if benefit > highestBenefit || (benefit == highestBenefit && best != nil && model.ID < best.ID) {
			best, highestBenefit = model, benefit
		}
	}
	return best
}

// serverForGrant returns the live server without a revocable grant that has the most free
// memory, or nil if the model fits on none.
func (p *plan) serverForGrant(model *vrconfig.Model) *vrledger.Snapshot {
	var best *vrledger.Snapshot
	for i := range p.Servers {
		server := &p.Servers[i]
		id := server.Info.ID
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || p.grantedMemory[id] > 0 || p.freeMemory[id] < model.Memory {
			continue
		}
		if best == nil || p.freeMemory[id] > p.freeMemory[best.Info.ID] {
			best = server
		}
	}
	return best
}

// addRevocableGrants adds the memory of a server's revocable grants to its free memory.
func (p *plan) addRevocableGrants(server *vrledger.Snapshot) {
	for i := range server.Entries {
		entry := &server.Entries[i]
		if p.revocable(server, entry) {
			p.grantedMemory[server.Info.ID] += entry.Bytes
			p.freeMemory[server.Info.ID] += entry.Bytes
		}
	}
}

func (p *plan) revocable(server *vrledger.Snapshot, entry *vrledger.Entry) bool {
	return entry.State == vrwire.ReplicaGranted && p.Revocable != nil && p.Revocable(server.Info.ID, entry.Model)
}

// takeMemory takes memory of a server for a load and revokes the grants that no longer fit
// beside it. A grant of the loaded model itself is turned into the load.
func (p *plan) takeMemory(server *vrledger.Snapshot, model vrid.ModelID, bytes vrid.Bytes) {
	id := server.Info.ID
	p.freeMemory[id] -= bytes
	for i := range server.Entries {
		entry := &server.Entries[i]
		if !p.revocable(server, entry) || p.grantedMemory[id] < entry.Bytes {
			continue
		}
		if entry.Model == model {
			p.grantedMemory[id] -= entry.Bytes
			continue
		}
		if p.freeMemory[id] < p.grantedMemory[id] {
			p.grantedMemory[id] -= entry.Bytes
			p.actions = append(p.actions, vrledger.Action{Kind: vrledger.ActionRevoke, Server: id, Model: entry.Model})
		}
	}
}

// revokeUnusableGrants revokes the grants on servers that take no new requests: such a grant
// can't be used, but counts towards the cap of its model.
func (p *plan) revokeUnusableGrants() {
	for i := range p.Servers {
		server := &p.Servers[i]
		if server.Info.State == vrwire.ServerLive {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if p.revocable(server, entry) {
				p.actions = append(p.actions, vrledger.Action{
					Kind: vrledger.ActionRevoke, Server: server.Info.ID, Model: entry.Model,
				})
			}
		}
	}
}
