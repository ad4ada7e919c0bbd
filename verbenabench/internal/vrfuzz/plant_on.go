//go:build vrfault

package vrfuzz

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrfault"
)

// enableFault enables the planted fault with the given name, or none if the name is empty.
func enableFault(name string) error {
	if name == "" {
		vrfault.Set(vrfault.None)
		return nil
	}
	for fault, faultName := range vrfault.Names {
		if faultName == name {
			vrfault.Set(fault)
			return nil
		}
	}
	return fmt.Errorf("unknown planted fault %q", name)
}
