package vrstandin

import (
	"fmt"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// FaultKind names what goes wrong.
type FaultKind string

// Faults of the platform, of one zone's calls to it, and of the weight store.
const (
	FaultPlatformOutage FaultKind = "platformOutage"
	FaultPlatformSlow   FaultKind = "platformSlow"
	// FaultPlatformLoseAnswers lets Count writes under Prefix take effect and closes
	// their connections without an answer.
	FaultPlatformLoseAnswers FaultKind = "platformLoseAnswers"
	FaultPlatformRateLimit   FaultKind = "platformRateLimit"
	FaultZoneCut             FaultKind = "zoneCut"
	FaultWeightsSlow         FaultKind = "weightsSlow"
)

// Faults of language servers.
const (
	// FaultEngineDelay delays the first token of Count answers by Delay.
	FaultEngineDelay FaultKind = "engineDelay"
	// FaultEngineCross puts lines of other requests and repeated lines in Count answers.
	FaultEngineCross FaultKind = "engineCross"
	// FaultEngineStop makes the engine accept connections and answer nothing.
	FaultEngineStop    FaultKind = "engineStop"
	FaultEngineRestart FaultKind = "engineRestart"
	// FaultServerLeave lets a server of any kind report that it is leaving.
	FaultServerLeave FaultKind = "serverLeave"
	// FaultServerGone ends the server: its connections break and its port closes.
	FaultServerGone FaultKind = "serverGone"
	// FaultHoldOrders keeps back the next Count orders of kind Order (any if empty)
	// and breaks their connections.
	FaultHoldOrders FaultKind = "holdOrders"
	// FaultReleaseOrders delivers the orders that were held back.
	FaultReleaseOrders FaultKind = "releaseOrders"
	FaultIgnoreFencing FaultKind = "ignoreFencing"
	FaultHonorFencing  FaultKind = "honorFencing"
)

// Faults of application servers.
const (
	// FaultAppRunThenClose runs Count calls and closes their connections.
	FaultAppRunThenClose FaultKind = "appRunThenClose"
	// FaultAppRefuse answers Count calls with 503 and does not run them.
	FaultAppRefuse FaultKind = "appRefuse"
)

// Changes of the list of VMs.
const (
	FaultVMAdd     FaultKind = "vmAdd"
	FaultVMLeaving FaultKind = "vmLeaving"
	FaultVMRemove  FaultKind = "vmRemove"
)

// FaultClear ends every fault that lasts: outages, cuts, delays, limits and stops.
const FaultClear FaultKind = "clear"

// Fault is the body of POST /control/fault.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	Server vrid.ServerID `json:"server,omitempty"`
	Zone   vrid.ZoneID   `json:"zone,omitempty"`
	// VM is the whole line for vmAdd; the other changes of the list need its id only.
	VM vrplatform.VM `json:"vm,omitzero"`
	// For is how long the fault lasts; zero means until it is cleared.
	For vrid.Duration `json:"for,omitempty"`
	// Delay is added to each call or answer.
	Delay vrid.Duration `json:"delay,omitempty"`
	// Count is how many answers or orders are hit; zero means one.
	Count int `json:"count,omitempty"`
	// Factor is how much slower the weight store is.
	Factor float64 `json:"factor,omitempty"`
	// Rate is the platform's limit of calls a second.
	Rate   float64            `json:"rate,omitempty"`
	Prefix string             `json:"prefix,omitempty"`
	Order  vrengine.OrderKind `json:"order,omitempty"`
}

// FaultError says why a fault can't be applied.
type FaultError struct {
	Kind    FaultKind
	Problem string
}

func (e *FaultError) Error() string { return fmt.Sprintf("fault %s: %s", e.Kind, e.Problem) }

func (f Fault) count() int { return max(f.Count, 1) }

// window is a condition that lasts until a time, or until it is closed.
type window struct {
	mu    sync.Mutex
	open  bool
	until time.Time
}

// start opens the window; zero lasts until stop.
func (w *window) start(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = true
	w.until = time.Time{}
	if length > 0 {
		w.until = time.Now().Add(length)
	}
}

func (w *window) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = false
}

func (w *window) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open && !w.until.IsZero() && !time.Now().Before(w.until) {
		w.open = false
	}
	return w.open
}

// budget counts how many more calls a fault hits.
type budget struct {
	mu   sync.Mutex
	left int
}

func (b *budget) set(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = count
}

// take reports whether this call is hit.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 {
		return false
	}
	b.left--
	return true
}
