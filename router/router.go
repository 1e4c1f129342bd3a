package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/antientropy"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/roles"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/settings"
	"github.com/reelrun/reelrun/timeline"
)

// Environment is what the daemon meets outside itself.
type Environment struct {
	Store   objectapi.Store
	Dialect Dialect
	// ConfigurationKind and BackendKind are the kinds of the objects that hold the
	// configuration and one back end each.
	ConfigurationKind objectapi.Kind
	BackendKind       objectapi.Kind
	// DecodeConfiguration and DecodeBackend read these objects.
	DecodeConfiguration func(objectapi.Object) (*routing.Configuration, error)
	DecodeBackend       func(objectapi.Object) (backend.Backend, error)
}

// Dialect is how callers, back ends and engines are spoken to.
type Dialect interface {
	gateway.Dialect
	roles.EngineClient
	// Observe has a function called with what back ends say of themselves in any of their answers.
	// It is called once, before all other calls.
	Observe(observer backend.Observer)
}

// Options are the parts of a Router.
type Options struct {
	Settings    *settings.Router
	Environment Environment
	Logger      *slog.Logger
	// Listen opens a port. Default net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens connections to other nodes. Default net.Dialer.
	Dial peer.DialFunc
	// Clock is what this node decides by. Default: the runtime's, which stands still while the
	// machine is suspended.
	Clock *clock.Clock
	// Placement is how engines are chosen. Default PlacementCoordinator.
	Placement Placement
	// KeepRoles leaves the roles of engines as they are.
	KeepRoles bool
}

// Placement is how engines are chosen.
type Placement string

// The placements.
const (
	// PlacementCoordinator lets one node a service assign its engines.
	PlacementCoordinator Placement = "coordinator"
	// PlacementReservation lets each node ask the engines for room. It is the
	// simplest way, and the baseline of every comparison.
	PlacementReservation Placement = "reservation"
)

// Router is the daemon.
type Router struct {
	options  Options
	backends *backend.Registry
	gateway  *gateway.Handler
	metrics  *metrics.Set
	// copy is what this node knows of the store's objects.
	copy    *replica.Replica
	contact *contact
	nodes   nodeList
	view    heldFleetView
	syncer  *antientropy.Syncer
	client  *peer.Client
	server  *peer.Server
	// coordinator assigns the engines of the services that this node coordinates.
	coordinator *coordinator.Coordinator
	// assigner asks the coordinators of all services.
	assigner *coordinator.Client
	// admission decides on plain services by the plans that admissions brings, from the
	// controllers of the nodes that coordinate them.
	admission  *admission.Node
	controller *admission.Controller
	admissions *admission.Client
	// quotas charges requests of this node, and quotaKeeper those of all nodes where this one
	// coordinates.
	quotas      *quota.Client
	quotaKeeper *quota.Coordinator
	// quarantines knows which requests crash back ends; quarantineKeeper brings together what all
	// nodes saw, where this one is chosen for it, and quarantineArchive keeps that in the store.
	quarantines       *quarantine.Client
	quarantineKeeper  *quarantine.Coordinator
	quarantineArchive *quarantine.Archive
	roles             *roles.Controller
	// retryShares is what the node knows of how the retry budget is divided.
	retryShares retryShares
	// started names this start of the node, and origin is the time from which now counts.
	started time.Time
	origin  time.Time
	// storeCalls are those since the last summary.
	storeCalls callCounts
	// heardAgain counts by back end what was said again since the last summary.
	heardAgain callCounts
	// traffic counts the bytes of calls to other nodes.
	traffic nodeTraffic
	refused refusedEntries
	// following is set while this node follows the store, and staleness decides when it does so without being chosen.
	following atomic.Bool
	staleness *staleness
	// revisionInForce is that of the object whose configuration is in force.
	revisionInForce atomic.Int64
	// withdrawn is set once the node has removed its own object.
	withdrawn atomic.Bool
	// removed tells that another one has.
	removed chan struct{}
	// nodesMet is set once this node knows some others: all of a small fleet, or its neighbours by name in a
	// large one. nodesKnown is set once it has had the time to know all.
	nodesMet, nodesKnown *milestone
	// inLargeFleet is set where a list of nodes was long.
	inLargeFleet atomic.Bool
	// settings may be replaced while the node runs; those of listeners are only
	// read at the start.
	settings atomic.Pointer[settings.Router]
}

const (
	// headerTimeout and idleTimeout bound a caller's connection. They are above
	// what configurations allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 32 << 10
	// readyDelay is how long the balancer may still send new connections after the
	// node has become unready.
	readyDelay = 2500 * time.Millisecond
	// stopMargin is kept at the end of the grace period.
	stopMargin = 300 * time.Millisecond
	// idleSession is how long a connection to another node is kept unused, and sessionCheck
	// how often this is looked at.
	idleSession  = 20 * time.Second
	sessionCheck = 5 * time.Second
	// budgetShare is the part of the retry budget that is used.
	budgetShare = 0.8
)

// New returns a router that does nothing until Run.
func New(options Options) *Router {
	if options.Listen == nil {
		options.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if options.Dial == nil {
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	r := &Router{
		options: options, metrics: metrics.NewSet(), started: time.Now(), origin: options.Clock.Now(), removed: make(chan struct{}, 1),
		backends: backend.NewRegistry(options.Clock.Now), contact: newContact(options.Logger, options.Clock),
	}
	r.staleness = newStaleness()
	r.nodesMet, r.nodesKnown = newMilestone(), newMilestone()
	r.settings.Store(options.Settings)
	options.Environment.Dialect.Observe(r.heardBackend)
	r.copy = replica.New(options.Environment.ConfigurationKind, r.changed)
	stamps := timeline.NewClock(time.Now)
	r.client = peer.NewClient(options.Settings.Name, options.Dial, stamps)
	r.client.Observe(r.countCall)
	r.syncer = antientropy.New(antientropy.Options{
		Replica: r.copy, Peers: r.peers, Monitored: r.sources, SameZone: r.isNear, RemoteRelays: r.relays, IsZoneRelay: r.isBridge, Client: r.client, Logger: options.Logger,
		WatchesStore: r.following.Load, Complete: r.backends.Synced, OnComplete: r.backendsWhole,
		Address: options.Settings.PeerAddress, LinkBytes: options.Settings.LinkBytes, Refetch: r.refetch,
	})
	r.coordinator = coordinator.New(coordinator.Options{Engines: r.engines, Shortlist: r.shortlist, ZoneOf: r.zoneOf, Nodes: r.responsiveCount, Now: r.now})
	r.assigner = coordinator.NewClient(r, r.client, r.coordinator, r.now)
	r.admission = admission.NewNode(r.Own(), r.now)
	r.controller = admission.NewController(admission.Options{Slots: r.plainSlots, Nodes: r.responsiveCount})
	r.admissions = admission.NewClient(r.admission, r.controller, r.client, r.assigner)
	r.quotaKeeper = quota.NewCoordinator(quota.Options{Tenant: r.tenantNamed, Nodes: r.nodeCount, Tolerance: quota.Tolerance(options.Settings.QuotaTolerance)})
	r.quotas = quota.NewClient(quota.ClientOptions{
		Coordinators: r.assigner, Peers: r.client, LocalCoordinator: r.quotaKeeper, LocalLimiter: quota.NewLocalLimiter(r.nodeCount, rand.Float64),
		Limited: r.anyTenantLimited, Now: r.now,
	})
	r.newQuarantines()
	r.retryShares.holder = retrybudget.NewHolder(options.Settings.RetryWindow, options.Clock.Now)
	r.server = peer.NewServer(r.handlePeer, stamps)
	r.roles = r.newRoleController()
	r.publishGauges()
	r.publishFreshness()
	r.gateway = gateway.New(gateway.Options{
		Clock:    options.Clock,
		Zone:     options.Settings.Zone,
		Dialect:  options.Environment.Dialect,
		Backends: r.backends,
		Budget: retrybudget.New(retrybudget.Options{
			Ratio:  options.Settings.RetryRatio * budgetShare,
			Burst:  func() float64 { return float64(r.retryShares.holder.Usable()) },
			Window: options.Settings.RetryWindow,
			Now:    options.Clock.Now,
		}),
		Coordinator: r.gatewayCoordinator(),
		Assignable:  func(entry *backend.Entry) bool { return !r.roles.Changing(entry.Backend().ID) },
		Quotas:      r.quotas,
		Quarantine:  r.quarantines,
		Admission:   r.admission,
		Freshness:   r.freshness,
		Metrics:     r.metrics,
		Logger:      options.Logger,
	})
	return r
}

// gatewayCoordinator returns who assigns engines; nil lets each node choose.
func (r *Router) gatewayCoordinator() gateway.Coordinator {
	if r.options.Placement == PlacementReservation {
		return nil
	}
	return r.assigner
}

// listeners are the ports of a running router.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

// listen opens all ports.
func (r *Router) listen() (listeners, error) {
	var opened listeners
	own := r.options.Settings
	for _, port := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"callers", own.CallerAddress, &opened.callers}, {"the balancer", own.ReadyAddress, &opened.ready},
		{"nodes", own.PeerAddress, &opened.peers}, {"metrics", own.MetricsAddress, &opened.metrics},
	} {
		listener, err := r.options.Listen(port.address)
		if err != nil {
			return opened, errors.Wrapf(err, "listen for %s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}

// Run serves until the context ends, and then until the requests under way have
// ended or the grace period is over.
func (r *Router) Run(ctx context.Context) error {
	r.options.Logger.Info("start", "build", buildName(), "zone", r.options.Settings.Zone, "metrics", r.options.Settings.MetricsAddress)
	ports, err := r.listen()
	if err != nil {
		return err
	}
	callerServer := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog(),
	}
	metricsServer := &http.Server{Handler: r.metricsHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: discardLog()}
	readyServer := &http.Server{Handler: r.readiness(), ReadHeaderTimeout: headerTimeout, ErrorLog: discardLog()}
	// While the node drains it goes on to follow the store and the other nodes.
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	group, _ := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(callerServer, ports.callers) })
	group.Go(func() error { return serve(readyServer, ports.ready) })
	group.Go(func() error { return serve(metricsServer, ports.metrics) })
	group.Go(func() error { return servePeers(r.server, ports.peers) })
	for _, run := range r.backgroundTasks(ctx, following) {
		group.Go(func() error { run(); return nil })
	}
	<-ctx.Done()
	r.stop(ctx, callerServer)
	stopFollowing()
	_ = readyServer.Close()
	_ = metricsServer.Close()
	_ = ports.peers.Close()
	r.client.Close()
	r.server.Close()
	err = group.Wait()
	r.options.Logger.Info("stopped")
	return err
}

// backgroundTasks returns what runs beside the servers: until a planned stop begins,
// or until the node has drained.
func (r *Router) backgroundTasks(untilStop, untilDrained context.Context) []func() {
	environment := r.options.Environment
	tasks := []func(){
		func() { r.follow(untilDrained, environment.ConfigurationKind, environment.BackendKind, kindNode) },
		func() { r.runSyncer(untilDrained) },
		func() { r.assigner.Run(untilDrained) },
		func() { r.admissions.Run(untilDrained) },
		func() { r.quotas.Run(untilDrained) },
		func() { r.quarantines.Run(untilDrained) },
		func() { r.onceNodesKnown(untilStop, r.keepArchive) },
		func() { r.onceNodesKnown(untilStop, r.keepRetryShares) },
		func() { r.followReports(untilDrained) },
		func() { r.logSummaries(untilDrained) },
		func() { r.stayRegistered(untilStop) },
		func() { r.removeLost(untilStop) },
		func() {
			periodic.Run(untilDrained, sessionCheck, func(context.Context) { r.client.CloseIdle(idleSession) })
		},
	}
	if !r.options.KeepRoles {
		tasks = append(tasks, func() { r.roles.Run(untilStop) })
	}
	return tasks
}

// stop drains: callers stay served until the balancer has turned away, then idle
// connections are closed and the requests under way run to their end.
func (r *Router) stop(ctx context.Context, callerServer *http.Server) {
	started := time.Now()
	r.options.Logger.Info("stop", "grace_ms", r.options.Settings.Grace.Milliseconds())
	r.gateway.Drain()
	// The other nodes may get this one's share once it has withdrawn.
	r.retryShares.holder.Close()
	go r.withdraw(context.WithoutCancel(ctx))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), started.Add(r.options.Settings.Grace-stopMargin))
	defer cancel()
	timer := time.NewTimer(readyDelay)
	defer timer.Stop()
	<-timer.C
	if err := callerServer.Shutdown(ctx); err != nil {
		r.options.Logger.Warn("stop cut requests off", "error", err.Error())
		_ = callerServer.Close()
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func servePeers(server *peer.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "serve nodes")
	}
	return nil
}

// readiness answers the balancer.
func (r *Router) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
