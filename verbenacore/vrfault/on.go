//go:build vrfault

package vrfault

import "sync/atomic"

var _active atomic.Uint32

// On reports whether an injected fault is active.
func On(fault Fault) bool { return _active.Load() == uint32(fault) }

// Set activates one fault and deactivates all others; None deactivates all.
func Set(fault Fault) { _active.Store(uint32(fault)) }
