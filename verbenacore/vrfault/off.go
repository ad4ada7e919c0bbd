//go:build !vrfault

package vrfault

// On reports whether an injected fault is active. Without the build tag vrfault none ever is.
func On(Fault) bool { return false }
