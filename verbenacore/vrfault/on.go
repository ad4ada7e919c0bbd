//go:build vrfault

package vrfault

import "sync/atomic"

var _active atomic.Uint32

// On reports whether a planted fault is active.
func On(fault Fault) bool { return _active.Load() == uint32(fault) }

// Set switches one fault on; None switches all off.
func Set(fault Fault) { _active.Store(uint32(fault)) }
