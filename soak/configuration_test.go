package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// configurationStream numbers the random stream of the faults injected during configuration changes.
	configurationStream = 7
	// applyTime is the time from its acknowledgement within which a configuration must be active at every connected
	// node, and reconnectTime how long after its last disturbance a node counts as connected again.
	applyTime     = 3 * time.Second
	reconnectTime = 4 * time.Second
	// configurationNodes is above the number of nodes that watch the store.
	configurationNodes = 16
	configurationZones = 3
)

// TestSoakConfigurations changes the configuration repeatedly while nodes are killed, frozen and restarted and the
// store is unreachable. Most nodes of this fleet receive changes from other nodes, not from the store.
func TestSoakConfigurations(t *testing.T) {
	for _, seed := range configurationSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakConfigurations(t, seed) })
	}
}

// configurationSeeds returns the seed set in the environment, or the default seed.
func configurationSeeds(t *testing.T) []uint64 { return seeds(t)[:1] }

func soakConfigurations(t *testing.T, seed uint64) {
	h := newHarnessWith(t, seed, harnessOptions{nodes: environmentNodes(t, configurationNodes), zones: configurationZones, engines: 6, plain: 4, firstStart: true})
	defer h.close()
	defer h.saveLogs(seed)
	h.awaitReady()
	h.endFirstStart()
	checks := &configurationChecks{harness: h}
	faults := rand.New(rand.NewPCG(seed, configurationStream))
	until := time.Now().Add(environmentDuration(t))
	var running sync.WaitGroup
	running.Go(func() { checks.addRoutes(rand.New(rand.NewPCG(seed, seed)), until) })
	running.Go(func() { h.injectRestores(rand.New(rand.NewPCG(seed, restoreStream)), time.Until(until)) })
	for time.Now().Before(until) {
		inject := h.drawNodeFault(faults)
		running.Go(inject)
		time.Sleep(time.Duration(200+faults.IntN(1300)) * time.Millisecond)
	}
	running.Wait()
	h.clearFaults()
	checks.sending.Wait()
	time.Sleep(reconnectTime)
	// After all faults have ended, a last change must reach every node.
	checks.addRoute()
	checks.sending.Wait()
	violations, checked := checks.check()
	t.Logf("seed %d: %d nodes, %d configurations, %d of %d responses checked", seed, len(h.nodes), len(h.addedRoutes), checked, len(checks.responses))
	if checked < len(h.nodes) {
		t.Errorf("only %d responses checked", checked)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}

// endFirstStart records that all nodes have started together; later starts are of single nodes.
func (h *harness) endFirstStart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstStart = false
}

// drawNodeFault returns a fault of nodes or of their connections to the store, with all random values already drawn.
func (h *harness) drawNodeFault(random *rand.Rand) func() {
	n := h.nodes[random.IntN(len(h.nodes))]
	nodes := random.Perm(len(h.nodes))[:len(h.nodes)/3]
	faultDuration := time.Duration(200+random.IntN(3000)) * time.Millisecond
	mode := []proxyMode{modeDelay, modeHold, modeOneWay, modeRefuse}[random.IntN(4)]
	each := func(do func(n *node)) func() {
		return func() {
			var all sync.WaitGroup
			for _, index := range nodes {
				all.Go(func() { do(h.nodes[index]) })
			}
			all.Wait()
		}
	}
	switch random.IntN(7) {
	case 0:
		return func() { h.freeze(n, faultDuration) }
	case 1:
		return func() { h.kill(n, faultDuration) }
	case 2:
		return each(func(n *node) { h.kill(n, faultDuration) })
	case 3:
		return func() {
			end := h.recordDisturbance(n)
			h.restart(n)
			end()
		}
	case 4:
		return each(func(n *node) { h.interruptConnections(n.store, mode, faultDuration) })
	case 5:
		return each(func(n *node) { n.store.stall(true, true) })
	default:
		return func() { n.store.reset() }
	}
}

// configurationResponse is a node's response to a request on an added route.
type configurationResponse struct {
	node    int
	route   string
	sent    time.Time
	status  int
	addedAt time.Time
}

// configurationChecks adds routes and sends requests for them to all nodes.
type configurationChecks struct {
	harness *harness
	sending sync.WaitGroup

	mu        sync.Mutex
	responses []configurationResponse
}

// addRoutes adds routes one after the other until the given time.
func (c *configurationChecks) addRoutes(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		c.addRoute()
		time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
	}
}

// addRoute stores a configuration with one more route, and sends each node a request for it when it has to be
// active and at two later times.
func (c *configurationChecks) addRoute() {
	route := c.harness.nextAddedRoute()
	c.harness.configure()
	added := time.Now()
	for _, n := range c.harness.nodes {
		c.sending.Go(func() {
			for _, after := range []time.Duration{applyTime, applyTime + reconnectTime/2, applyTime + reconnectTime} {
				time.Sleep(time.Until(added.Add(after)))
				c.send(n, route, added)
			}
		})
	}
}

// nextAddedRoute returns the name of a new route, which is part of all later versions.
func (h *harness) nextAddedRoute() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	route := fmt.Sprintf("added%d", len(h.addedRoutes))
	h.addedRoutes = append(h.addedRoutes, route)
	return route
}

func (c *configurationChecks) send(n *node, route string, addedAt time.Time) {
	response := configurationResponse{node: n.index, route: route, sent: time.Now(), addedAt: addedAt}
	o := send(&http.Transport{DisableKeepAlives: true}, n, kind(route), fmt.Sprintf("%s-%d-%d", route, n.index, response.sent.UnixNano()), true, steadyTenant)
	response.status = o.status
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, response)
}

// check returns which connected nodes did not have a route that was active, and how many responses came from
// connected nodes.
func (c *configurationChecks) check() (violations []string, checked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, response := range c.responses {
		if response.status == 0 || !c.harness.connected(response.node, response.sent) {
			continue
		}
		checked++
		if response.status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("node %d does not have route %s %v after it was acknowledged",
				response.node, response.route, response.sent.Sub(response.addedAt)))
		}
	}
	return violations, checked
}

// connected reports whether neither a node nor its connections to the store were disturbed in the reconnectTime
// before a time.
func (h *harness) connected(index int, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := at.Add(-reconnectTime)
	for _, d := range h.disturbances {
		if d.node == index && d.overlaps(from, at) {
			return false
		}
	}
	for _, start := range h.starts {
		if start.node == index && start.at.After(from) && start.at.Before(at) {
			return false
		}
	}
	for _, d := range h.nodes[index].store.interruptions() {
		if d.overlaps(from, at) {
			return false
		}
	}
	return true
}

// overlaps reports whether a disturbance overlaps a period.
func (d disturbance) overlaps(from, to time.Time) bool { return d.from.Before(to) && d.to.After(from) }

// TestConnectedDetectsEachDisturbance checks a node before, during and after a disturbance.
func TestConnectedDetectsEachDisturbance(t *testing.T) {
	g := NewWithT(t)
	storeProxy, err := newProxy("127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	defer storeProxy.close()
	moment := time.Unix(1000, 0)
	h := &harness{
		nodes:        []*node{{index: 0, store: storeProxy}, {index: 1, store: storeProxy}},
		disturbances: []disturbance{{node: 0, from: moment, to: moment.Add(time.Second)}},
	}
	for after, want := range map[time.Duration]bool{
		-time.Second: true, time.Second / 2: false, 2 * time.Second: false, time.Second + reconnectTime: true,
	} {
		g.Expect(h.connected(0, moment.Add(after))).To(Equal(want), "%v after the disturbance began", after)
		g.Expect(h.connected(1, moment.Add(after))).To(BeTrue())
	}
	storeProxy.stall(true, true)
	g.Expect(h.connected(1, time.Now().Add(reconnectTime/2))).To(BeFalse())
	g.Expect(h.connected(1, time.Now().Add(2*reconnectTime))).To(BeTrue())
}
