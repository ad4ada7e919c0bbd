package vrgateworld

import (
	"slices"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// adapterName identifies an adapter among those of all models.
type adapterName struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// adapterOrders are the accepted orders about adapters that are not done. They keep the server from no other order.
type adapterOrders struct {
	// pending are the adapters that are being loaded.
	pending []adapterName
	// unloading are the loaded adapters that are dropped once their requests have ended.
	unloading []adapterName
}

func (o *adapterOrders) forgetModel(model vrid.ModelID) {
	isOf := func(a adapterName) bool { return a.model == model }
	o.pending, o.unloading = slices.DeleteFunc(o.pending, isOf), slices.DeleteFunc(o.unloading, isOf)
}

// applyAdapterOrder executes an order about an adapter of a loaded model.
func (s *Server) applyAdapterOrder(order vrevent.PlacementOrder, loaded *vrfleet.LoadedModel) vrevent.OrderOutcome {
	if loaded == nil {
		return vrevent.OrderRejected
	}
	name := adapterName{order.Model, order.Adapter}
	holds := slices.Contains(loaded.Adapters, order.Adapter) || slices.Contains(s.adapters.pending, name)
	isUnloading := slices.Contains(s.adapters.unloading, name)
	switch {
	case order.Kind == vrevent.OrderLoad && isUnloading:
		// The unload has to be done first.
		return vrevent.OrderConflict
	case (order.Kind == vrevent.OrderLoad) == holds && !isUnloading:
		return vrevent.OrderAlreadyApplied
	case isUnloading:
		s.acceptAdapterOrder(order)
		return vrevent.OrderAlreadyApplied
	case order.Kind == vrevent.OrderUnload && s.usesAdapter(name):
		s.adapters.unloading = append(s.adapters.unloading, name)
		s.acceptAdapterOrder(order)
		return vrevent.OrderAccepted
	case order.Kind == vrevent.OrderUnload:
		s.dropAdapter(name)
		s.acceptAdapterOrder(order)
		return vrevent.OrderAlreadyApplied
	}
	s.adapters.pending = append(s.adapters.pending, name)
	s.acceptAdapterOrder(order)
	incarnation := s.Born
	s.world.After(adapterChangeTime, func() {
		if s.Born == incarnation && s.Alive && slices.Contains(s.adapters.pending, name) {
			s.adapters.pending = slices.DeleteFunc(s.adapters.pending, func(a adapterName) bool { return a == name })
			if loaded := s.findModel(name.model); loaded != nil {
				loaded.Adapters = append(loaded.Adapters, name.adapter)
			}
			s.updateState()
		}
	})
	return vrevent.OrderAccepted
}

func (s *Server) acceptAdapterOrder(order vrevent.PlacementOrder) {
	s.orders++
	s.world.Options.Observer.Accepted(s, order, false)
	s.updateState()
}

func (s *Server) usesAdapter(name adapterName) bool {
	return slices.ContainsFunc(s.running, func(a *Attempt) bool {
		return a.Call.Model == name.model && a.Call.Adapter == name.adapter
	})
}

// isUnloading reports whether the adapter of a call is to be dropped once its requests have ended.
func (s *Server) isUnloading(c *Call) bool {
	return slices.Contains(s.adapters.unloading, adapterName{c.Model, c.Adapter})
}

func (s *Server) dropAdapter(name adapterName) {
	if loaded := s.findModel(name.model); loaded != nil {
		loaded.Adapters = slices.DeleteFunc(loaded.Adapters, func(a vrid.AdapterID) bool { return a == name.adapter })
	}
	isName := func(a adapterName) bool { return a == name }
	s.adapters.pending, s.adapters.unloading = slices.DeleteFunc(s.adapters.pending, isName), slices.DeleteFunc(s.adapters.unloading, isName)
}

// finishUnloads drops the adapters whose unload has waited for their requests.
func (s *Server) finishUnloads() {
	for _, name := range slices.Clone(s.adapters.unloading) {
		if !s.usesAdapter(name) {
			s.dropAdapter(name)
			s.updateState()
		}
	}
}
