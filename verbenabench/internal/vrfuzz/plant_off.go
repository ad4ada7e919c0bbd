//go:build !vrfault

package vrfuzz

import "errors"

// enableFault returns an error for any fault: planted faults are only compiled in with the
// build tag vrfault.
func enableFault(fault string) error {
	if fault == "" {
		return nil
	}
	return errors.New("planted faults require a build with -tags vrfault")
}
