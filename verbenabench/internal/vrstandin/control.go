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
//	GET  /control/journal      ?after=N; {"entries": […]}, those with numbers above N
//	GET  /control/counters     number of calls to the platform by kind
//	GET  /control/addresses    the addresses of all stand-ins
//	GET  /control/vms          the current list of VMs, without the propagation delay
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
	mux.HandleFunc("POST "+PathFault, func(rw http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !readJSON(rw, r, &fault) {
			return
		}
		if err := w.Apply(fault); err != nil {
			writeJSON(rw, http.StatusBadRequest, controlError{Error: err.Error()})
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathJournal, func(rw http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(zeroIfEmpty(r.URL.Query().Get("after")), 10, 64)
		if err != nil {
			writeJSON(rw, http.StatusBadRequest, controlError{Error: err.Error()})
			return
		}
		writeJSON(rw, http.StatusOK, JournalPage{Entries: w.Journal.After(after)})
	})
	mux.HandleFunc("GET "+PathCounters, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.Platform.Counters())
	})
	mux.HandleFunc("GET "+PathAddresses, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.Addresses)
	})
	mux.HandleFunc("GET "+PathVMs, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, vrplatform.VMList{VMs: w.Platform.currentVMs()})
	})
	return mux
}

// Apply injects a fault.
func (w *World) Apply(fault Fault) error {
	w.Journal.Add(Entry{Kind: JournalFault, Server: fault.Server, Zone: fault.Zone, Detail: string(fault.Kind)})
	switch fault.Kind {
	case FaultPlatformOutage, FaultPlatformSlow, FaultPlatformLoseAnswers, FaultPlatformRateLimit, FaultZoneCut:
		return w.Platform.applyFault(fault)
	case FaultVMAdd, FaultVMLeaving, FaultVMRemove:
		return w.applyVMFault(fault)
	case FaultWeightsSlow:
		w.weights.SetFactor(fault.Factor)
		return nil
	case FaultClear:
		w.clearFaults()
		return nil
	default:
		return w.applyServerFault(fault)
	}
}

func (w *World) clearFaults() {
	w.Platform.clearFaults()
	w.weights.SetFactor(1)
	for _, server := range w.engines {
		server.clearFaults()
	}
	for _, server := range w.apps {
		server.runThenClose.set(0)
		server.refuse.set(0)
	}
}

func (e *engine) clearFaults() {
	e.faults.stopped.stop()
	e.faults.delayHits.set(0)
	e.faults.crossHits.set(0)
	e.faults.holdHits.set(0)
}

func (w *World) applyServerFault(fault Fault) error {
	if server := w.apps[fault.Server]; server != nil {
		return w.applyAppFault(server, fault)
	}
	server := w.engines[fault.Server]
	if server == nil {
		return &FaultError{Kind: fault.Kind, Problem: "server " + string(fault.Server) + " does not exist"}
	}
	switch fault.Kind {
	case FaultEngineDelay:
		server.faults.mu.Lock()
		server.faults.delay = fault.Delay.Std()
		server.faults.mu.Unlock()
		server.faults.delayHits.set(fault.hits())
	case FaultEngineCross:
		server.faults.crossHits.set(fault.hits())
	case FaultEngineStop:
		server.faults.stopped.start(fault.For.Std())
	case FaultEngineRestart:
		server.restart()
	case FaultServerLeave:
		server.leave()
	case FaultServerGone:
		w.removeServer(fault.Server, server.stop)
	case FaultHoldOrders:
		server.faults.mu.Lock()
		server.faults.holdKind = fault.Order
		server.faults.mu.Unlock()
		server.faults.holdHits.set(fault.hits())
	case FaultReleaseOrders:
		server.releaseOrders()
	case FaultIgnoreFencing:
		server.faults.ignoreFencing.start(fault.For.Std())
	case FaultHonorFencing:
		server.faults.ignoreFencing.stop()
	default:
		return &FaultError{Kind: fault.Kind, Problem: "not supported by language servers"}
	}
	return nil
}

func (w *World) applyAppFault(server *appServer, fault Fault) error {
	switch fault.Kind {
	case FaultAppRunThenClose:
		server.runThenClose.set(fault.hits())
	case FaultAppRefuse:
		server.refuse.set(fault.hits())
	case FaultServerLeave:
		w.Journal.Add(Entry{Kind: JournalLeaving, Server: fault.Server, Zone: server.zone})
		return w.setVMState(vrid.VMID(fault.Server), vrplatform.VMLeaving)
	case FaultServerGone:
		w.removeServer(fault.Server, server.cancelProcess)
	default:
		return &FaultError{Kind: fault.Kind, Problem: "not supported by application servers"}
	}
	return nil
}

// removeServer stops a server abruptly, as when its VM is reclaimed.
func (w *World) removeServer(id vrid.ServerID, stop func()) {
	w.Journal.Add(Entry{Kind: JournalGone, Server: id})
	stop()
	w.breakConnections(id)
	w.removeVM(vrid.VMID(id))
}

func (w *World) applyVMFault(fault Fault) error {
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
		return w.setVMState(id, vrplatform.VMLeaving)
	default:
		w.removeVM(id)
	}
	return nil
}

func (w *World) setVMState(id vrid.VMID, state string) error {
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
