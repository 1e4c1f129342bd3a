package rehearsal

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/machines"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/node"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/scheduler"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/memnet"
	"github.com/reelrun/reelrun/sim/platformsim"
	"github.com/reelrun/reelrun/sim/servicesim"
)

const (
	callerPort   = ":8000"
	peerPort     = ":9000"
	maxBodyBytes = 1 << 20
)

// Options describe a fleet.
type Options struct {
	// Zones are the zones of the nodes; each has NodesPerZone nodes.
	Zones        []string
	NodesPerZone int
	// SeedZones is the number of zones whose first node is a seed. Default all.
	SeedZones int
	// Configuration is published before the nodes start. Its engines and replicas
	// are started as stand-ins.
	Configuration api.Configuration
	// Platform are the limits of the platform.
	Platform platformsim.Options
	// Engine are the options of the stand-in engines, without name, model and role.
	Engine enginesim.Options
	// Scheduler is the routing policy.
	Scheduler scheduler.Options
	// Interval is the time between heartbeats. Default 1s.
	Interval time.Duration
	// Defects are injected to check that the oracles detect them.
	Defects Defects
}

// Defects are deliberate defects of every node. The zero value has none.
type Defects struct {
	// Handler wraps the handler of callers' requests.
	Handler func(http.Handler) http.Handler
	// Transport wraps the connections to engines and services.
	Transport func(http.RoundTripper) http.RoundTripper
	// Store wraps the platform's store.
	Store func(objectapi.Store) objectapi.Store
}

// Node is one node of a fleet.
type Node struct {
	Name string
	Zone string
	// Host is its IP address.
	Host string
	Core *node.Core

	cancel  context.CancelFunc
	stopped chan struct{}
	// down is closed when the node has ended and its ports are free.
	down chan struct{}
	// alive is set until a stop of the node begins.
	alive   bool
	serving sync.WaitGroup
	// terminated is set once the node is killed; whatever it sends afterwards is
	// discarded.
	terminated atomic.Bool
}

// hostTransport is the transport of one incarnation of a node.
type hostTransport struct {
	http.RoundTripper
	node *Node
}

// RoundTrip implements http.RoundTripper.
func (t *hostTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.node.terminated.Load() {
		return nil, memnet.ErrAborted
	}
	return t.RoundTripper.RoundTrip(request)
}

// CallerAddress returns the address at which the node accepts callers.
func (n *Node) CallerAddress() string { return n.Host + callerPort }

// Engine is one stand-in engine of a fleet.
type Engine struct {
	*enginesim.Engine
	Faults *fault.Injector
	Host   string
}

// Service is one stand-in replica of a fleet.
type Service struct {
	*servicesim.Service
	Faults *fault.Injector
	Host   string
}

// Fleet is a complete system in one process: the nodes and all stand-ins.
type Fleet struct {
	Options  Options
	Links    *memnet.LinkFilter
	Network  *memnet.Network
	HTTP     *memnet.HTTPNetwork
	Platform *Platform
	Engines  map[string]*Engine
	Services map[string]*Service

	mu    sync.Mutex
	nodes map[string]*Node
}

// NewFleet starts the stand-ins and publishes the configuration. Nodes are started
// by StartAll.
func NewFleet(ctx context.Context, options Options) (*Fleet, error) {
	links := memnet.NewLinkFilter()
	created := &Fleet{
		Options: options, Links: links, Network: memnet.NewNetwork(links), HTTP: memnet.NewHTTPNetwork(links),
		Platform: NewPlatform(options.Platform), Engines: map[string]*Engine{}, Services: map[string]*Service{}, nodes: map[string]*Node{},
	}
	for _, pool := range options.Configuration.Pools {
		for _, member := range pool.Engines {
			created.addEngine(pool, member)
		}
	}
	for _, service := range options.Configuration.Services {
		for _, backend := range service.Backends {
			created.addService(backend)
		}
	}
	initial := options.Configuration
	initial.SetDefaults()
	configuration.Sort(&initial)
	_, err := configuration.Publish(ctx, created.Platform.Store, 0, "initial", nil, initial)
	return created, err
}

func (f *Fleet) addEngine(pool api.Pool, member api.Engine) {
	options := f.Options.Engine
	options.Name, options.Model, options.Role, options.ChecksFencingToken = member.Name, pool.Model, member.Role, pool.ChecksFencingToken
	host, _, _ := net.SplitHostPort(member.Address)
	options.HTTP = &http.Client{Transport: f.HTTP.Transport(host)}
	started := &Engine{Engine: enginesim.New(options), Faults: fault.NewInjector(), Host: host}
	f.Engines[member.Name] = started
	f.HTTP.Handle(member.Address, started.Faults.Wrap(enginesim.Handler(started.Engine)))
}

func (f *Fleet) addService(backend api.Backend) {
	host, _, _ := net.SplitHostPort(backend.Address)
	const work = 2 * time.Millisecond
	started := &Service{Service: servicesim.New(backend.Name, work), Faults: fault.NewInjector(), Host: host}
	f.Services[backend.Name] = started
	f.HTTP.Handle(backend.Address, started.Faults.Wrap(started.Service))
}

// NodeNames returns the names of all nodes, running or not.
func (f *Fleet) NodeNames() []string {
	var names []string
	for zone := range f.Options.Zones {
		for number := range f.Options.NodesPerZone {
			names = append(names, nodeName(zone, number))
		}
	}
	return names
}

func nodeName(zone, number int) string { return fmt.Sprintf("node-%d-%03d", zone, number) }

// hostOfNode returns the IP address of a node.
func hostOfNode(zone, number int) string { return fmt.Sprintf("10.%d.0.%d", zone+1, number+1) }

// StartAll starts every node.
func (f *Fleet) StartAll() {
	for _, name := range f.NodeNames() {
		f.Start(name)
	}
}

// Start starts a node; an earlier incarnation must have ended.
func (f *Fleet) Start(name string) {
	var zone, number int
	_, _ = fmt.Sscanf(name, "node-%d-%d", &zone, &number)
	started := &Node{Name: name, Zone: f.Options.Zones[zone], Host: hostOfNode(zone, number), alive: true, stopped: make(chan struct{}), down: make(chan struct{})}
	var transport http.RoundTripper = &hostTransport{f.HTTP.Transport(started.Host), started}
	if wrap := f.Options.Defects.Transport; wrap != nil {
		transport = wrap(transport)
	}
	var store objectapi.Store = &nodeStore{platform: f.Platform, node: name, terminated: started.terminated.Load}
	if wrap := f.Options.Defects.Store; wrap != nil {
		store = wrap(store)
	}
	started.Core = node.NewCore(node.CoreOptions{
		Name: name, Zone: started.Zone, PeerAddress: started.Host + peerPort, Seeds: f.seeds(),
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			if started.terminated.Load() {
				return nil, memnet.ErrAborted
			}
			return f.Network.Dial(ctx, started.Host, to)
		},
		Store: store, Engines: engine.NewClient(transport),
		Membership: membership.Options{Interval: f.Options.Interval}, Scheduler: f.Options.Scheduler,
	})
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	listener := f.Network.Listen(started.Host + peerPort)
	go func() {
		defer close(started.stopped)
		_ = started.Core.Run(ctx, listener)
	}()
	handler := node.CallerHandler(started.Core, transport, maxBodyBytes)
	if wrap := f.Options.Defects.Handler; wrap != nil {
		handler = wrap(handler)
	}
	f.HTTP.Handle(started.CallerAddress(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.serving.Add(1)
		defer started.serving.Done()
		handler.ServeHTTP(w, r)
	}))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = started
}

// seeds returns the peer addresses of the first nodes of the seed zones.
func (f *Fleet) seeds() []string {
	zones := len(f.Options.Zones)
	if f.Options.SeedZones > 0 {
		zones = min(zones, f.Options.SeedZones)
	}
	seeds := make([]string, zones)
	for zone := range seeds {
		seeds[zone] = hostOfNode(zone, 0) + peerPort
	}
	return seeds
}

// Node returns the last incarnation of a node.
func (f *Fleet) Node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// IsDown reports whether a node has ended, so that it can be started again.
func (f *Fleet) IsDown(name string) bool {
	select {
	case <-f.Node(name).down:
		return true
	default:
		return false
	}
}

// Alive returns the running nodes, ordered by name.
func (f *Fleet) Alive() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []*Node
	for _, running := range f.nodes {
		if running.alive {
			alive = append(alive, running)
		}
	}
	slices.SortFunc(alive, func(a, b *Node) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return alive
}

// reachesPlatform reports whether any running node reaches the platform.
func (f *Fleet) reachesPlatform() bool {
	for _, running := range f.Alive() {
		if down, _ := f.Platform.isDown(running.Name); !down {
			return true
		}
	}
	return false
}

// markStopped marks a node as not running and reports whether it was running.
func (f *Fleet) markStopped(stopped *Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stopped == nil || !stopped.alive {
		return false
	}
	stopped.alive = false
	return true
}

// Kill ends a node as if its process were killed: every connection is closed, and
// whatever the node still sends is discarded.
func (f *Fleet) Kill(name string) {
	killed := f.Node(name)
	if !f.markStopped(killed) {
		return
	}
	killed.terminated.Store(true)
	f.Network.Kill(killed.Host)
	f.HTTP.Kill(killed.Host)
	killed.cancel()
	<-killed.stopped
	close(killed.down)
}

// Partition disconnects the nodes of some zones from the nodes of the others, and
// from the platform if withoutPlatform is set. Engines stay reachable from both
// sides. The returned function ends the partition.
func (f *Fleet) Partition(zones []string, withoutPlatform bool) (heal func()) {
	inside, hosts := map[string]bool{}, map[string]bool{}
	for _, running := range f.Alive() {
		hosts[running.Host] = true
		if slices.Contains(zones, running.Zone) {
			inside[running.Host] = true
			f.Platform.SetUnreachable(running.Name, withoutPlatform)
		}
	}
	f.Links.Block(func(link memnet.Link) bool {
		return hosts[link.From] && hosts[link.To] && inside[link.From] != inside[link.To]
	})
	return func() {
		f.Links.Block(func(memnet.Link) bool { return false })
		for _, name := range f.NodeNames() {
			f.Platform.SetUnreachable(name, false)
		}
	}
}

// drainDelay is the time that the load balancer takes to remove a draining node.
const drainDelay = 5 * time.Second

// Stop is a planned stop of a node: it becomes unready, drains, and ends after its
// last request.
func (f *Fleet) Stop(name string) {
	stopping := f.Node(name)
	if !f.markStopped(stopping) {
		return
	}
	stopping.Core.Drain()
	time.Sleep(drainDelay)
	stopping.serving.Wait()
	stopping.Core.Completions.WaitCancels()
	f.HTTP.Kill(stopping.Host)
	stopping.cancel()
	<-stopping.stopped
	f.Network.Kill(stopping.Host)
	stopping.terminated.Store(true)
	close(stopping.down)
}

// Close ends every node and engine.
func (f *Fleet) Close() {
	var ending sync.WaitGroup
	for _, running := range f.Alive() {
		ending.Add(1)
		go func() {
			defer ending.Done()
			f.Kill(running.Name)
		}()
	}
	ending.Wait()
	for _, started := range f.Engines {
		started.Close()
	}
}

// WaitReady waits until every running node is ready and lists all others as live,
// and reports whether this happened within the limit.
func (f *Fleet) WaitReady(limit time.Duration) bool {
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if f.allReady() {
			return true
		}
		time.Sleep(step)
	}
	return false
}

func (f *Fleet) allReady() bool {
	alive := f.Alive()
	for _, running := range alive {
		if !running.Core.IsReady() || len(running.Core.Cluster.Live()) < len(alive) {
			return false
		}
	}
	return true
}

// SetMachine sets the state of a machine in the platform's list.
func (f *Fleet) SetMachine(name string, state machines.State) error {
	spec, err := json.Marshal(machines.Machine{Name: name, State: state})
	if err != nil {
		return err
	}
	f.Platform.Store.SetMachine(name, spec)
	return nil
}

// HeldStreams counts the streams and prefill results that the engines hold.
func (f *Fleet) HeldStreams() int {
	held := 0
	for _, started := range f.Engines {
		held += len(started.Streams())
	}
	return held
}

// DecodingStreams counts the streams in decoding that have produced a token.
func (f *Fleet) DecodingStreams() int {
	decoding := 0
	for _, started := range f.Engines {
		for _, stream := range started.Streams() {
			if stream.Phase == api.RoleDecode && stream.Offset > 0 {
				decoding++
			}
		}
	}
	return decoding
}

// Ledgers returns the stand-ins' records of what they ran.
func (f *Fleet) Ledgers() load.Ledgers {
	var ledgers load.Ledgers
	for _, started := range f.Engines {
		ledgers.Engines = append(ledgers.Engines, started.Report())
	}
	for _, started := range f.Services {
		ledgers.Services = append(ledgers.Services, started.Report())
	}
	return ledgers
}

// Client returns the HTTP client of a caller.
func (f *Fleet) Client(host string) *http.Client {
	return &http.Client{Transport: f.HTTP.Transport(host)}
}

// StoreOf returns the platform's store with the faults injected for a node.
func (f *Fleet) StoreOf(name string) objectapi.Store {
	return &nodeStore{platform: f.Platform, node: name, terminated: func() bool { return false }}
}
