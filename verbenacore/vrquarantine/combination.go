package vrquarantine

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// combination is a set of suspected parts, sorted, of which at least one crashes servers.
type combination struct {
	parts []vrid.PromptPartID
	until time.Time
	// local is set if this daemon blocked the combination without the owner, and localReported once it
	// has told the owner.
	local, localReported bool
}

// isSubset reports whether ids contain all parts.
func isSubset(parts, ids []vrid.PromptPartID) bool {
	for _, part := range parts {
		if !slices.Contains(ids, part) {
			return false
		}
	}
	return true
}

// blockCombination blocks a set of at least two parts after the crash of a probe. If another
// combination shares some of them, only those are the likely cause of both crashes.
func (q *Quarantine) blockCombination(now time.Time, parts []vrid.PromptPartID) {
	for i := range q.combinations {
		var shared []vrid.PromptPartID
		for _, id := range parts {
			if slices.Contains(q.combinations[i].parts, id) {
				shared = append(shared, id)
			}
		}
		if len(shared) > 0 {
			parts = shared
		}
	}
	if len(parts) == 1 {
		q.blockPart(now, q.parts[parts[0]])
		return
	}
	blocks := uint32(0)
	for _, id := range parts {
		blocks = max(blocks, q.parts[id].blocks)
	}
	for _, id := range parts {
		q.parts[id].blocks = blocks + 1
	}
	q.addCombination(combination{parts: slices.Sorted(slices.Values(parts)), until: now.Add(blockTime(blocks)), local: q.alone})
}

// addCombination adds a combination in place of those that contain it.
func (q *Quarantine) addCombination(c combination) {
	q.combinations = slices.DeleteFunc(q.combinations, func(other combination) bool { return isSubset(c.parts, other.parts) })
	if len(q.combinations) >= maxCombinations {
		q.combinations = q.combinations[1:]
	}
	q.combinations = append(q.combinations, c)
	q.storeChanged = true
	q.markChanged()
	q.changes = append(q.changes, Change{Parts: c.parts, State: Blocked})
}

// removeFromCombinations removes a cleared part from the combinations. The last part that is left of
// one is the one that crashes servers.
func (q *Quarantine) removeFromCombinations(now time.Time, id vrid.PromptPartID) {
	var last []combination
	q.combinations = slices.DeleteFunc(q.combinations, func(c combination) bool {
		if !slices.Contains(c.parts, id) {
			return false
		}
		rest := slices.DeleteFunc(slices.Clone(c.parts), func(other vrid.PromptPartID) bool { return other == id })
		last = append(last, combination{parts: rest, until: c.until, local: c.local, localReported: c.localReported})
		return true
	})
	for _, c := range last {
		p := q.parts[c.parts[0]]
		switch {
		case len(c.parts) > 1:
			q.addCombination(c)
		case p != nil && p.state == Suspected:
			q.block(now, p, c.until, p.blocks)
		}
	}
}

func (q *Quarantine) inCombination(id vrid.PromptPartID) bool {
	return slices.ContainsFunc(q.combinations, func(c combination) bool { return slices.Contains(c.parts, id) })
}

// expireCombinations ends the blocks of combinations. Their parts stay suspected.
func (q *Quarantine) expireCombinations(now time.Time) {
	before := len(q.combinations)
	q.combinations = slices.DeleteFunc(q.combinations, func(c combination) bool { return !now.Before(c.until) })
	if len(q.combinations) < before {
		q.storeChanged = true
		q.markChanged()
	}
}

// combinationMessages returns the combinations as messages.
func (q *Quarantine) combinationMessages(now time.Time) []vrwire.BlockedCombination {
	var messages []vrwire.BlockedCombination
	for _, c := range q.combinations {
		messages = append(messages, vrwire.BlockedCombination{Parts: c.parts, Remaining: remaining(now, c.until)})
	}
	return messages
}

// setCombinations replaces the combinations by those of a message. Those that this daemon blocked
// without the owner stay, and are reported.
func (q *Quarantine) setCombinations(now time.Time, messages []vrwire.BlockedCombination) {
	var kept []combination
	for _, c := range q.combinations {
		if !c.local || isListed(c.parts, messages) || q.isRefuted(&c, messages) || !now.Before(c.until) {
			continue
		}
		if !c.localReported {
			q.reports.add(vrwire.PromptReportItem{
				Part: c.parts[0], Event: vrwire.PromptBlocked, Combination: c.parts, Remaining: remaining(now, c.until),
			})
		}
		c.localReported = true
		kept = append(kept, c)
	}
	q.combinations = kept
	for i := range messages {
		until := now.Add(time.Duration(messages[i].Remaining) * time.Millisecond)
		q.combinations = append(q.combinations, combination{parts: messages[i].Parts, until: until})
	}
}

func isListed(parts []vrid.PromptPartID, messages []vrwire.BlockedCombination) bool {
	return slices.ContainsFunc(messages, func(m vrwire.BlockedCombination) bool { return slices.Equal(m.Parts, parts) })
}

// isRefuted reports whether the owner has heard of a local combination and does not list it.
func (q *Quarantine) isRefuted(c *combination, messages []vrwire.BlockedCombination) bool {
	return c.localReported && !q.reports.mentions(c.parts[0]) && !isListed(c.parts, messages)
}

// handleBlocked adds what a daemon has blocked without the owner. A part that was answered at this
// daemon is no cause.
func (q *Quarantine) handleBlocked(now time.Time, item *vrwire.PromptReportItem) {
	until := now.Add(time.Duration(item.Remaining) * time.Millisecond)
	ids := item.Combination
	if len(ids) == 0 {
		ids = []vrid.PromptPartID{item.Part}
	}
	var parts []vrid.PromptPartID
	for _, id := range ids {
		if !q.answeredRecently(now, id) {
			q.suspect(now, id).reportedAt = now
			parts = append(parts, id)
		}
	}
	switch len(parts) {
	case 0:
	case 1:
		if p := q.parts[parts[0]]; p.state != Blocked {
			q.block(now, p, until, max(p.blocks, 1))
		}
	default:
		q.addCombination(combination{parts: parts, until: until})
	}
}
