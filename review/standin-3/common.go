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
	"syscall"
	"time"
)

const (
	zone = "fukuoka-a"
	host = "ficu95.example"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// gateway is one process of the gateway, started with the command of the deploy file.
type gateway struct {
	name, callers, readiness string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

var (
	running   []*gateway
	runningMu sync.Mutex
)

// startGateway writes the settings as the template of the deploy file has them, and starts the process.
func startGateway(dir, name, storeAddress string, rec *record) *gateway {
	g := &gateway{name: name, callers: freeAddress(), readiness: freeAddress(), done: make(chan struct{})}
	settings := map[string]any{
		"daemon": name, "zone": zone, "regions": map[string]string{zone: "fukuoka"}, "callers": g.callers, "readiness": g.readiness,
		"peers": freeAddress(), "metrics": freeAddress(), "store": storeAddress, "firstStart": true, "memory": 284000000,
		"bounds": map[string]any{
			"lease": "3000ms", "contact": "3000ms", "drain": "2500ms", "grace": "8s", "retryRatio": 0.2, "retrySlack": 58,
			"retryWindow": "10s", "ceilingFactor": 1.1, "ceilingWindow": "5s",
		},
	}
	data, _ := json.MarshalIndent(settings, "", "  ")
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		cannotRun("%v", err)
	}
	g.cmd = exec.Command("target/verbenaroute", "gateway")
	g.cmd.Env = append(os.Environ(), "VERBENAROUTE_NODE_FILE="+path, "VERBENAROUTE_CPU=0.4", "VERBENAROUTE_CATALOG_APPLY=2500ms",
		"VERBENAROUTE_REVOCATION=", "VERBENAROUTE_QUOTA_WINDOW=", "VERBENAROUTE_QUOTA_OVERRUN=", "VERBENAROUTE_QUOTA_SLACK=")
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		cannotRun("start of the gateway: %v", err)
	}
	runningMu.Lock()
	running = append(running, g)
	runningMu.Unlock()
	go func() { _ = g.cmd.Wait(); close(g.done) }()
	rec.note("gateway %s starts, pid %d", name, g.cmd.Process.Pid)
	return g
}

// stopAll kills the gateways that this process started.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, g := range running {
		select {
		case <-g.done:
		default:
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
}

// waitReady waits until a gateway is ready, as the balancer sees it.
func (g *gateway) waitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.readiness + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cannotRun("%s was not ready in %v", g.name, limit)
}

func serveStore(s *store) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 0, "service": service, "max_attempts": attempts, "resumable": resumable, "gap_target_ms": 250,
	}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}
}

func main() {
	if len(os.Args) < 4 {
		cannotRun("usage: standin3 CASE RECORD FOLDER")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord(os.Args[2])
	cases := map[string]func(dir string, trouble bool, rec *record) bool{
		"late-order": lateOrder,
	}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no case %q", os.Args[1])
	}
	broken := run(os.Args[3], trouble, rec)
	stopAll()
	if broken {
		rec.note("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.note("RESULT: the rule held")
	fmt.Println("the rule held")
}
