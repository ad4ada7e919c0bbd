//go:build !vrfault

package vrfuzz

import "errors"

// plant refuses: the normal build has no planted faults.
func plant(fault string) error {
	if fault == "" {
		return nil
	}
	return errors.New("planted faults need a build with -tags vrfault")
}
