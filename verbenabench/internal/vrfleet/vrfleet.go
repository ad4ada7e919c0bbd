// Package vrfleet builds the daemon and runs the daemons of a deployment as child processes
// on loopback. The stand-in servers run in the parent process.
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
	_daemonPackage = "verbenaroute.example/verbenaroute"
	_pollInterval  = 50 * time.Millisecond
	_probeTimeout  = 2 * time.Second
	// _operatorTimeout is longer than a daemon's query timeout and than the time after which
	// the daemon reports a command as undecided.
	_operatorTimeout = 40 * time.Second
	// _exitTimeout is longer than the shutdown grace in any settings file written by New.
	_exitTimeout = 40 * time.Second
	_dirMode     = 0o700
)

// Build compiles the daemon into dir and returns the path of the executable. race enables
// the race detector.
func Build(ctx context.Context, dir string, race bool) (string, error) {
	path := filepath.Join(dir, "verbenaroute")
	args := []string{"build", "-o", path}
	if race {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, _daemonPackage)...)
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, output)
	}
	return path, nil
}

// BuildTemporary compiles the daemon into a new temporary directory. The caller can also
// store settings and logs there, and calls remove to delete it.
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

// Options configures a Fleet.
type Options struct {
	Deployment *vrdeploy.Deployment
	// Program is the path of the daemon's executable.
	Program string
	// Dir is the directory for settings and logs. New creates it if necessary.
	Dir string
	// Speed is the factor that the stand-ins divide load and generation times by; zero
	// means 1.
	Speed float64
	// InsecurePeers disables TLS between the daemons.
	InsecurePeers bool
}

// Fleet is a running deployment: stand-in servers and daemon processes.
type Fleet struct {
	World      *vrstandin.World
	Deployment *vrdeploy.Deployment
	Ports      map[vrid.DaemonID]vrdeploy.Ports

	options     Options
	settings    map[vrid.DaemonID]string
	processes   map[vrid.DaemonID]*process
	probeClient *http.Client
	// operatorClient has a longer timeout than probeClient, because commands and queries may
	// wait for the platform.
	operatorClient *http.Client
}

// process is one run of a daemon.
type process struct {
	cmd *exec.Cmd
	log *os.File
	// exited is closed after the process has exited and err is set to the result of Wait.
	exited chan struct{}
	err    error
	paused bool
}

// ProcessError reports a problem with a daemon's process.
type ProcessError struct {
	Daemon  vrid.DaemonID
	Problem string
}

func (e *ProcessError) Error() string { return fmt.Sprintf("%s: %s", e.Daemon, e.Problem) }

// New starts the stand-ins and writes the daemons' settings. It does not start the daemons.
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
		World:          world,
		Deployment:     options.Deployment,
		Ports:          ports,
		options:        options,
		settings:       settings,
		processes:      make(map[vrid.DaemonID]*process),
		probeClient:    &http.Client{Timeout: _probeTimeout},
		operatorClient: &http.Client{Timeout: _operatorTimeout},
	}, nil
}

// CallerAddresses returns the address of each daemon's callers' port.
func (f *Fleet) CallerAddresses() map[vrid.DaemonID]string {
	addresses := make(map[vrid.DaemonID]string, len(f.Ports))
	for id, ports := range f.Ports {
		addresses[id] = ports.Callers
	}
	return addresses
}

// Start starts a daemon and appends its output to its log file. It fails if the daemon is
// already running.
func (f *Fleet) Start(daemon vrid.DaemonID) error {
	settings, ok := f.settings[daemon]
	if !ok {
		return &ProcessError{Daemon: daemon, Problem: "not in the deployment"}
	}
	if f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "already running"}
	}
	path := filepath.Join(f.options.Dir, string(daemon)+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.options.Program, "serve", "--config", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", daemon, err)
	}
	p := &process{cmd: cmd, log: log, exited: make(chan struct{})}
	f.processes[daemon] = p
	go p.wait()
	return nil
}

// wait waits for the process to exit, closes its log file and then closes exited.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// Running reports whether the daemon's process was started and has not exited. A paused
// process counts as running.
func (f *Fleet) Running(daemon vrid.DaemonID) bool {
	p := f.processes[daemon]
	if p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Working reports whether the daemon is running and not paused.
func (f *Fleet) Working(daemon vrid.DaemonID) bool {
	return f.Running(daemon) && !f.processes[daemon].paused
}

// StartAll starts all daemons, and then waits up to timeout for each in turn to become ready.
func (f *Fleet) StartAll(ctx context.Context, timeout time.Duration) error {
	for _, daemon := range f.Deployment.Daemons {
		if err := f.Start(daemon.ID); err != nil {
			return err
		}
	}
	for _, daemon := range f.Deployment.Daemons {
		if err := f.WaitReady(ctx, daemon.ID, timeout); err != nil {
			return err
		}
	}
	return nil
}

// Ready probes the readiness path on a daemon's operator port, as the load balancer does.
func (f *Fleet) Ready(daemon vrid.DaemonID) bool {
	response, err := f.probeClient.Get("http://" + f.Ports[daemon].Operators + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the daemon is ready. It fails if the daemon exits first or is not
// ready within timeout.
func (f *Fleet) WaitReady(ctx context.Context, daemon vrid.DaemonID, timeout time.Duration) error {
	err := Until(ctx, timeout, func() bool { return !f.Running(daemon) || f.Ready(daemon) })
	if !f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "exited before it was ready, end of its log: " + f.logTail(daemon)}
	}
	if err != nil {
		return &ProcessError{Daemon: daemon, Problem: "not ready in time, end of its log: " + f.logTail(daemon)}
	}
	return nil
}

// logTail returns the end of a daemon's log, or the text of the error from reading it.
func (f *Fleet) logTail(daemon vrid.DaemonID) string {
	const maxBytes = 600
	data, err := os.ReadFile(filepath.Join(f.options.Dir, string(daemon)+".log"))
	if err != nil {
		return err.Error()
	}
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return string(data)
}

// signal sends a signal to a daemon's process, which this fleet started.
func (f *Fleet) signal(daemon vrid.DaemonID, sig os.Signal) error {
	if !f.Running(daemon) {
		return &ProcessError{Daemon: daemon, Problem: "not running"}
	}
	return f.processes[daemon].cmd.Process.Signal(sig)
}

// Kill sends SIGKILL to a daemon and waits until it has exited.
func (f *Fleet) Kill(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.processes[daemon].exited
	return nil
}

// Pause suspends a daemon's process with SIGSTOP, which simulates a paused VM.
func (f *Fleet) Pause(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGSTOP); err != nil {
		return err
	}
	f.processes[daemon].paused = true
	return nil
}

// Resume resumes a paused daemon with SIGCONT.
func (f *Fleet) Resume(daemon vrid.DaemonID) error {
	if err := f.signal(daemon, syscall.SIGCONT); err != nil {
		return err
	}
	f.processes[daemon].paused = false
	return nil
}

// Terminate sends SIGTERM to a daemon, which starts its graceful shutdown. It does not wait
// for the exit.
func (f *Fleet) Terminate(daemon vrid.DaemonID) error { return f.signal(daemon, syscall.SIGTERM) }

// WaitExit waits until a daemon that was terminated has exited. It returns an error if the
// exit status is not 0 or the daemon does not exit in time.
func (f *Fleet) WaitExit(daemon vrid.DaemonID) error {
	p := f.processes[daemon]
	if p == nil {
		return &ProcessError{Daemon: daemon, Problem: "was never started"}
	}
	timer := time.NewTimer(_exitTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		return &ProcessError{Daemon: daemon, Problem: "did not exit in time after SIGTERM"}
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return &ProcessError{Daemon: daemon, Problem: exit.String() + ": " + f.logTail(daemon)}
	}
	return p.err
}

// StopAll sends SIGTERM to every running daemon and waits until all of them have exited.
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

// Close kills the daemons that are still running and stops the stand-ins. It signals only
// processes that this fleet started, by their ids.
func (f *Fleet) Close() {
	for daemon := range f.processes {
		if f.Running(daemon) {
			_ = f.Kill(daemon)
		}
	}
	f.probeClient.CloseIdleConnections()
	f.operatorClient.CloseIdleConnections()
	f.World.Close()
}

// TimeoutError reports that a condition was not met in time.
type TimeoutError struct {
	Timeout time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("condition not met within %s", e.Timeout)
}

// Until polls condition until it returns true. It returns a *TimeoutError after timeout, or
// as soon as ctx ends.
func Until(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
			return &TimeoutError{Timeout: timeout}
		}
	}
}
