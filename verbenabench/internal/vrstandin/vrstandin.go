// Package vrstandin provides stand-ins (fakes) for the systems around the daemons: the
// platform, language servers and application servers. All run in one process on
// loopback, support fault injection and journal what reaches them.
package vrstandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// The stand-ins use net/http instead of the daemon's HTTP library for two reasons: a
// handler can abort its connection at any point and detect that its caller disconnected,
// and a bug in one HTTP library is not masked by the same bug on the other side.

// Options configures a World.
type Options struct {
	Deployment *vrdeploy.Deployment
	// Ports holds the addresses of the daemons for the list of VMs.
	Ports map[vrid.DaemonID]vrdeploy.Ports
	// Speed is the factor that load and generation times are divided by; zero means 1.
	Speed float64
	// Control is the address of the control port; empty means any free port.
	Control string
}

// Addresses holds the addresses that the stand-ins listen on.
type Addresses struct {
	// Platforms holds the platform's base URL for each zone. Control is a base URL too.
	Platforms map[vrid.ZoneID]string           `json:"platforms"`
	Control   string                           `json:"control"`
	Servers   map[vrid.ServerID]string         `json:"servers"`
	Daemons   map[vrid.DaemonID]vrdeploy.Ports `json:"daemons,omitempty"`
}

// World holds all stand-ins of one deployment.
type World struct {
	Journal   *Journal
	Platform  *Platform
	Addresses Addresses

	deployment  *vrdeploy.Deployment
	weights     *weights
	adapters    *weights
	engines     map[vrid.ServerID]*engine
	apps        map[vrid.ServerID]*appServer
	httpServers map[string]*httpServer
	serving     conc.WaitGroup
}

// httpServer is one listening HTTP server.
type httpServer struct {
	server  *http.Server
	address string
}

// Names of the HTTP servers that are not servers of the deployment.
const (
	_platformServerPrefix = "platform/"
	_controlServer        = "control"
)

// _headerTimeout is the timeout for reading the header of a call.
const _headerTimeout = 10 * time.Second

// Start starts listening on all ports and writes the configuration to the platform.
func Start(options Options) (*World, error) {
	document, err := vrcodec.EncodeFleet(&options.Deployment.Fleet)
	if err != nil {
		return nil, fmt.Errorf("encode the configuration: %w", err)
	}
	world := newWorld(options)
	if err := world.listenAll(options.Control); err != nil {
		world.Close()
		return nil, err
	}
	world.Addresses.Daemons = options.Ports
	addresses := make(map[vrid.VMID]string)
	for id, ports := range options.Ports {
		addresses[vrid.VMID(id)] = ports.Peers
	}
	for id, address := range world.Addresses.Servers {
		addresses[vrid.VMID(id)] = address
	}
	world.Platform.SetVMs(options.Deployment.VMs(addresses))
	world.Platform.Put(vrplatform.HistoryKey(options.Deployment.Fleet.Version), document)
	world.Platform.Put(vrplatform.KeyConfigHead, document)
	return world, nil
}

// newWorld creates the stand-ins without listening on a port.
func newWorld(options Options) *World {
	fleet := &options.Deployment.Fleet
	index := vrconfig.NewIndex(fleet)
	speed := options.Speed
	if speed <= 0 {
		speed = 1
	}
	journal := &Journal{}
	world := &World{
		Journal:     journal,
		Platform:    newPlatform(journal, fleet.Zones()),
		Addresses:   Addresses{Platforms: make(map[vrid.ZoneID]string), Servers: make(map[vrid.ServerID]string)},
		deployment:  options.Deployment,
		weights:     newWeights(fleet.WeightStore.Slots),
		adapters:    newWeights(fleet.WeightStore.AdapterSlots),
		engines:     make(map[vrid.ServerID]*engine),
		apps:        make(map[vrid.ServerID]*appServer),
		httpServers: make(map[string]*httpServer),
	}
	states := make(map[vrid.PoolID]*serviceState)
	for _, server := range options.Deployment.Servers {
		if server.Kind == vrconfig.KindApplicationServer {
			if states[server.Pool] == nil {
				states[server.Pool] = &serviceState{outcomes: make(map[vrid.IdempotencyKey]Confirmation)}
			}
			world.apps[server.ID] = newAppServer(server, journal, states[server.Pool])
			continue
		}
		world.engines[server.ID] = newEngine(engineOptions{
			Server: server.ID, Zone: server.Zone, Pool: *index.Pool(server.Pool), Index: index,
			Journal: journal, Weights: world.weights, Adapters: world.adapters, Timing: defaultTiming(speed),
		})
	}
	return world
}

func (w *World) listenAll(controlAddress string) error {
	if controlAddress == "" {
		controlAddress = _anyFreePort
	}
	address, err := w.listen(_controlServer, controlAddress, w.controlHandler())
	if err != nil {
		return err
	}
	w.Addresses.Control = "http://" + address
	for _, zone := range w.deployment.Fleet.Zones() {
		address, err := w.listen(_platformServerPrefix+string(zone), _anyFreePort, w.Platform.ForZone(zone))
		if err != nil {
			return err
		}
		w.Addresses.Platforms[zone] = "http://" + address
	}
	for id, server := range w.engines {
		if w.Addresses.Servers[id], err = w.listen(string(id), _anyFreePort, server); err != nil {
			return err
		}
	}
	for id, server := range w.apps {
		if w.Addresses.Servers[id], err = w.listen(string(id), _anyFreePort, server); err != nil {
			return err
		}
	}
	return nil
}

const _anyFreePort = "127.0.0.1:0"

func (w *World) listen(name, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: _headerTimeout}
	w.httpServers[name] = &httpServer{server: server, address: listener.Addr().String()}
	w.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.Journal.Add(Entry{Kind: JournalFault, Detail: fmt.Sprintf("%s: %v", name, err)})
		}
	})
	return listener.Addr().String(), nil
}

// Close stops all stand-ins and breaks their connections.
func (w *World) Close() {
	for _, server := range w.engines {
		server.stop()
	}
	for _, server := range w.apps {
		server.cancelProcess()
	}
	for _, listening := range w.httpServers {
		_ = listening.server.Close()
	}
	w.serving.Wait()
}

// Serve blocks until ctx ends and then closes the stand-ins.
func (w *World) Serve(ctx context.Context) {
	<-ctx.Done()
	w.Close()
}

// breakConnections closes the port and the connections of a server.
func (w *World) breakConnections(id vrid.ServerID) {
	if listening := w.httpServers[string(id)]; listening != nil {
		_ = listening.server.Close()
	}
}
