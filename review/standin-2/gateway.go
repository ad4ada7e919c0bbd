package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gateway is one process of the project, started as the deploy file says.
type gateway struct {
	name, callers, readiness string
	settings                 string
	process                  *exec.Cmd
}

// machines counts the machines of the deployment.
var machines atomic.Int64

// newMachine returns the address of a new machine. Outgoing connections have the address 127.0.0.1, so that they
// don't take the ports of others, and each process of the stand-ins has addresses of its own, so that several cases can
// run at once.
func newMachine() string {
	const blocks, perBlock = 250, 250
	n := int(machines.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%blocks, n/perBlock, n%perBlock+1)
}

// freeAddress returns an address of a machine with a port that is free.
func freeAddress(machine string) string {
	listener, err := net.Listen("tcp", machine+":0")
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newGateway writes the settings of a gateway, as the template would be filled in for a small deployment.
func newGateway(folder, name, zone, storeAddress string) *gateway {
	machine := newMachine()
	g := &gateway{name: name, callers: freeAddress(machine), readiness: freeAddress(machine), settings: filepath.Join(folder, name+".json")}
	settings := map[string]any{
		"daemon": name, "zone": zone, "regions": map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"},
		"callers": g.callers, "readiness": g.readiness, "peers": freeAddress(machine), "metrics": freeAddress(machine),
		"store": storeAddress, "firstStart": true, "cpu": 0.4, "memory": 284000000,
		"bounds": map[string]any{
			"lease": "3000ms", "contact": "3000ms", "drain": "2500ms", "grace": "8s", "retryRatio": 0.2, "retrySlack": 58,
			"retryWindow": "10s", "ceilingFactor": 1.1, "ceilingWindow": "5s", "catalogApply": "2500ms",
		},
	}
	data, err := json.MarshalIndent(settings, "", " ")
	check(err)
	check(os.WriteFile(g.settings, data, 0o600))
	return g
}

func (g *gateway) start(folder string) {
	log, err := os.Create(filepath.Join(folder, g.name+".log"))
	check(err)
	g.process = exec.Command("target/verbenaroute", "gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAROUTE_NODE_FILE=" + g.settings}
	g.process.Stdout, g.process.Stderr = log, log
	check(g.process.Start())
	started.Store(g, true)
}

// started holds the gateways that were started and have not ended.
var started sync.Map

// killStarted kills all gateways that were started.
func killStarted() {
	started.Range(func(key, _ any) bool {
		_ = key.(*gateway).process.Process.Kill()
		return true
	})
}

// waitReady waits until a gateway says that it is ready.
func (g *gateway) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + g.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

func (g *gateway) signal(s syscall.Signal) {
	if g.process != nil && g.process.Process != nil {
		_ = g.process.Process.Signal(s)
	}
}

// end ends the process, also a stopped one.
func (g *gateway) end() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	_ = g.process.Process.Kill()
	_ = g.process.Wait()
	started.Delete(g)
}

// zones are the availability zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// startGateways starts a number of gateways, in turn in each zone, and waits until they are ready.
func startGateways(folder, storeAddress string, count int) []*gateway {
	var gateways []*gateway
	for i := range count {
		gateways = append(gateways, newGateway(folder, fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], storeAddress))
	}
	for _, g := range gateways {
		g.start(folder)
	}
	for _, g := range gateways {
		if err := g.waitReady(15 * time.Second); err != nil {
			endGateways(gateways)
			check(err)
		}
	}
	return gateways
}

func endGateways(gateways []*gateway) {
	for _, g := range gateways {
		g.end()
	}
}
