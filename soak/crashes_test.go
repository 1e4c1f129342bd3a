package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// crashText is in the bodies of requests that end the back ends which run them.
	crashText = "ends its back end"
	// crashAfter is how long such a request runs, and crashedFor how long its back end is away.
	crashAfter = 50 * time.Millisecond
	crashedFor = time.Second
	// crashLapses is when the entry of a crashed back end goes.
	crashLapses = 2 * time.Second
	// crashesBefore is after how many crashes a request is kept away, for crashKeptAway at least,
	// and crashKnown when all undisturbed nodes know that.
	crashesBefore = 2
	crashKeptAway = 30 * time.Second
	crashKnown    = 3 * time.Second
	// crashReturns is how many of its returns may reach back ends all the same: the evidence of a
	// node that is killed is lost.
	crashReturns = 3
	// crashStream numbers the random stream of the callers of such requests.
	crashStream = 4
	// crashPause is the mean pause between two returns.
	crashPause = 400 * time.Millisecond
)

// crash ends a back end. Another one starts elsewhere after a while, and its entry lapses.
func (w *world) crash(b *backEnd) {
	b.crashed.Do(func() {
		w.troubled(time.Now(), time.Now().Add(crashLapses))
		w.mu.Lock()
		w.crashes = append(w.crashes, time.Now())
		w.mu.Unlock()
		stage := b.stage
		if b.engine != nil {
			stage = b.engine.Stage()
		}
		w.restarting.Go(func() {
			b.proxy.close()
			_ = b.web.Close()
			time.Sleep(crashedFor)
			w.addBackEnd(b.service, stage)
			time.Sleep(crashLapses - crashedFor)
			w.store.Remove("servers", b.id)
		})
	})
}

// crashReturn is one return of a request that crashes back ends.
type crashReturn struct {
	id   string
	node int
	sent time.Time
}

// crashCaller sends one request that crashes back ends, again and again, to any node.
type crashCaller struct {
	world    *world
	stopping chan struct{}
	done     sync.WaitGroup
	returns  []crashReturn
}

func startCrashCaller(w *world, seed uint64) *crashCaller {
	c := &crashCaller{world: w, stopping: make(chan struct{})}
	random := rand.New(rand.NewPCG(seed, crashStream))
	c.done.Go(func() { c.run(fmt.Sprintf("crash%d-%d", seed, os.Getpid()), random) })
	return c
}

func (c *crashCaller) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	k := []kind{kindOnce, kindAgain, kindStream, kindResume}[random.IntN(4)]
	body := fmt.Sprint(crashText, " ", prefix)
	for {
		select {
		case <-c.stopping:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * crashPause)))):
		}
		next := crashReturn{id: fmt.Sprintf("%s-%d", prefix, len(c.returns)), node: random.IntN(len(c.world.nodes)), sent: time.Now()}
		c.returns = append(c.returns, next)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		askBody(ctx, transport, c.world.nodes[next.node], k, next.id, body)
		cancel()
	}
}

// askBody sends a request with a body of its own and reads the answer to its end, whatever it is.
func askBody(ctx context.Context, transport http.RoundTripper, n *node, k kind, id, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/%s/x", n.ports[0], k), strings.NewReader(body))
	if err != nil {
		return
	}
	n.requests.add(k, time.Now())
	request.Host, request.GetBody = routeHost, nil
	caller := standin.CallerHeaders{ID: id, Wait: 4 * time.Second, PromptTokens: 3000, MaxOutputTokens: 2000, LengthHint: 600, Key: keyOf(steadyTenant)}
	caller.Set(request.Header)
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// stop ends the caller and returns what it sent.
func (c *crashCaller) stop() []crashReturn {
	close(c.stopping)
	c.done.Wait()
	return c.returns
}

// judgeCrashes returns what broke the promise that a request which has crashed its back ends reaches
// no more of them. Returns to nodes that were disturbed in the time before say nothing.
func judgeCrashes(returns []crashReturn, crashes []time.Time, received map[string][]standin.Run, disturbances []disturbance) []string {
	if len(crashes) < crashesBefore {
		return nil
	}
	from := crashes[crashesBefore-1].Add(crashKnown)
	until := crashes[crashesBefore-1].Add(crashKeptAway)
	var reached []string
	for _, one := range returns {
		around := observation{node: one.node, began: one.sent.Add(-crashKnown), ended: one.sent.Add(time.Second)}
		if one.sent.Before(from) || one.sent.After(until) || disturbed(around, disturbances) {
			continue
		}
		if len(received[one.id]) > 0 {
			reached = append(reached, one.id)
		}
	}
	if len(reached) <= crashReturns {
		return nil
	}
	return []string{fmt.Sprintf("a request that ended %d back ends reached them %d times more: %v", len(crashes), len(reached), reached)}
}

// TestJudgeNoticesCrashes counts returns: early ones, those of disturbed nodes and a few are allowed.
func TestJudgeNoticesCrashes(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	received := map[string][]standin.Run{}
	var returns []crashReturn
	for second := range 10 {
		id := strconv.Itoa(second)
		returns = append(returns, crashReturn{id: id, sent: at(second)})
		received[id] = []standin.Run{{ID: id}}
	}
	crashes := []time.Time{at(0), at(1)}
	g.Expect(judgeCrashes(returns[:7], crashes, received, nil)).To(BeEmpty())
	g.Expect(judgeCrashes(returns, crashes, received, nil)).To(HaveLen(1))
	g.Expect(judgeCrashes(returns, crashes[:1], received, nil)).To(BeEmpty())
	g.Expect(judgeCrashes(returns, crashes, received, []disturbance{{node: 0, from: at(5), to: at(9)}})).To(BeEmpty())
	g.Expect(judgeCrashes(returns, crashes, nil, nil)).To(BeEmpty())
}
