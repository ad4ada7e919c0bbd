// Package vrstandin holds small fakes of the systems around the daemons: the platform,
// language servers and application servers, all in one process on loopback, with faults
// on demand and a journal of what reached them.
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

// The stand-ins use net/http, and not the HTTP library of the daemon, for two reasons:
// a handler can break its connection at a chosen point and sees when its caller is
// gone, and a mistake in one HTTP library does not cancel out on both sides.

// Options is what a world is made of.
type Options struct {
	Deployment *vrdeploy.Deployment
	// Ports are the addresses of the daemons for the list of VMs.
	Ports map[vrid.DaemonID]vrdeploy.Ports
	// Speed divides load and generation times; zero means 1.
	Speed float64
	// Control is the address of the control port; empty takes a free port.
	Control string
}

// Addresses tell where the stand-ins listen.
type Addresses struct {
	// Platforms are the base URLs by zone, Control is one too.
	Platforms map[vrid.ZoneID]string           `json:"platforms"`
	Control   string                           `json:"control"`
	Servers   map[vrid.ServerID]string         `json:"servers"`
	Daemons   map[vrid.DaemonID]vrdeploy.Ports `json:"daemons,omitempty"`
}

// World is all stand-ins of one deployment.
type World struct {
	Journal   *Journal
	Platform  *Platform
	Addresses Addresses

	deployment *vrdeploy.Deployment
	weights    *weights
	adapters   *weights
	engines    map[vrid.ServerID]*engine
	apps       map[vrid.ServerID]*appServer
	endpoints  map[string]*endpoint
	serving    conc.WaitGroup
}

// endpoint is one listening server.
type endpoint struct {
	server  *http.Server
	address string
}

// Names of the endpoints that are no servers of the deployment.
const (
	_endpointPlatform = "platform/"
	_endpointControl  = "control"
)

// _headerTime bounds the wait for the header of a call.
const _headerTime = 10 * time.Second

// Start opens every port and puts the configuration on the platform.
func Start(options Options) (*World, error) {
	document, err := vrcodec.EncodeFleet(&options.Deployment.Fleet)
	if err != nil {
		return nil, fmt.Errorf("encode the configuration: %w", err)
	}
	world := newWorld(options)
	if err := world.open(options.Control); err != nil {
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

// newWorld makes the stand-ins without any port.
func newWorld(options Options) *World {
	fleet := &options.Deployment.Fleet
	index := vrconfig.NewIndex(fleet)
	speed := options.Speed
	if speed <= 0 {
		speed = 1
	}
	journal := &Journal{}
	world := &World{
		Journal:    journal,
		Platform:   newPlatform(journal, fleet.Zones()),
		Addresses:  Addresses{Platforms: make(map[vrid.ZoneID]string), Servers: make(map[vrid.ServerID]string)},
		deployment: options.Deployment,
		weights:    newWeights(fleet.WeightStore.Slots),
		adapters:   newWeights(fleet.WeightStore.AdapterSlots),
		engines:    make(map[vrid.ServerID]*engine),
		apps:       make(map[vrid.ServerID]*appServer),
		endpoints:  make(map[string]*endpoint),
	}
	books := make(map[vrid.PoolID]*ledgerBook)
	for _, server := range options.Deployment.Servers {
		if server.Kind == vrconfig.KindApplicationServer {
			if books[server.Pool] == nil {
				books[server.Pool] = &ledgerBook{outcomes: make(map[vrid.IdempotencyKey]Confirmation)}
			}
			world.apps[server.ID] = newAppServer(server, journal, books[server.Pool])
			continue
		}
		world.engines[server.ID] = newEngine(engineOptions{
			Server: server.ID, Zone: server.Zone, Pool: *index.Pool(server.Pool), Index: index,
			Journal: journal, Weights: world.weights, Adapters: world.adapters, Pace: defaultPace(speed),
		})
	}
	return world
}

func (w *World) open(control string) error {
	if control == "" {
		control = _anyPort
	}
	address, err := w.listen(_endpointControl, control, w.controlHandler())
	if err != nil {
		return err
	}
	w.Addresses.Control = "http://" + address
	for _, zone := range w.deployment.Fleet.Zones() {
		address, err := w.listen(_endpointPlatform+string(zone), _anyPort, w.Platform.ForZone(zone))
		if err != nil {
			return err
		}
		w.Addresses.Platforms[zone] = "http://" + address
	}
	for id, server := range w.engines {
		if w.Addresses.Servers[id], err = w.listen(string(id), _anyPort, server); err != nil {
			return err
		}
	}
	for id, server := range w.apps {
		if w.Addresses.Servers[id], err = w.listen(string(id), _anyPort, server); err != nil {
			return err
		}
	}
	return nil
}

const _anyPort = "127.0.0.1:0"

func (w *World) listen(name, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: _headerTime}
	w.endpoints[name] = &endpoint{server: server, address: listener.Addr().String()}
	w.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.Journal.Add(Entry{Kind: JournalFault, Detail: fmt.Sprintf("%s: %v", name, err)})
		}
	})
	return listener.Addr().String(), nil
}

// Close ends every stand-in and breaks its connections.
func (w *World) Close() {
	for _, server := range w.engines {
		server.stop()
	}
	for _, server := range w.apps {
		server.end()
	}
	for _, open := range w.endpoints {
		_ = open.server.Close()
	}
	w.serving.Wait()
}

// Serve runs until the context ends.
func (w *World) Serve(ctx context.Context) {
	<-ctx.Done()
	w.Close()
}

// breakConnections closes the connections and the port of a server that is gone.
func (w *World) breakConnections(id vrid.ServerID) {
	if open := w.endpoints[string(id)]; open != nil {
		_ = open.server.Close()
	}
}
