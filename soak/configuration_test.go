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
	// configurationStream numbers the random stream of the faults beside changes of the configuration.
	configurationStream = 7
	// applyTime is how long after its acknowledgement a configuration is in force at every node in touch, and
	// contactTime how long after its last disturbance a node is in touch.
	applyTime   = 3 * time.Second
	contactTime = 4 * time.Second
	// configurationNodes is above the number of nodes that follow the store.
	configurationNodes = 16
	configurationZones = 3
)

// TestSoakConfigurations changes the configuration in series while nodes are killed, frozen and restarted and the
// store is out of reach, in a fleet most of which hears of changes from other nodes.
func TestSoakConfigurations(t *testing.T) {
	for _, seed := range configurationSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakConfigurations(t, seed) })
	}
}

// configurationSeeds returns the seed that the environment names, or the default one.
func configurationSeeds(t *testing.T) []uint64 { return seeds(t)[:1] }

func soakConfigurations(t *testing.T, seed uint64) {
	w := newFleet(t, seed, fleetShape{nodes: environmentNodes(t, configurationNodes), zones: configurationZones, engines: 6, plain: 4, firstStart: true})
	defer w.close()
	defer w.keepLogs(seed)
	w.awaitReady()
	w.startedFirst()
	checks := &configurationChecks{world: w}
	faults := rand.New(rand.NewPCG(seed, configurationStream))
	until := time.Now().Add(environmentDuration(t))
	var running sync.WaitGroup
	running.Go(func() { checks.change(rand.New(rand.NewPCG(seed, seed)), until) })
	for time.Now().Before(until) {
		inject := w.drawOfNodes(faults)
		running.Go(inject)
		time.Sleep(time.Duration(200+faults.IntN(1300)) * time.Millisecond)
	}
	running.Wait()
	w.heal()
	checks.asking.Wait()
	time.Sleep(contactTime)
	// Once all is calm a last change reaches every node.
	checks.addRoute()
	checks.asking.Wait()
	violations, judged := checks.judge()
	t.Logf("seed %d: %d nodes, %d configurations, %d of %d answers judged", seed, len(w.nodes), len(w.added), judged, len(checks.answers))
	if judged < len(w.nodes) {
		t.Errorf("only %d answers judged", judged)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}

// startedFirst notes that the nodes have started together; later starts are of single ones.
func (w *world) startedFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstStart = false
}

// drawOfNodes returns a fault of nodes or of their way to the store, with all its chances taken.
func (w *world) drawOfNodes(random *rand.Rand) func() {
	n := w.nodes[random.IntN(len(w.nodes))]
	several := random.Perm(len(w.nodes))[:len(w.nodes)/3]
	lasting := time.Duration(200+random.IntN(3000)) * time.Millisecond
	mode := []proxyMode{modeDelay, modeSilent, modeOneWay, modeRefuse}[random.IntN(4)]
	each := func(do func(n *node)) func() {
		return func() {
			var all sync.WaitGroup
			for _, index := range several {
				all.Go(func() { do(w.nodes[index]) })
			}
			all.Wait()
		}
	}
	switch random.IntN(7) {
	case 0:
		return func() { w.freeze(n, lasting) }
	case 1:
		return func() { w.kill(n, lasting) }
	case 2:
		return each(func(n *node) { w.kill(n, lasting) })
	case 3:
		return func() {
			end := w.disturb(n)
			w.restart(n)
			end()
		}
	case 4:
		return each(func(n *node) { w.hold(n.store, mode, lasting) })
	case 5:
		return each(func(n *node) { n.store.silence(true, true) })
	default:
		return func() { n.store.reset() }
	}
}

// configurationAnswer is what a node answered to a request on an added route.
type configurationAnswer struct {
	node    int
	route   string
	sent    time.Time
	status  int
	addedAt time.Time
}

// configurationChecks adds routes and asks all nodes for them.
type configurationChecks struct {
	world  *world
	asking sync.WaitGroup

	mu      sync.Mutex
	answers []configurationAnswer
}

// change adds routes in series until a moment.
func (c *configurationChecks) change(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		c.addRoute()
		time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
	}
}

// addRoute has the store take a configuration with one more route, and asks each node for it when it has to be in
// force and twice later.
func (c *configurationChecks) addRoute() {
	route := c.world.nextAdded()
	c.world.configure()
	added := time.Now()
	for _, n := range c.world.nodes {
		c.asking.Go(func() {
			for _, after := range []time.Duration{applyTime, applyTime + contactTime/2, applyTime + contactTime} {
				time.Sleep(time.Until(added.Add(after)))
				c.ask(n, route, added)
			}
		})
	}
}

// nextAdded names a route that all later versions have.
func (w *world) nextAdded() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	route := fmt.Sprintf("added%d", len(w.added))
	w.added = append(w.added, route)
	return route
}

func (c *configurationChecks) ask(n *node, route string, addedAt time.Time) {
	answer := configurationAnswer{node: n.index, route: route, sent: time.Now(), addedAt: addedAt}
	o := ask(&http.Transport{DisableKeepAlives: true}, n, kind(route), fmt.Sprintf("%s-%d-%d", route, n.index, answer.sent.UnixNano()), true, steadyTenant)
	answer.status = o.status
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer)
}

// judge returns which nodes in touch refused a route that was in force, and how many answers were of such nodes.
func (c *configurationChecks) judge() (violations []string, judged int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answer := range c.answers {
		if answer.status == 0 || !c.world.inTouch(answer.node, answer.sent) {
			continue
		}
		judged++
		if answer.status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("node %d does not have route %s %v after it was acknowledged",
				answer.node, answer.route, answer.sent.Sub(answer.addedAt)))
		}
	}
	return violations, judged
}

// inTouch reports whether nothing has disturbed a node, or its way to the store, for contactTime before a moment.
func (w *world) inTouch(index int, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := at.Add(-contactTime)
	for _, d := range w.disturbances {
		if d.node == index && d.overlaps(from, at) {
			return false
		}
	}
	for _, start := range w.starts {
		if start.node == index && start.at.After(from) && start.at.Before(at) {
			return false
		}
	}
	for _, d := range w.nodes[index].store.troubled() {
		if d.overlaps(from, at) {
			return false
		}
	}
	return true
}

// overlaps reports whether a disturbance lasted into a time.
func (d disturbance) overlaps(from, to time.Time) bool { return d.from.Before(to) && d.to.After(from) }

// TestInTouchNoticesEachDisturbance looks at a node before, while and after it is disturbed.
func TestInTouchNoticesEachDisturbance(t *testing.T) {
	g := NewWithT(t)
	storeProxy, err := newProxy("127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	defer storeProxy.close()
	moment := time.Unix(1000, 0)
	w := &world{
		nodes:        []*node{{index: 0, store: storeProxy}, {index: 1, store: storeProxy}},
		disturbances: []disturbance{{node: 0, from: moment, to: moment.Add(time.Second)}},
	}
	for after, want := range map[time.Duration]bool{
		-time.Second: true, time.Second / 2: false, 2 * time.Second: false, time.Second + contactTime: true,
	} {
		g.Expect(w.inTouch(0, moment.Add(after))).To(Equal(want), "%v after it began", after)
		g.Expect(w.inTouch(1, moment.Add(after))).To(BeTrue())
	}
	storeProxy.silence(true, true)
	g.Expect(w.inTouch(1, time.Now().Add(contactTime/2))).To(BeFalse())
	g.Expect(w.inTouch(1, time.Now().Add(2*contactTime))).To(BeTrue())
}
