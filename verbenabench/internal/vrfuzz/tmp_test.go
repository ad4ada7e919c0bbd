//go:build vrfault

package vrfuzz

import (
	"fmt"
	"testing"
	"time"

	"verbenaroute.example/verbenacore/vrfault"
)

func TestPlantTmp(t *testing.T) {
	for f := vrfault.SendBeforeDurable; f <= vrfault.AckWithOrders; f++ {
		vrfault.Set(f)
		s := time.Now()
		sum := Campaign(Options{Steps: 40000, Seed: 1, Workers: 4})
		if sum.Failure == nil {
			fmt.Println("MISSED", vrfault.Names[f], sum.Actions, time.Since(s))
			continue
		}
		fmt.Println(vrfault.Names[f], sum.Actions, time.Since(s), "seed", sum.Failure.Seed, sum.Failure.Result.Violation)
	}
	vrfault.Set(0)
}
