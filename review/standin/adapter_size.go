package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["adapter-size"] = adapterSize }

// adapterSize lets the demand move to a model that fills the memory of a server, and then asks for an
// adapter that is larger than the one that has to make way. The rule LIMIT is broken if a server is ordered
// to load more than its memory holds.
func adapterSize(dir string, trouble bool) bool {
	const load, disk = 6 * time.Second, 760 * time.Millisecond
	const small, large, filler = "daka510000", "rada7437b5", "nyti185f3"
	sizes := []modelSize{
		{small, 65100, 12, load, disk},
		{large, 72700, 66, load, disk},
		{filler, 62150, 40, load, disk},
		{"xada684e3e", 72700, 66, load, disk},
		{"puvo87bda8", 60000, 40, load, disk},
	}
	s := newStore()
	s.put("config", "main", configuration(7, sizes))
	engines := []*engine{
		startEngine(s, "i-7f3a91c0", "fukuoka-a", sizes, []string{small, large}, filler),
		startEngine(s, "i-7f3a91c1", "kumamoto-a", sizes, []string{small, "xada684e3e", "puvo87bda8"}),
		startEngine(s, "i-7f3a91c2", "kagoshima-a", sizes, []string{small, "xada684e3e", "puvo87bda8"}),
	}
	g := startGateway(dir, "edge-fukuoka-a-1", "fukuoka-a", s)
	time.Sleep(6 * time.Second)
	number := 0
	request := func(model string) streamResult {
		number++
		return ask(context.Background(), g, fmt.Sprintf("%016x", 0x3000+number), model, 25, fmt.Sprintf("5c1e07a2:119,%x:400", 0x9000+number))
	}
	if !request(small + "/a1").complete {
		unable("the first request was not served")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		record("the demand moves to %s", filler)
		for range 3 {
			if !request(filler).complete {
				unable("the model of the moved demand was not served")
			}
		}
		time.Sleep(2 * time.Second)
	}
	for range 3 {
		request(large + "/a1")
	}
	broken := 0
	for _, e := range engines {
		broken += len(e.limitBroken())
	}
	record("%d orders were over a server's limit", broken)
	return broken > 0
}
