package vrstandin

import (
	"net/http"
	"strconv"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Paths of the control port.
//
//	POST /control/fault        a Fault; 204, or 400 with {"error": …}
//	GET  /control/journal      ?after=N; {"entries": […]} with higher numbers
//	GET  /control/counters     calls to the platform by kind
//	GET  /control/addresses    the addresses of every stand-in
//	GET  /control/vms          the list of VMs without its lag
const (
	PathFault     = "/control/fault"
	PathJournal   = "/control/journal"
	PathCounters  = "/control/counters"
	PathAddresses = "/control/addresses"
	PathVMs       = "/control/vms"
)

// JournalPage is the body of GET /control/journal.
type JournalPage struct {
	Entries []Entry `json:"entries"`
}

type controlError struct {
	Error string `json:"error"`
}

func (w *World) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFault, func(out http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !readJSON(out, r, &fault) {
			return
		}
		if err := w.Apply(fault); err != nil {
			writeJSON(out, http.StatusBadRequest, controlError{Error: err.Error()})
			return
		}
		out.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathJournal, func(out http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(orZero(r.URL.Query().Get("after")), 10, 64)
		if err != nil {
			writeJSON(out, http.StatusBadRequest, controlError{Error: err.Error()})
			return
		}
		writeJSON(out, http.StatusOK, JournalPage{Entries: w.Journal.After(after)})
	})
	mux.HandleFunc("GET "+PathCounters, func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, w.Platform.Counters())
	})
	mux.HandleFunc("GET "+PathAddresses, func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, w.Addresses)
	})
	mux.HandleFunc("GET "+PathVMs, func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, http.StatusOK, vrplatform.VMList{VMs: w.Platform.currentVMs()})
	})
	return mux
}

// Apply makes a fault happen.
func (w *World) Apply(fault Fault) error {
	w.Journal.Add(Entry{Kind: JournalFault, Server: fault.Server, Zone: fault.Zone, Detail: string(fault.Kind)})
	switch fault.Kind {
	case FaultPlatformOutage, FaultPlatformSlow, FaultPlatformLoseAnswers, FaultPlatformRateLimit, FaultZoneCut:
		return w.Platform.apply(fault)
	case FaultVMAdd, FaultVMLeaving, FaultVMRemove:
		return w.applyVM(fault)
	case FaultWeightsSlow:
		w.weights.SetFactor(fault.Factor)
		return nil
	case FaultClear:
		w.clear()
		return nil
	default:
		return w.applyServer(fault)
	}
}

func (w *World) clear() {
	w.Platform.clear()
	w.weights.SetFactor(1)
	for _, server := range w.engines {
		server.clear()
	}
	for _, server := range w.apps {
		server.runThenClose.set(0)
		server.refuse.set(0)
	}
}

func (e *engine) clear() {
	e.faults.stopped.stop()
	e.faults.delayed.set(0)
	e.faults.crossed.set(0)
	e.faults.hold.set(0)
}

func (w *World) applyServer(fault Fault) error {
	if server := w.apps[fault.Server]; server != nil {
		return w.applyApp(server, fault)
	}
	server := w.engines[fault.Server]
	if server == nil {
		return &FaultError{Kind: fault.Kind, Problem: "server " + string(fault.Server) + " is unknown"}
	}
	switch fault.Kind {
	case FaultEngineDelay:
		server.faults.mu.Lock()
		server.faults.delay = fault.Delay.Std()
		server.faults.mu.Unlock()
		server.faults.delayed.set(fault.count())
	case FaultEngineCross:
		server.faults.crossed.set(fault.count())
	case FaultEngineStop:
		server.faults.stopped.start(fault.For.Std())
	case FaultEngineRestart:
		server.restart()
	case FaultServerLeave:
		server.leave()
	case FaultServerGone:
		w.remove(fault.Server, server.stop)
	case FaultHoldOrders:
		server.faults.mu.Lock()
		server.faults.holdKind = fault.Order
		server.faults.mu.Unlock()
		server.faults.hold.set(fault.count())
	case FaultReleaseOrders:
		server.releaseOrders()
	case FaultIgnoreFencing:
		server.faults.ignoreFencing.start(fault.For.Std())
	case FaultHonorFencing:
		server.faults.ignoreFencing.stop()
	default:
		return &FaultError{Kind: fault.Kind, Problem: "is no fault of a language server"}
	}
	return nil
}

func (w *World) applyApp(server *appServer, fault Fault) error {
	switch fault.Kind {
	case FaultAppRunThenClose:
		server.runThenClose.set(fault.count())
	case FaultAppRefuse:
		server.refuse.set(fault.count())
	case FaultServerLeave:
		w.Journal.Add(Entry{Kind: JournalLeaving, Server: fault.Server, Zone: server.zone})
		return w.markVM(vrid.VMID(fault.Server), vrplatform.VMLeaving)
	case FaultServerGone:
		w.remove(fault.Server, server.end)
	default:
		return &FaultError{Kind: fault.Kind, Problem: "is no fault of an application server"}
	}
	return nil
}

// remove ends a server as a VM that is reclaimed.
func (w *World) remove(id vrid.ServerID, end func()) {
	w.Journal.Add(Entry{Kind: JournalGone, Server: id})
	end()
	w.breakConnections(id)
	w.removeVM(vrid.VMID(id))
}

func (w *World) applyVM(fault Fault) error {
	id := fault.VM.ID
	if id == "" {
		return &FaultError{Kind: fault.Kind, Problem: "vm.id is empty"}
	}
	switch fault.Kind {
	case FaultVMAdd:
		w.Platform.changeVMs(func(list []vrplatform.VM) []vrplatform.VM { return append(list, fault.VM) })
	case FaultVMLeaving:
		if w.engines[vrid.ServerID(id)] != nil || w.apps[vrid.ServerID(id)] != nil {
			w.Journal.Add(Entry{Kind: JournalLeaving, Server: vrid.ServerID(id)})
		}
		return w.markVM(id, vrplatform.VMLeaving)
	default:
		w.removeVM(id)
	}
	return nil
}

func (w *World) markVM(id vrid.VMID, state string) error {
	found := false
	w.Platform.changeVMs(func(list []vrplatform.VM) []vrplatform.VM {
		for i := range list {
			if list[i].ID == id {
				list[i].State = state
				found = true
			}
		}
		return list
	})
	if !found {
		return &FaultError{Kind: FaultVMLeaving, Problem: "VM " + string(id) + " is not in the list"}
	}
	return nil
}

func (w *World) removeVM(id vrid.VMID) {
	w.Platform.changeVMs(func(list []vrplatform.VM) []vrplatform.VM {
		kept := list[:0]
		for _, vm := range list {
			if vm.ID != id {
				kept = append(kept, vm)
			}
		}
		return kept
	})
}
