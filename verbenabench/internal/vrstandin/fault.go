package vrstandin

import (
	"fmt"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Faults of the platform, of one zone's calls to it, and of the weight store.
const (
	FaultPlatformOutage FaultKind = "platformOutage"
	FaultPlatformSlow   FaultKind = "platformSlow"
	// FaultPlatformLoseAnswers applies Count writes under Prefix and closes their
	// connections without a response.
	FaultPlatformLoseAnswers FaultKind = "platformLoseAnswers"
	FaultPlatformRateLimit   FaultKind = "platformRateLimit"
	FaultZoneCut             FaultKind = "zoneCut"
	FaultWeightsSlow         FaultKind = "weightsSlow"
)

// Faults of language servers.
const (
	// FaultEngineDelay delays the first token of Count answers by Delay.
	FaultEngineDelay FaultKind = "engineDelay"
	// FaultEngineCross inserts lines of other requests and duplicate lines into Count
	// answers.
	FaultEngineCross FaultKind = "engineCross"
	// FaultEngineStop makes the engine accept connections without responding.
	FaultEngineStop    FaultKind = "engineStop"
	FaultEngineRestart FaultKind = "engineRestart"
	// FaultServerLeave makes a server of any kind report that it is leaving.
	FaultServerLeave FaultKind = "serverLeave"
	// FaultServerGone stops the server: its connections break and its port closes.
	FaultServerGone FaultKind = "serverGone"
	// FaultHoldOrders holds the next Count orders of kind Order (any kind if empty)
	// for later delivery and breaks their connections.
	FaultHoldOrders FaultKind = "holdOrders"
	// FaultReleaseOrders delivers the held orders.
	FaultReleaseOrders FaultKind = "releaseOrders"
	FaultIgnoreFencing FaultKind = "ignoreFencing"
	FaultHonorFencing  FaultKind = "honorFencing"
)

// Faults of application servers.
const (
	// FaultAppRunThenClose runs Count calls and closes their connections without a
	// response.
	FaultAppRunThenClose FaultKind = "appRunThenClose"
	// FaultAppRefuse responds to Count calls with 503 without running them.
	FaultAppRefuse FaultKind = "appRefuse"
)

// Changes to the list of VMs.
const (
	FaultVMAdd     FaultKind = "vmAdd"
	FaultVMLeaving FaultKind = "vmLeaving"
	FaultVMRemove  FaultKind = "vmRemove"
)

// FaultClear ends all ongoing faults: outages, cuts, delays, limits and stops.
const FaultClear FaultKind = "clear"

// Fault is the body of POST /control/fault.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	Server vrid.ServerID `json:"server,omitempty"`
	Zone   vrid.ZoneID   `json:"zone,omitempty"`
	// VM is the complete entry for vmAdd. Other changes to the list need only its id.
	VM vrplatform.VM `json:"vm,omitzero"`
	// For is the duration of the fault; zero means until it is cleared.
	For vrid.Duration `json:"for,omitempty"`
	// Delay is added to each call or answer.
	Delay vrid.Duration `json:"delay,omitempty"`
	// Count is the number of affected answers or orders; zero means one.
	Count int `json:"count,omitempty"`
	// Factor is the slowdown factor of the weight store.
	Factor float64 `json:"factor,omitempty"`
	// Rate is the platform's rate limit in calls per second.
	Rate   float64            `json:"rate,omitempty"`
	Prefix string             `json:"prefix,omitempty"`
	Order  vrengine.OrderKind `json:"order,omitempty"`
}

// FaultError reports why a fault can't be applied.
type FaultError struct {
	Kind    FaultKind
	Problem string
}

func (e *FaultError) Error() string { return fmt.Sprintf("fault %s: %s", e.Kind, e.Problem) }

// hits returns the number of calls or orders that the fault affects, at least one.
func (f Fault) hits() int { return max(f.Count, 1) }

// window is a condition that holds until a deadline, or until it is stopped.
type window struct {
	mu      sync.Mutex
	started bool
	until   time.Time
}

// start activates the window for a duration; zero means until stop.
func (w *window) start(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
	w.until = time.Time{}
	if duration > 0 {
		w.until = time.Now().Add(duration)
	}
}

func (w *window) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = false
}

func (w *window) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started && !w.until.IsZero() && !time.Now().Before(w.until) {
		w.started = false
	}
	return w.started
}

// faultCounter counts how many more calls a fault affects.
type faultCounter struct {
	mu        sync.Mutex
	remaining int
}

func (c *faultCounter) set(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining = count
}

// take reports whether the fault affects this call, and if so counts it.
func (c *faultCounter) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remaining <= 0 {
		return false
	}
	c.remaining--
	return true
}
