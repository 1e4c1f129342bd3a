package node

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/cluster"
	"github.com/reelrun/reelrun/completion"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/controller"
	"github.com/reelrun/reelrun/controller/engineorder"
	"github.com/reelrun/reelrun/controller/rolechange"
	"github.com/reelrun/reelrun/directory"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/machines"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/scheduler"
	"github.com/reelrun/reelrun/timeline"
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Name        string
	Zone        string
	PeerAddress string
	Seeds       []string
	// Dial opens connections to other nodes.
	Dial  peer.DialFunc
	Store objectapi.Store
	// Engines calls the model engines.
	Engines *engine.Client
	// Membership configures the membership protocol.
	Membership membership.Options
	// ResumeWindow is how long the stream of a failed node is kept, so that another
	// node can take it over.
	ResumeWindow time.Duration
	// Scheduler selects the routing policy. The zero value is the policy with
	// the best measured results.
	Scheduler scheduler.Options
	// ReconcileInterval is the time between two checks of the engines. Default 1s.
	ReconcileInterval time.Duration
	// EventCapacity bounds the events in the timeline. Default timeline.DefaultCapacity.
	EventCapacity int
	// Now reads the clock. Default time.Now.
	Now func() time.Time
	// LeaseNow reads the clock that measures leases for orders. It must also advance while the
	// machine is suspended. Default Now.
	LeaseNow func() time.Time
}

// Core is a node without its listeners for callers and operators.
type Core struct {
	options CoreOptions
	started time.Time

	Metrics       *metrics.Set
	Events        *timeline.Ring
	Configuration *configuration.Holder
	Table         *membership.Table
	Cluster       *cluster.Cluster
	Completions   *completion.Service
	Claims        *claim.Client
	Machines      *machines.List
	Owner         *owner.Owner

	client      *peer.Client
	server      *peer.Server
	members     *membership.Service
	syncer      *configuration.Syncer
	machineSync *machines.Syncer
	claimWriter *claim.Writer
	directory   *directory.Directory
	manager     *controller.Manager
	roleChanges *rolechange.Reconciler
	// quarantines tracks the requests that crash engines. quarantineArchive persists them in the
	// platform while this node is the quarantine coordinator.
	quarantines       *quarantine.Client
	quarantineArchive *quarantine.Archive
	// platformAnsweredAt is when the platform last answered, in nanoseconds since 1970.
	platformAnsweredAt atomic.Int64
	draining           atomic.Bool
	// isolated is set while the node has too little contact to accept new requests.
	isolated atomic.Bool
}

// NewCore assembles a core. It is idle until Run is called.
func NewCore(options CoreOptions) *Core {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.LeaseNow == nil {
		options.LeaseNow = options.Now
	}
	if options.EventCapacity == 0 {
		options.EventCapacity = timeline.DefaultCapacity
	}
	if options.ReconcileInterval == 0 {
		options.ReconcileInterval = time.Second
	}
	options.Membership.SetDefaults()
	c := &Core{options: options, started: options.Now()}
	clock := timeline.NewClock(options.Now)
	c.Metrics = metrics.NewSet()
	c.Events = timeline.NewRing(options.Name, clock, options.EventCapacity)
	c.Configuration = configuration.NewHolder()
	self := membership.Member{
		Name: options.Name, Zone: options.Zone, Address: options.PeerAddress,
		Incarnation: uint64(clock.Now()), State: membership.StateStarting,
	}
	c.Table = membership.NewTable(self, options.Membership)
	c.client = peer.NewClient(options.Name, options.Dial, clock)
	c.server = peer.NewServer(c.handle, clock)
	c.Cluster = cluster.New(c.Table, c.client, c.handle, options.Now)
	c.assembleSync()
	c.assembleQuarantine()
	c.assembleServing(self)
	c.assembleControllers(self)
	return c
}

// assembleSync builds the components that synchronize with the platform and the other nodes.
func (c *Core) assembleSync() {
	store := &observedStore{Store: c.options.Store, onResponse: c.recordPlatformResponse}
	c.syncer = configuration.NewSyncer(c.Configuration, store, c.Cluster, c.client, c.Metrics, c.options.Now)
	c.Machines = machines.NewList(c.options.Now)
	c.members = membership.NewService(membership.ServiceOptions{
		Table: c.Table, Caller: c.client, Payload: c.fillHeartbeat, Observer: c.observeHeartbeat,
		Seeds: c.options.Seeds, Now: c.options.Now,
	})
	c.machineSync = machines.NewSyncer(c.Machines, store, c.Cluster, c.client, c.Metrics, c.members.Announce)
	c.Configuration.OnChange(func(snapshot *configuration.Snapshot) {
		c.Metrics.Add("configuration_changes", 1)
		c.Events.Record(timeline.Event{Kind: "configuration-in-force", Detail: versionText(snapshot.Version())})
		c.members.Announce()
	})
}

// assembleServing builds the components that serve requests and calls of other nodes.
func (c *Core) assembleServing(self membership.Member) {
	c.claimWriter = claim.NewWriter(c.options.Store, c.Metrics, c.options.Now)
	c.Claims = claim.NewClient(c.Cluster)
	c.directory = directory.New(c.options.Now)
	c.Owner = owner.New(owner.Options{
		Configuration: c.Configuration, Engines: c.options.Engines, Members: c.Cluster, Leaving: c.Machines.IsLeaving,
		Scheduler: c.options.Scheduler, Metrics: c.Metrics, Events: c.Events, Epoch: self.Incarnation,
		ResumeWindow: c.options.ResumeWindow, Now: c.options.Now,
	})
	c.Completions = completion.NewService(completion.Options{
		Cluster: c.Cluster, Engines: c.options.Engines, Metrics: c.Metrics, Events: c.Events, Now: c.options.Now,
		Quarantine: c.quarantines,
	})
}

func (c *Core) assembleControllers(self membership.Member) {
	c.manager = controller.NewManager(c.Metrics)
	c.manager.Add(controller.Controller{
		Name: "pools", Reconciler: c.Owner, Requests: c.Owner.Requests, Interval: c.options.ReconcileInterval,
	})
	orders := engineorder.New(engineorder.Options{
		Configuration: c.Configuration, Store: c.options.Store, Engines: c.options.Engines, Owner: c.Cluster,
		Metrics: c.Metrics, Events: c.Events, Holder: holderName(self), Now: c.options.LeaseNow,
	})
	c.roleChanges = rolechange.New(rolechange.Options{
		Configuration: c.Configuration, Demand: c.Owner, Metrics: c.Metrics, Events: c.Events, Now: c.options.Now,
		Acceptor: operator.Acceptor{Configuration: c.Configuration, Store: c.options.Store, SeesHalf: c.SeesHalf},
	})
	const roleInterval = 5 * time.Second
	c.manager.Add(controller.Controller{Name: "role_changes", Reconciler: c.roleChanges, Requests: c.roleChanges.Requests, Interval: roleInterval})
	const orderInterval = 5 * time.Second
	c.manager.Add(controller.Controller{Name: "engine_orders", Reconciler: orders, Requests: orders.Requests, Interval: orderInterval})
	c.manager.Add(controller.Controller{Name: "completions", Reconciler: reconcileFunc(c.Completions.Reconcile), Interval: c.options.Membership.Interval})
	c.manager.Add(controller.Controller{Name: "machines", Reconciler: reconcileFunc(c.machineSync.EnsureFresh)})
	c.manager.Add(controller.Controller{Name: "readiness", Reconciler: reconcileFunc(c.reconcileReadiness), Interval: c.options.Membership.Interval / 2})
	c.manager.Add(controller.Controller{Name: "quarantines", Reconciler: reconcileFunc(c.reconcileArchive), Interval: archiveInterval})
	const sweepInterval = time.Minute
	c.manager.Add(controller.Controller{Name: "claims", Reconciler: reconcileFunc(c.sweepClaims), Interval: sweepInterval})
}

// reconcileFunc adapts a function that reconciles a single, unnamed object.
func reconcileFunc(run func(context.Context)) controller.Reconciler {
	return controller.ReconcilerFunc(func(ctx context.Context, _ controller.Request) (controller.Result, error) {
		run(ctx)
		return controller.Result{}, nil
	})
}

// sweepClaims deletes the expired claims of the shards that the node owns.
func (c *Core) sweepClaims(ctx context.Context) {
	c.claimWriter.Sweep(ctx, func(shard int) bool { return c.Cluster.Owns("", claim.OwnerKey(shard)) })
}

// Run serves peers on the listener until the context is done.
func (c *Core) Run(ctx context.Context, listener net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){c.members.Run, c.syncer.Run, c.machineSync.Run, c.manager.Run, c.quarantines.Run} {
		running.Add(1)
		go func() {
			defer running.Done()
			run(ctx)
		}()
	}
	<-ctx.Done()
	running.Wait()
	c.claimWriter.Wait()
	c.Completions.Close()
	_ = listener.Close()
	c.server.Close()
	c.client.Close()
	<-served
	return nil
}

func (c *Core) recordPlatformResponse() { c.platformAnsweredAt.Store(c.options.Now().UnixNano()) }

// status is the status report of a node.
type status struct {
	Node    membership.Member  `json:"node"`
	State   string             `json:"state"`
	Version uint64             `json:"configuration_version"`
	Live    int                `json:"live_nodes"`
	Pools   []owner.PoolStatus `json:"pools,omitempty"`
	Grants  int                `json:"grants"`
	// Advice lists recommended role changes for the pools that the node owns.
	Advice  []rolechange.Advice `json:"advice,omitempty"`
	Metrics json.RawMessage     `json:"metrics"`
}

// Status returns the node's status as JSON.
func (c *Core) Status() ([]byte, error) {
	self := c.Table.Self()
	return json.Marshal(status{
		Node: self, State: self.State.String(), Version: c.Configuration.Current().Version(),
		Live: len(c.Cluster.Live()), Pools: c.Owner.Status(), Grants: c.Completions.HeldGrants(), Advice: c.roleChanges.Advice(), Metrics: json.RawMessage(c.Metrics.String()),
	})
}

// fillHeartbeat adds the version of the configuration, and the revision and age of the machine list,
// which peers compare with their own.
func (c *Core) fillHeartbeat(heartbeat *peerpb.Heartbeat) {
	heartbeat.ConfigurationVersion = c.Configuration.Current().Version()
	heartbeat.MachinesRevision = c.Machines.Revision()
	heartbeat.MachinesAgeMs = uint64(c.Machines.Age().Milliseconds())
}

func (c *Core) observeHeartbeat(address string, heartbeat *peerpb.Heartbeat) {
	c.syncer.Observe(address, heartbeat.GetConfigurationVersion())
	c.machineSync.Observe(address, heartbeat.GetMachinesRevision(), time.Duration(heartbeat.GetMachinesAgeMs())*time.Millisecond)
}
