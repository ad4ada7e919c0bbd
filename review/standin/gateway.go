package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// gateway is one daemon, started with the command and the template of the deploy file.
type gateway struct {
	name, callers, readiness, settings string
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// startGateway renders the settings as the platform does, starts the daemon and waits until it is ready.
func startGateway(dir, name, zone string, s *store) *gateway {
	return startLinkedGateway(dir, name, zone, s.address)
}

// startLinkedGateway starts a daemon that reaches the store at the given address.
func startLinkedGateway(dir, name, zone, storeAddress string) *gateway {
	for range startAttempts {
		if g := tryGateway(dir, name, zone, storeAddress); g != nil {
			return g
		}
	}
	unable("%s did not become ready", name)
	return nil
}

// startAttempts is how often a daemon is started with other ports, as another program may take one of them
// between its choice and its use.
const startAttempts = 5

// tryGateway starts a daemon with settings as the platform renders them. It returns nil if the process ended
// before it was ready.
func tryGateway(dir, name, zone, storeAddress string) *gateway {
	ports := freePorts(4)
	g := &gateway{
		name: name, callers: "127.0.0.1:" + ports[0], readiness: "127.0.0.1:" + ports[1],
		settings: filepath.Join(dir, name+".conf"), exited: make(chan struct{}),
	}
	values := map[string]any{
		"node_name": name, "zone": zone, "ip": "127.0.0.1", "bootstrap": true,
		"zones":                   map[string]string{"fukuoka-a": "fukuoka", "kumamoto-a": "kumamoto", "kagoshima-a": "kagoshima"},
		"listen.frontend":         g.callers,
		"listen.readiness":        g.readiness,
		"internal_port_range.0":   ports[2],
		"internal_port_range.1":   ports[3],
		"platform.address":        storeAddress,
		"limits.memory_mb":        284,
		"bounds.lease_ms":         3000,
		"bounds.contact_ms":       3000,
		"bounds.drain_ms":         2500,
		"bounds.grace_s":          8,
		"bounds.budget_window_s":  10,
		"bounds.ceiling_factor":   1.1,
		"bounds.ceiling_window_s": 5,

		"bounds.retry_budget_ratio": 0.2,
		"bounds.retry_budget_slack": 58,
	}
	template, err := os.ReadFile("deploy/gateway.json.template")
	if err != nil {
		unable("cannot read the template: %v", err)
	}
	rendered := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		value, ok := values[match[1]]
		if !ok {
			unable("the template has an unknown field %q", match[1])
		}
		if match[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
	if err := os.WriteFile(g.settings, []byte(rendered), 0o600); err != nil {
		unable("cannot write the settings: %v", err)
	}
	if !g.start(dir) {
		record("%s ended before it was ready", name)
		return nil
	}
	return g
}

// start starts the process with the command of the deploy file. It reports whether it became ready.
func (g *gateway) start(dir string) bool {
	words := strings.Fields(runCommand())
	log, err := os.OpenFile(filepath.Join(dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("cannot open the log: %v", err)
	}
	g.cmd = exec.Command(words[0], words[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C.UTF-8", "VERBENAROUTE_NODE_FILE=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		unable("cannot start %s: %v", words[0], err)
	}
	g.exited = make(chan struct{})
	cmd, exited := g.cmd, g.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	onExit(func() { _ = cmd.Process.Kill(); <-exited })
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.ready() {
			record("%s is ready, process %d", g.name, g.cmd.Process.Pid)
			return true
		}
		select {
		case <-exited:
			return false
		default:
		}
	}
	return false
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) signal(s syscall.Signal) {
	record("%s gets %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// runCommand returns the command of the deploy file's only role.
func runCommand() string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		unable("cannot read the deploy file: %v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			if text, err := strconv.Unquote(value); err == nil {
				return text
			}
		}
	}
	unable("the deploy file names no command")
	return ""
}

// freePorts returns ports that are free at this moment.
func freePorts(count int) []string {
	var listeners []net.Listener
	var ports []string
	for range count {
		l := listen()
		listeners = append(listeners, l)
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return ports
}
