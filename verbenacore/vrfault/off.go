//go:build !vrfault

package vrfault

// On reports whether a planted fault is active; never in this build.
func On(Fault) bool { return false }
