package vrworld

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// Pace is a more detailed timing model of the language servers, for measurements of the
// policy: requests get slots by priority, a load takes the time declared for its model and
// shares the weight store, and servers cache copies of checkpoints.
type Pace struct {
	// Prefill is the time from getting a slot to the first token, Token the time between two
	// tokens.
	Prefill       time.Duration
	TokenInterval time.Duration
	// DiskPercent is the percentage of models that are on each server's disk at the start.
	DiskPercent int
	// FIFO makes engines queue requests in order of arrival instead of priority.
	FIFO bool
}

// Duration of a load as a fraction of the declared load time if the server has a copy in
// memory or on disk. Only remote loads share the weight store.
const (
	memoryLoadFraction = 0.1
	diskLoadFraction   = 0.4
)

// Maximum number of checkpoint copies in a server's memory and on its disk.
const (
	maxMemoryCopies = 3
	maxDiskCopies   = 12
)

// tokenInterval returns the time between two tokens.
func (w *World) tokenInterval() time.Duration {
	if w.Options.Pace != nil {
		return w.Options.Pace.TokenInterval
	}
	return TokenTime
}

// enqueue inserts an attempt into the queue for slots, ordered by priority and then by
// arrival.
func (e *Engine) enqueue(a *attempt) {
	index, _ := slices.BinarySearchFunc(e.queue, a, func(queued, added *attempt) int {
		if !e.world.Options.Pace.FIFO && queued.effect.Priority != added.effect.Priority {
			return int(queued.effect.Priority) - int(added.effect.Priority)
		}
		return int(queued.sequence) - int(added.sequence)
	})
	e.queue = slices.Insert(e.queue, index, a)
	e.fillSlots()
}

// fillSlots gives free slots to the attempts at the head of the queue.
func (e *Engine) fillSlots() {
	for e.slotsInUse < e.slots && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if a.ended {
			continue
		}
		a.holdsSlot = true
		e.slotsInUse++
		e.world.After(e.world.Options.Pace.Prefill, a.startStreaming)
	}
}

// releaseSlot gives the slot of an ended attempt to the next one, or removes the attempt
// from the queue if it has no slot.
func (e *Engine) releaseSlot(a *attempt) {
	if !a.holdsSlot {
		e.queue = slices.DeleteFunc(e.queue, func(queued *attempt) bool { return queued == a })
		return
	}
	a.holdsSlot = false
	e.slotsInUse--
	e.fillSlots()
}

// Running returns the number of requests of a model at the engine, queued ones included.
func (e *Engine) Running(model vrid.ModelID) int {
	running := 0
	for a := range e.inFlight {
		if a.effect.Model == model {
			running++
		}
	}
	return running
}

// checkpointCache holds the ids of the checkpoints in a server's memory and on its disk,
// the least recently used first.
type checkpointCache struct {
	memory []vrid.ModelID
	disk   []vrid.ModelID
}

func newCheckpointCache(server vrid.ServerID, models []vrconfig.Model, diskPercent int) *checkpointCache {
	c := &checkpointCache{}
	for i := range models {
		if len(c.disk) == maxDiskCopies {
			break
		}
		if int(xxhash.Sum64String(string(server)+"\x00"+string(models[i].ID))%100) < diskPercent {
			c.disk = append(c.disk, models[i].ID)
		}
	}
	return c
}

func (c *checkpointCache) report() vrengine.CacheReport {
	return vrengine.CacheReport{Memory: slices.Clone(c.memory), Disk: slices.Clone(c.disk)}
}

// add adds a loaded model to the copies in memory. The least recently used copy moves
// from memory to disk, and the least recently used one on disk is evicted.
func (c *checkpointCache) add(model vrid.ModelID) {
	moveToEnd := func(list []vrid.ModelID, id vrid.ModelID) []vrid.ModelID {
		return append(slices.DeleteFunc(list, func(held vrid.ModelID) bool { return held == id }), id)
	}
	c.memory = moveToEnd(c.memory, model)
	if len(c.memory) <= maxMemoryCopies {
		return
	}
	c.disk = moveToEnd(c.disk, c.memory[0])
	c.memory = c.memory[1:]
	if len(c.disk) > maxDiskCopies {
		c.disk = c.disk[1:]
	}
}

// loadFromNearestCopy loads the weights from the nearest copy: memory, disk or the weight
// store.
func (e *Engine) loadFromNearestCopy(order vrengine.Order, held *ModelState) {
	loadTime := 2 * time.Second
	for i := range e.world.Options.Fleet.Models {
		if model := &e.world.Options.Fleet.Models[i]; model.ID == order.Model {
			loadTime = model.LoadTime.Std()
		}
	}
	stillWanted := func() bool { return e.Models[order.Model] == held }
	done := func() {
		if stillWanted() {
			if e.world.Options.Pace.DiskPercent > 0 {
				e.checkpoints.add(order.Model)
			}
			held.markLoaded()
		}
	}
	switch {
	case slices.Contains(e.checkpoints.memory, order.Model):
		e.world.After(time.Duration(float64(loadTime)*memoryLoadFraction), done)
	case slices.Contains(e.checkpoints.disk, order.Model):
		e.world.After(time.Duration(float64(loadTime)*diskLoadFraction), done)
	default:
		e.world.Weights.loadShared(loadTime, done)
	}
}

// sharedLoad is a load in flight at the weight store. remaining is the time that it still
// takes at full speed.
type sharedLoad struct {
	remaining time.Duration
	done      func()
}

// loadShared starts a load immediately. With more loads in flight than slots, all of them
// slow down in proportion.
func (s *WeightStore) loadShared(loadTime time.Duration, done func()) {
	s.advance()
	s.sharedLoads = append(s.sharedLoads, &sharedLoad{remaining: loadTime, done: done})
	s.Loads++
	s.MaxInFlight = max(s.MaxInFlight, len(s.sharedLoads))
	s.scheduleCompletion()
}

// SetSlowdown changes the speed of all shared loads, those in flight included.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.advance()
	s.Slowdown = factor
	s.scheduleCompletion()
}

// currentSlowdown returns the factor by which the shared loads currently take longer.
func (s *WeightStore) currentSlowdown() float64 {
	return max(1, float64(len(s.sharedLoads))/float64(s.slots)) * s.Slowdown
}

// advance subtracts the progress since the last call from the remaining time of the shared
// loads.
func (s *WeightStore) advance() {
	now := s.world.Now()
	progress := time.Duration(float64(now.Sub(s.advancedAt)) / s.currentSlowdown())
	for _, load := range s.sharedLoads {
		load.remaining -= progress
	}
	s.advancedAt = now
}

// scheduleCompletion sets a timer for the next shared load to complete and invalidates
// earlier timers.
func (s *WeightStore) scheduleCompletion() {
	s.scheduleVersion++
	version := s.scheduleVersion
	if len(s.sharedLoads) == 0 {
		return
	}
	shortest := s.sharedLoads[0].remaining
	for _, load := range s.sharedLoads {
		shortest = min(shortest, load.remaining)
	}
	s.world.After(time.Duration(float64(shortest)*s.currentSlowdown())+time.Microsecond, func() {
		if s.scheduleVersion == version {
			s.completeLoads()
		}
	})
}

// completeLoads removes the shared loads that have no remaining time and calls their done.
func (s *WeightStore) completeLoads() {
	s.advance()
	var ended []*sharedLoad
	s.sharedLoads = slices.DeleteFunc(s.sharedLoads, func(load *sharedLoad) bool {
		if load.remaining <= 0 {
			ended = append(ended, load)
		}
		return load.remaining <= 0
	})
	s.scheduleCompletion()
	for _, load := range ended {
		load.done()
	}
}
