package vrresidence

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// capacity tells what a server of a service has room for.
type capacity struct {
	now    time.Time
	engine *vrcatalog.Engine
}

// freeMemory returns the memory of a server that is neither used nor reserved.
func (c capacity) freeMemory(server *vrfleet.Server, l *ledger) vrid.Bytes {
	free := c.engine.Memory - c.reservedMemory(server)
	for i := range l.holds {
		free -= c.sizeOf(&l.holds[i])
	}
	for i := range l.unloading {
		free -= c.adapterSize(l.unloading[i].model)
	}
	return free
}

// freeAdapterSlots returns the number of adapter slots of a server that are neither used nor reserved.
func (c capacity) freeAdapterSlots(server *vrfleet.Server, l *ledger) int {
	return c.engine.AdapterSlots - c.reservedAdapterSlots(server) - l.countAdapters()
}

// reservedMemory is the memory that is kept free while an order to an earlier run of the
// server may still be carried out. A restarted server counts its orders anew, so the count
// that the old order expects may occur again.
func (c capacity) reservedMemory(server *vrfleet.Server) vrid.Bytes {
	recent := c.now.Sub(server.SeenAt) < maxOrderDelay
	if !recent || !server.Restarted {
		return 0
	}
	return c.largestModel()
}

// reservedAdapterSlots is the number of adapter slots that are kept free while an order to an
// earlier run of the server may still be carried out.
func (c capacity) reservedAdapterSlots(server *vrfleet.Server) int {
	if c.reservedMemory(server) > 0 {
		return 1
	}
	return 0
}

// sizeOf returns the memory that a loaded model and its adapters use. A model that is no longer
// declared counts as much as the largest declared one.
func (c capacity) sizeOf(holding *vrfleet.LoadedModel) vrid.Bytes {
	config := c.engine.Model(holding.Model)
	if config == nil {
		return c.largestModel() + vrid.Bytes(len(holding.Adapters))*c.largestAdapter()
	}
	return config.Weights + vrid.Bytes(len(holding.Adapters))*config.AdapterSize
}

// adapterSize returns the size of an adapter of a model, or that of the largest declared one if the model is no
// longer declared.
func (c capacity) adapterSize(model vrid.ModelID) vrid.Bytes {
	if config := c.engine.Model(model); config != nil {
		return config.AdapterSize
	}
	return c.largestAdapter()
}

// largestModel returns the size of the largest declared model.
func (c capacity) largestModel() vrid.Bytes {
	var largest vrid.Bytes
	for i := range c.engine.Models {
		largest = max(largest, c.engine.Models[i].Weights)
	}
	return largest
}

// largestAdapter returns the size of the largest declared adapter.
func (c capacity) largestAdapter() vrid.Bytes {
	var largest vrid.Bytes
	for i := range c.engine.Models {
		largest = max(largest, c.engine.Models[i].AdapterSize)
	}
	return largest
}

// fits reports whether a server has room for what an order loads. A model that is no longer declared does not
// fit, since its size is unknown.
func (c capacity) fits(server *vrfleet.Server, l *ledger, s step) bool {
	config := c.engine.Model(s.model)
	switch {
	case s.kind != vrevent.OrderLoad:
		return true
	case config == nil:
		return false
	case s.adapter == "":
		return c.freeMemory(server, l) >= config.Weights
	default:
		return c.freeAdapterSlots(server, l) > 0 && c.freeMemory(server, l) >= config.AdapterSize
	}
}
