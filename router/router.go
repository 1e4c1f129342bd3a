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

	"github.com/reelrun/reelrun/acceptretry"
	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/antientropy"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/backendlimit"
	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/concurrencylimit"
	"github.com/reelrun/reelrun/connectionlimit"
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
	"github.com/reelrun/reelrun/softwareversions"
	"github.com/reelrun/reelrun/streamorigin"
	"github.com/reelrun/reelrun/timeline"
)

// Environment contains the router's external dependencies: the store, the protocols and the decoders of objects.
type Environment struct {
	Store   objectapi.Store
	Dialect Dialect
	// ConfigurationKind and BackendKind are the kinds of the objects that hold the configuration and one backend
	// each.
	ConfigurationKind objectapi.Kind
	BackendKind       objectapi.Kind
	// DecodeConfiguration and DecodeBackend decode these objects.
	DecodeConfiguration func(objectapi.Object) (*routing.Configuration, error)
	DecodeBackend       func(objectapi.Object) (backend.Backend, error)
}

// Dialect implements the protocols of callers, backends and engines.
type Dialect interface {
	gateway.Dialect
	roles.EngineClient
	// Observe sets a function that is called with the notices in the backends' responses. It is called once, before all
	// other calls.
	Observe(observer backend.Observer)
	// UseTunnels makes calls use tunnels through other nodes where the tracker says so. It is called once, before all
	// other calls.
	UseTunnels(tracker *backendpath.Tracker, tunnels backendhttp.Tunnels)
	// DialDirect connects to a backend over this node's own link, and DialTunnel through another node.
	DialDirect(ctx context.Context, address string) (net.Conn, error)
	DialTunnel(ctx context.Context, address string) (net.Conn, error)
	// CloseIdleDirect and CloseIdleTunnels close the idle connections of one of the paths.
	CloseIdleDirect()
	CloseIdleTunnels()
}

// Options are the parameters of a Router.
type Options struct {
	Settings    *settings.Router
	Environment Environment
	Logger      *slog.Logger
	// Listen opens a port. Default net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens connections to other nodes. Default net.Dialer.
	Dial peer.DialFunc
	// Clock is the clock for this node's decisions. Default: the runtime's, which stops while the machine is
	// suspended.
	Clock *clock.Clock
	// Placement selects how engines are chosen. Default PlacementCoordinator.
	Placement Placement
	// KeepRoles disables changes of the engines' roles.
	KeepRoles bool
}

// Placement is a way to choose engines.
type Placement string

// The placements.
const (
	// PlacementCoordinator has one node per service assign its engines.
	PlacementCoordinator Placement = "coordinator"
	// PlacementReservation has each node reserve capacity at the engines. It is the simplest placement, and the
	// baseline of comparisons.
	PlacementReservation Placement = "reservation"
)

// Router is the daemon.
type Router struct {
	options  Options
	backends *backend.Registry
	// dialect makes all calls to backends.
	dialect Dialect
	gateway *gateway.Handler
	metrics *metrics.Set
	// replica holds this node's replica of the store's objects.
	replica     *replica.Replica
	storeHealth *storeHealth
	nodes       nodeList
	view        cachedFleetView
	syncer      *antientropy.Syncer
	client      *peer.Client
	server      *peer.Server
	// coordinator assigns the engines of the services that this node coordinates.
	coordinator *coordinator.Coordinator
	// assigner calls the coordinators of all services.
	assigner *coordinator.Client
	// admission decides on requests to plain services, by the plans that admissions receives from the controllers on
	// the nodes that coordinate these services.
	admission  *admission.Node
	controller *admission.Controller
	admissions *admission.Client
	// quotas charges the requests of this node, and quotaCoordinator those of all nodes while this one coordinates.
	quotas           *quota.Client
	quotaCoordinator *quota.Coordinator
	// limits charges the calls of this node to backends that limit their requests.
	limits *backendlimit.Client
	// quarantines holds the quarantine status of requests that crash backends; quarantineCoordinator combines the
	// reports of all nodes while this one is selected for it, and quarantineArchive writes them to the store.
	quarantines           *quarantine.Client
	quarantineCoordinator *quarantine.Coordinator
	quarantineArchive     *quarantine.Archive
	// streams records and finds where streams began.
	streams *streamorigin.Client
	// versionPublisher publishes the software versions of the backends, and versionProver reads what is published.
	versionPublisher *softwareversions.Publisher
	versionProver    *softwareversions.Prover
	roles            *roles.Controller
	tunnels          tunnels
	// callerRequests bounds the requests of callers that are read, and callerDelays observes what it follows.
	callerRequests *concurrencylimit.Limit
	callerDelays   *concurrencylimit.Monitor
	// adjustment is the last adjustment of that bound, or nil.
	adjustment atomic.Pointer[concurrencylimit.Adjustment]
	// callerConnections bounds the open connections of callers.
	callerConnections *connectionlimit.Limit
	// closedConnections counts the connections that this bound has closed since the last summary.
	closedConnections callCounts
	// retryShares is the state of the retry budget's allocation.
	retryShares retryShares
	// started identifies this start of the node, and origin is the time at which now is zero.
	started time.Time
	origin  time.Time
	// storeCalls counts calls to the store since the last summary.
	storeCalls callCounts
	// lateness measures how late timers fire at this node.
	lateness *timerLateness
	// repeatedNotices counts repeated notices by backend since the last summary.
	repeatedNotices callCounts
	// limitedResponses counts, by backend, the responses that named a limit since the last summary.
	limitedResponses callCounts
	// deniedCalls counts, by backend, the calls beyond the limits of backends since the last summary.
	deniedCalls callCounts
	// outdatedObjects counts the objects of the store that were ignored since the last summary, by kind and name.
	outdatedObjects callCounts
	// reportedFailures counts the failures of engines that nodes reported to this one since the last summary, by node.
	reportedFailures callCounts
	// traffic counts the bytes of calls to other nodes.
	traffic  nodeTraffic
	rejected rejectedEntries
	// watching is set while this node watches the store, and staleness decides whether the node must watch it
	// although it is not selected as a watcher.
	watching  atomic.Bool
	staleness *staleness
	// storeEpoch is the newest known epoch of the store, or unknownEpoch.
	storeEpoch atomic.Int64
	// activeRevision is the revision of the object whose configuration is active.
	activeRevision atomic.Int64
	// withdrawn is set once the node has removed its own object.
	withdrawn atomic.Bool
	// removed signals that another node has removed this node's object, and restored that the store has been restored
	// from a copy.
	removed, restored chan struct{}
	// someNodesKnown is set once this node knows some others: all nodes of a small fleet, or its neighbours by name in a
	// large one. nodesKnown is set once it has had the time to learn of all.
	someNodesKnown, nodesKnown *latch
	// inLargeFleet is set if a list of nodes was long.
	inLargeFleet atomic.Bool
	// settings may be replaced while the node runs; the addresses of listeners are only read at the start.
	settings atomic.Pointer[settings.Router]
}

const (
	// headerTimeout and idleTimeout bound a caller's connection. They exceed the timeouts that configurations grant
	// callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 32 << 10
	// readyDelay is how long the load balancer may still send new connections after the node has become unready.
	readyDelay = 2500 * time.Millisecond
	// firstRequestTimeout is how long a stopping node waits for the first requests of connections that it has accepted, and
	// firstRequestInterval the interval at which it checks for them. Meanwhile kept connections may bring requests too, which
	// must have enough of the grace period left.
	firstRequestTimeout  = 400 * time.Millisecond
	firstRequestInterval = 10 * time.Millisecond
	// stopMargin is reserved at the end of the grace period.
	stopMargin = 300 * time.Millisecond
	// idleSession is how long an unused connection to another node is kept, and sessionCheck the interval between
	// checks for these.
	idleSession  = 20 * time.Second
	sessionCheck = 5 * time.Second
	// budgetShare is the share of the configured retry budget that is used.
	budgetShare = 0.8
)

// New returns a router that does nothing until Run is called.
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
		options: options, metrics: metrics.NewSet(), started: time.Now(), origin: options.Clock.Now(), removed: make(chan struct{}, 1), restored: make(chan struct{}, 1),
		backends: backend.NewRegistry(options.Clock.Now), storeHealth: newStoreHealth(options.Logger, options.Clock),
	}
	r.staleness = newStaleness()
	r.lateness = newTimerLateness(r.metrics)
	r.storeEpoch.Store(unknownEpoch)
	r.someNodesKnown, r.nodesKnown = newLatch(), newLatch()
	r.settings.Store(options.Settings)
	options.Environment.Dialect.Observe(r.handleNotice)
	r.dialect = limitedDialect{options.Environment.Dialect, r}
	r.replica = replica.New(options.Environment.ConfigurationKind, r.changed)
	stamps := timeline.NewClock(time.Now)
	r.client = peer.NewClient(options.Settings.Name, options.Dial, stamps)
	r.client.Observe(r.countCall)
	r.syncer = antientropy.New(antientropy.Options{
		Replica: r.replica, Peers: r.peers, Monitored: r.monitored, SameZone: r.isSameZone, RemoteRelays: r.remoteRelays, IsZoneRelay: r.isZoneRelay, Client: r.client, Logger: options.Logger,
		WatchesStore: r.watching.Load, Complete: r.backends.Synced, OnComplete: r.backendsComplete,
		Address: options.Settings.PeerAddress, LinkBytes: options.Settings.LinkBytes, Refetch: r.refetch,
	})
	r.coordinator = coordinator.New(coordinator.Options{Engines: r.engines, Shortlist: r.shortlist, ZoneOf: r.zoneOf, Nodes: r.responsiveCount, Now: r.now})
	r.assigner = coordinator.NewClient(r, r.client, r.coordinator, r.now)
	r.admission = admission.NewNode(r.Own(), r.now)
	r.controller = admission.NewController(admission.Options{Slots: r.plainSlots, Nodes: r.responsiveCount})
	r.admissions = admission.NewClient(r.admission, r.controller, r.client, r.assigner)
	r.quotaCoordinator = quota.NewCoordinator(quota.Options{Tenant: r.tenantNamed, Nodes: r.nodeCount, Tolerance: quota.Tolerance(options.Settings.QuotaTolerance)})
	r.quotas = quota.NewClient(quota.ClientOptions{
		Coordinators: r.assigner, Peers: r.client, LocalCoordinator: r.quotaCoordinator, LocalLimiter: quota.NewLocalLimiter(r.nodeCount, rand.Float64),
		Limited: r.anyTenantLimited, Now: r.now,
	})
	r.limits = backendlimit.NewClient(backendlimit.ClientOptions{
		Coordinators: r.assigner, Peers: r.client, LocalCoordinator: backendlimit.NewCoordinator(r.limitNodes),
		LocalLimiter: backendlimit.NewLocalLimiter(r.limitNodes, rand.Float64), Now: r.now,
	})
	r.newQuarantines()
	r.newStreams()
	r.retryShares.holder = retrybudget.NewHolder(options.Settings.RetryWindow, options.Clock.Now)
	r.server = peer.NewServer(r.handlePeer, stamps)
	r.newTunnels()
	r.roles = r.newRoleController()
	r.limitCallerConnections()
	r.limitCallerRequests()
	r.publishGauges()
	r.publishFreshness()
	r.gateway = gateway.New(gateway.Options{
		Clock:    options.Clock,
		Zone:     options.Settings.Zone,
		Dialect:  r.dialect,
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
		Streams:     r.streams,
		// The origin of a stream without a record is known if its service has had a single version.
		SoftwareVersions: recordedVersions{r.versionProver, r.versionPublisher},
		Admission:        r.admission,
		Freshness:        r.freshness,
		// Failures of this node's own link must not exclude engines that other nodes reach.
		FailureCounts: func(target backend.Backend, sent time.Time) bool {
			return r.tunnels.tracker.FailureCounts(target.Address, sent)
		},
		Metrics: r.metrics,
		Logger:  options.Logger,
	})
	return r
}

// gatewayCoordinator returns the coordinator that assigns engines, or nil if each node chooses them itself.
func (r *Router) gatewayCoordinator() gateway.Coordinator {
	if r.options.Placement == PlacementReservation {
		return nil
	}
	return r.assigner
}

// listeners are the open ports of a running router.
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
		{"callers", own.CallerAddress, &opened.callers}, {"the load balancer", own.ReadyAddress, &opened.ready},
		{"nodes", own.PeerAddress, &opened.peers}, {"metrics", own.MetricsAddress, &opened.metrics},
	} {
		listener, err := r.listenOn(port.address)
		if err != nil {
			return opened, errors.Wrapf(err, "listen for %s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}

// listenOn opens a port that accepts connections until it is closed.
func (r *Router) listenOn(address string) (net.Listener, error) {
	listener, err := r.options.Listen(address)
	if err != nil {
		return nil, err
	}
	return acceptretry.Wrap(listener, r.options.Logger), nil
}

// Run serves until the context ends, and then until the requests in progress have ended or the grace period is
// over.
func (r *Router) Run(ctx context.Context) error {
	r.options.Logger.Info("start", "build", buildName(), "zone", r.options.Settings.Zone, "metrics", r.options.Settings.MetricsAddress)
	ports, err := r.listen()
	if err != nil {
		return err
	}
	callerServer := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog(r.options.Logger, "callers"), ConnContext: callerconn.NewContext, ConnState: r.trackCaller,
	}
	metricsServer := &http.Server{Handler: r.metricsHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: serverLog(r.options.Logger, "metrics")}
	readyServer := &http.Server{Handler: r.readiness(), ReadHeaderTimeout: headerTimeout, ErrorLog: serverLog(r.options.Logger, "readiness")}
	// While it drains, the node continues to watch the store and to exchange objects with other nodes.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	group, _ := errgroup.WithContext(ctx)
	callers := callerconn.NewListener(ports.callers, r.options.Clock.Now)
	callers.SetGate(r.callerGate())
	group.Go(func() error { return serve(callerServer, callers) })
	group.Go(func() error { return serve(readyServer, ports.ready) })
	group.Go(func() error { return serve(metricsServer, ports.metrics) })
	group.Go(func() error { return servePeers(r.server, ports.peers) })
	for _, run := range r.backgroundTasks(ctx, watching) {
		group.Go(func() error { run(); return nil })
	}
	<-ctx.Done()
	r.stop(ctx, callerServer, callers)
	stopWatching()
	_ = readyServer.Close()
	_ = metricsServer.Close()
	_ = ports.peers.Close()
	r.client.Close()
	r.server.Close()
	err = group.Wait()
	r.options.Logger.Info("stopped")
	return err
}

// backgroundTasks returns the tasks that run concurrently with the servers: some until a planned stop begins, the
// others until the node has drained.
func (r *Router) backgroundTasks(untilStop, untilDrained context.Context) []func() {
	environment := r.options.Environment
	tasks := []func(){
		func() { r.watchStore(untilDrained, environment.ConfigurationKind, environment.BackendKind, kindNode) },
		func() { r.runSyncer(untilDrained) },
		func() { r.assigner.Run(untilDrained) },
		func() { r.admissions.Run(untilDrained) },
		func() { r.quotas.Run(untilDrained) },
		func() { r.quarantines.Run(untilDrained) },
		func() { r.afterNodesKnown(untilStop, r.reconcileArchive) },
		func() { r.afterNodesKnown(untilDrained, r.publishVersions) },
		func() { r.afterNodesKnown(untilStop, r.maintainRetryShares) },
		func() { r.pollReports(untilDrained) },
		func() { r.logSummaries(untilDrained) },
		func() { r.lateness.measure(untilDrained) },
		func() { r.callerDelays.Run(untilDrained) },
		func() { r.monitorLinks(untilDrained) },
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

// stop drains the node: callers are served until the load balancer sends no more, then idle connections are closed
// and the requests in progress are completed.
func (r *Router) stop(ctx context.Context, callerServer *http.Server, callers *callerconn.Listener) {
	started := time.Now()
	r.options.Logger.Info("stop", "grace_ms", r.options.Settings.Grace.Milliseconds())
	r.gateway.Drain()
	// Other nodes may receive this node's share of the retry budget as soon as it has withdrawn.
	r.retryShares.holder.Close()
	go r.withdraw(context.WithoutCancel(ctx))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), started.Add(r.options.Settings.Grace-stopMargin))
	defer cancel()
	timer := time.NewTimer(readyDelay)
	defer timer.Stop()
	<-timer.C
	callers.StopAccepting()
	awaitFirstRequests(ctx, callers)
	if err := callerServer.Shutdown(ctx); err != nil {
		r.options.Logger.Warn("grace period over, requests in progress cut off", "error", err.Error(), "requests", r.gateway.InProgress())
		callers.CloseAtOnce()
		_ = callerServer.Close()
	}
	r.stopTunnels(ctx)
}

// awaitFirstRequests waits until the first request of each connection has been read, for firstRequestTimeout at most. The server
// leaves requests that it reads once it is shut down without a response.
func awaitFirstRequests(ctx context.Context, callers *callerconn.Listener) {
	ctx, cancel := context.WithTimeout(ctx, firstRequestTimeout)
	defer cancel()
	for callers.Unbegun() > 0 {
		if periodic.Pause(ctx, firstRequestInterval) != nil {
			return
		}
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

// readiness answers the load balancer's health checks.
func (r *Router) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
