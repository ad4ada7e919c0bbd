//go:build vrfault

package vrfuzz

import (
	"fmt"

	"verbenaroute.example/verbenacore/vrfault"
)

// plant switches a planted fault on by its name.
func plant(name string) error {
	if name == "" {
		vrfault.Set(vrfault.None)
		return nil
	}
	for fault, known := range vrfault.Names {
		if known == name {
			vrfault.Set(fault)
			return nil
		}
	}
	return fmt.Errorf("planted fault %q is unknown", name)
}
