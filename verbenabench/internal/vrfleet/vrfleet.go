// Package vrfleet builds the daemon and runs a deployment's daemons as processes on
// loopback, beside the stand-ins in its own process.
package vrfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	_package      = "verbenaroute.example/verbenaroute"
	_pollInterval = 50 * time.Millisecond
	_callTimeout  = 2 * time.Second
	// _operatorTimeout is beyond the time of a daemon's longest query and the time after
	// which it calls a command undecided.
	_operatorTimeout = 40 * time.Second
	// _exitBound is beyond the shutdown grace of every written setting.
	_exitBound = 40 * time.Second
	_dirMode   = 0o700
)

// Build compiles the daemon into a directory and returns the program's path.
func Build(ctx context.Context, dir string, race bool) (string, error) {
	path := filepath.Join(dir, "verbenaroute")
	arguments := []string{"build", "-o", path}
	if race {
		arguments = append(arguments, "-race")
	}
	command := exec.CommandContext(ctx, "go", append(arguments, _package)...)
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, output)
	}
	return path, nil
}

// BuildTemporary compiles the daemon into a new temporary directory, which also takes
// settings and logs until remove is called.
func BuildTemporary(ctx context.Context, race bool) (program, dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "verbenabench-")
	if err != nil {
		return "", "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	program, err = Build(ctx, dir, race)
	if err != nil {
		remove()
		return "", "", nil, err
	}
	return program, dir, remove, nil
}

// Options is what a fleet is made of.
type Options struct {
	Deployment *vrdeploy.Deployment
	// Program is the path of the daemon.
	Program string
	// Dir takes settings and logs.
	Dir           string
	Speed         float64
	InsecurePeers bool
}

// Fleet is a deployment that runs.
type Fleet struct {
	World      *vrstandin.World
	Deployment *vrdeploy.Deployment
	Ports      map[vrid.DaemonID]vrdeploy.Ports

	options   Options
	settings  map[vrid.DaemonID]string
	processes map[vrid.DaemonID]*process
	client    *http.Client
	// operators may wait for the platform.
	operators *http.Client
}

// process is one run of a daemon.
type process struct {
	command *exec.Cmd
	log     *os.File
	// exited is closed when the process has ended; err holds how.
	exited chan struct{}
	err    error
	paused bool
}

// ProcessError says what went wrong with a daemon's process.
type ProcessError struct {
	Daemon  vrid.DaemonID
	Problem string
}

func (e *ProcessError) Error() string { return fmt.Sprintf("%s: %s", e.Daemon, e.Problem) }

// New starts the stand-ins and writes the settings; it starts no daemon.
func New(options Options) (*Fleet, error) {
	if err := os.MkdirAll(options.Dir, _dirMode); err != nil {
		return nil, err
	}
	ports, err := vrdeploy.ReservePorts(options.Deployment.Daemons)
	if err != nil {
		return nil, err
	}
	world, err := vrstandin.Start(vrstandin.Options{Deployment: options.Deployment, Ports: ports, Speed: options.Speed})
	if err != nil {
		return nil, err
	}
	settings, err := options.Deployment.WriteSettings(vrdeploy.SettingsOptions{
		Dir: options.Dir, Platforms: world.Addresses.Platforms, Ports: ports, InsecurePeers: options.InsecurePeers,
	})
	if err != nil {
		world.Close()
		return nil, err
	}
	return &Fleet{
		World:      world,
		Deployment: options.Deployment,
		Ports:      ports,
		options:    options,
		settings:   settings,
		processes:  make(map[vrid.DaemonID]*process),
		client:     &http.Client{Timeout: _callTimeout},
		operators:  &http.Client{Timeout: _operatorTimeout},
	}, nil
}

// Callers returns the addresses that callers use.
func (f *Fleet) Callers() map[vrid.DaemonID]string {
	addresses := make(map[vrid.DaemonID]string, len(f.Ports))
	for id, ports := range f.Ports {
		addresses[id] = ports.Callers
	}
	return addresses
}

// Start starts a daemon that does not run.
func (f *Fleet) Start(daemon vrid.DaemonID) error {
	settings, ok := f.settings[daemon]
	if !ok {
		return &ProcessError{Daemon: daemon, Problem: "is not in the deployment"}
	}
	if f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "runs already"}
	}
	path := filepath.Join(f.options.Dir, string(daemon)+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(f.options.Program, "serve", "--config", settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", daemon, err)
	}
	started := &process{command: command, log: log, exited: make(chan struct{})}
	f.processes[daemon] = started
	go started.wait()
	return nil
}

func (p *process) wait() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// Running reports whether the daemon's process is there.
func (f *Fleet) Running(daemon vrid.DaemonID) bool {
	held := f.processes[daemon]
	if held == nil {
		return false
	}
	select {
	case <-held.exited:
		return false
	default:
		return true
	}
}

// Working reports whether the daemon runs and is not paused.
func (f *Fleet) Working(daemon vrid.DaemonID) bool {
	return f.Running(daemon) && !f.processes[daemon].paused
}

// StartAll starts every daemon and waits until each one is ready.
func (f *Fleet) StartAll(ctx context.Context, bound time.Duration) error {
	for _, daemon := range f.Deployment.Daemons {
		if err := f.Start(daemon.ID); err != nil {
			return err
		}
	}
	for _, daemon := range f.Deployment.Daemons {
		if err := f.WaitReady(ctx, daemon.ID, bound); err != nil {
			return err
		}
	}
	return nil
}

// Ready asks a daemon's operator port as the balancer does.
func (f *Fleet) Ready(daemon vrid.DaemonID) bool {
	response, err := f.client.Get("http://" + f.Ports[daemon].Operators + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the daemon is ready.
func (f *Fleet) WaitReady(ctx context.Context, daemon vrid.DaemonID, bound time.Duration) error {
	err := Until(ctx, bound, func() bool { return !f.Running(daemon) || f.Ready(daemon) })
	if !f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "ended before it was ready, see its log: " + f.logTail(daemon)}
	}
	if err != nil {
		return &ProcessError{Daemon: daemon, Problem: "is not ready in time: " + f.logTail(daemon)}
	}
	return nil
}

func (f *Fleet) logTail(daemon vrid.DaemonID) string {
	const tail = 600
	data, err := os.ReadFile(filepath.Join(f.options.Dir, string(daemon)+".log"))
	if err != nil {
		return err.Error()
	}
	if len(data) > tail {
		data = data[len(data)-tail:]
	}
	return string(data)
}

// signal sends a signal to the process that this fleet started.
func (f *Fleet) signal(daemon vrid.DaemonID, signal os.Signal) error {
	if !f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "does not run"}
	}
	return f.processes[daemon].command.Process.Signal(signal)
}

// Kill ends a daemon without a warning.
func (f *Fleet) Kill(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.processes[daemon].exited
	return nil
}

// Pause stops a daemon's process as a paused VM.
func (f *Fleet) Pause(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGSTOP); err != nil {
		return err
	}
	f.processes[daemon].paused = true
	return nil
}

// Resume continues a paused daemon.
func (f *Fleet) Resume(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGCONT); err != nil {
		return err
	}
	f.processes[daemon].paused = false
	return nil
}

// Terminate asks a daemon to shut down.
func (f *Fleet) Terminate(daemon vrid.DaemonID) error { return f.signal(daemon, syscall.SIGTERM) }

// WaitExit waits until the daemon's process has ended and returns an error unless its
// exit status is 0.
func (f *Fleet) WaitExit(daemon vrid.DaemonID) error {
	held := f.processes[daemon]
	if held == nil {
		return &ProcessError{Daemon: daemon, Problem: "was never started"}
	}
	timer := time.NewTimer(_exitBound)
	defer timer.Stop()
	select {
	case <-held.exited:
	case <-timer.C:
		return &ProcessError{Daemon: daemon, Problem: "did not end after SIGTERM"}
	}
	var exit *exec.ExitError
	if errors.As(held.err, &exit) {
		return &ProcessError{Daemon: daemon, Problem: exit.String() + ": " + f.logTail(daemon)}
	}
	return held.err
}

// StopAll asks every running daemon to shut down and waits for all of them.
func (f *Fleet) StopAll() error {
	var running []vrid.DaemonID
	var failures []error
	for _, daemon := range f.Deployment.Daemons {
		if !f.Running(daemon.ID) {
			continue
		}
		running = append(running, daemon.ID)
		failures = append(failures, f.Terminate(daemon.ID))
	}
	for _, daemon := range running {
		failures = append(failures, f.WaitExit(daemon))
	}
	return errors.Join(failures...)
}

// Close ends what still runs, by the ids of the processes that this fleet started.
func (f *Fleet) Close() {
	for daemon := range f.processes {
		if f.Running(daemon) {
			_ = f.Kill(daemon)
		}
	}
	f.client.CloseIdleConnections()
	f.operators.CloseIdleConnections()
	f.World.Close()
}

// BoundError says that a condition did not come true in time.
type BoundError struct {
	Bound time.Duration
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("the condition did not hold within %s", e.Bound)
}

// Until waits until the condition holds.
func Until(ctx context.Context, bound time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(_pollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &BoundError{Bound: bound}
		}
	}
}
