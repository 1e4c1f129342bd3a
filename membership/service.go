package membership

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/tasks"
)

// PeerCaller calls another node.
type PeerCaller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
	Reset(address string)
}

// Payload sets the fields of a heartbeat that belong to other packages.
type Payload func(heartbeat *peerpb.Heartbeat)

// Observer is called for each heartbeat received, with the address of its
// sender.
type Observer func(address string, heartbeat *peerpb.Heartbeat)

// Service exchanges heartbeats with other nodes.
type Service struct {
	table    *Table
	caller   PeerCaller
	payload  Payload
	observer Observer
	seeds    []string
	now      func() time.Time

	wake    chan struct{}
	running tasks.Group
}

// ServiceOptions are the dependencies of a Service.
type ServiceOptions struct {
	Table    *Table
	Caller   PeerCaller
	Payload  Payload
	Observer Observer
	// Seeds are addresses to contact while no other node is known.
	Seeds []string
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// NewService returns a service that does nothing until Run is called.
func NewService(options ServiceOptions) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{
		table: options.Table, caller: options.Caller, payload: options.Payload, observer: options.Observer,
		seeds: options.Seeds, now: options.Now, wake: make(chan struct{}, 1),
	}
}

// ticksPerInterval is the number of checks for due heartbeats per interval.
const ticksPerInterval = 4

// Run exchanges heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.table.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	defer s.running.Close()
	s.joinSeeds(ctx)
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.exchangeAll(ctx)
		case <-ticker.C:
			s.table.Tick(s.now())
			s.exchangeDue(ctx)
			if round%(ticksPerInterval*retryIntervals) == 0 {
				s.joinSeeds(ctx)
			}
		}
	}
}

// Announce sends a heartbeat to every live node of the zone at once. It is
// called when the node's state or configuration has changed.
func (s *Service) Announce() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) exchangeDue(ctx context.Context) {
	for _, target := range s.table.Targets(s.now()) {
		s.start(ctx, target)
	}
}

func (s *Service) exchangeAll(ctx context.Context) {
	self := s.table.Self()
	for _, member := range s.table.ZoneMembers(s.now(), self.Zone) {
		if member.Name != self.Name {
			s.start(ctx, Target{Name: member.Name, Zone: member.Zone, Address: member.Address})
		}
	}
	for _, target := range s.table.RemoteContacts(s.now()) {
		s.start(ctx, target)
	}
}

// joinSeeds contacts the seeds that are not live contacts. Only the
// representatives of a zone and a node without live contacts do so: the other
// nodes learn of other zones from them.
func (s *Service) joinSeeds(ctx context.Context) {
	self := s.table.Self()
	if !s.table.IsRepresentative(s.now()) {
		return
	}
	for _, address := range s.seeds {
		if address != self.Address && !s.table.HasLiveAddress(s.now(), address) {
			s.start(ctx, Target{Address: address, Join: true})
		}
	}
}

func (s *Service) start(ctx context.Context, target Target) {
	s.running.Go(func() { s.exchange(ctx, target) })
}

func (s *Service) exchange(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, s.table.options.FailureTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: s.heartbeat(target.Zone)}}
	response, err := s.caller.Call(ctx, target.Address, request)
	if err != nil {
		// If the table has recent heartbeats of the node, it is only slow, and a new
		// connection would add to its load.
		if !s.table.HasLiveAddress(s.now(), target.Address) {
			s.caller.Reset(target.Address)
		}
		return
	}
	received := response.GetHeartbeat()
	stale := s.observe(received)
	if target.Join {
		stale = s.table.ZonesToFetch(s.now(), received.GetMember().GetZone())
	}
	for _, zone := range stale {
		s.fetch(ctx, target.Address, zone)
	}
	if s.needsZoneDiscovery(received) {
		s.discoverZones(ctx, target.Address)
	}
}

// needsZoneDiscovery reports whether the sender of a heartbeat must be asked
// for the zones that it knows.
func (s *Service) needsZoneDiscovery(heartbeat *peerpb.Heartbeat) bool {
	return s.table.NeedsZoneDiscovery(s.now(), heartbeat.GetMember().GetZone(), heartbeat.GetZonesDigest())
}

// discoverZones requests from a node of another zone the representatives that it
// knows, and remembers those of zones that this node does not reach. Seeds may
// exist in some zones only; the other zones discover each other in this way.
func (s *Service) discoverZones(ctx context.Context, address string) {
	request := &peerpb.Request{Body: &peerpb.Request_FetchZone{FetchZone: &peerpb.FetchZone{Zone: s.table.Self().Zone, Representatives: true}}}
	response, err := s.caller.Call(ctx, address, request)
	if err != nil {
		return // The request is repeated after zoneDiscoveryIntervals.
	}
	s.table.AddHints(s.now(), membersOf(response.GetZoneView()))
}

func membersOf(view *peerpb.ZoneView) []Member {
	members := make([]Member, len(view.GetMembers()))
	for i, message := range view.GetMembers() {
		members[i] = memberOf(message)
	}
	return members
}

func (s *Service) heartbeat(receiverZone string) *peerpb.Heartbeat {
	heartbeat := &peerpb.Heartbeat{
		Member:  s.table.Self().message(),
		Digests: s.table.Digests(s.now(), receiverZone),
	}
	if receiverZone != "" && receiverZone != s.table.Self().Zone {
		heartbeat.ZonesDigest = s.table.ZonesDigest(s.now())
	}
	s.payload(heartbeat)
	return heartbeat
}

// observe records a heartbeat and returns the zones to fetch from its sender.
func (s *Service) observe(heartbeat *peerpb.Heartbeat) []string {
	member := memberOf(heartbeat.GetMember())
	if !s.table.ObserveMember(s.now(), member) {
		return nil
	}
	s.observer(member.Address, heartbeat)
	return s.table.ObserveDigests(s.now(), heartbeat.GetDigests())
}

// fetch requests from a node the members of one zone, or of all zones if zone is
// empty.
func (s *Service) fetch(ctx context.Context, address, zone string) {
	request := &peerpb.Request{Body: &peerpb.Request_FetchZone{FetchZone: &peerpb.FetchZone{Zone: zone}}}
	response, err := s.caller.Call(ctx, address, request)
	if err != nil {
		return
	}
	byZone := map[string][]Member{}
	for _, member := range membersOf(response.GetZoneView()) {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	for zone, members := range byZone {
		s.table.ReplaceZone(s.now(), zone, members, 0)
	}
}

// HandleHeartbeat answers a heartbeat with the node's own.
func (s *Service) HandleHeartbeat(ctx context.Context, received *peerpb.Heartbeat) *peerpb.Heartbeat {
	stale := s.observe(received)
	discover := s.needsZoneDiscovery(received)
	if len(stale) > 0 || discover {
		s.fetchLater(ctx, received.GetMember().GetAddress(), stale, discover)
	}
	return s.heartbeat(received.GetMember().GetZone())
}

func (s *Service) fetchLater(ctx context.Context, address string, zones []string, discover bool) {
	s.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, s.table.options.FailureTimeout)
		defer cancel()
		for _, zone := range zones {
			s.fetch(ctx, address, zone)
		}
		if discover {
			s.discoverZones(ctx, address)
		}
	})
}

// HandleFetchZone returns the members of the requested zone, or of all zones if
// none is named. A request for representatives gets those of all zones instead,
// with this node's live contacts in the named zone.
func (s *Service) HandleFetchZone(request *peerpb.FetchZone) *peerpb.ZoneView {
	var members []Member
	switch {
	case request.GetRepresentatives():
		members = s.table.LiveRepresentatives(s.now(), request.GetZone())
	case request.GetZone() == "":
		members = s.table.Live(s.now())
	default:
		members = s.table.ZoneMembers(s.now(), request.GetZone())
	}
	view := &peerpb.ZoneView{Members: make([]*peerpb.Member, len(members))}
	for i, member := range members {
		view.Members[i] = member.message()
	}
	return view
}
