package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// leaverCount is how many callers leave before their answers are whole.
	leaverCount = 3
	// outlivesAfter is how long after its caller has left a request may still be worked on.
	outlivesAfter = 500 * time.Millisecond
	// outlivedShare is the share of such requests that may be worked on longer, and
	// fewestDepartures is from how many on a share says something.
	outlivedShare    = 0.25
	fewestDepartures = 8
)

// departure is a caller that closed its connection before the end of its answer.
type departure struct {
	id   string
	node int
	// sent is when its request began, and at when it left.
	sent, at time.Time
}

// leavers are callers that leave early.
type leavers struct {
	world    *world
	stopping chan struct{}
	done     sync.WaitGroup

	mu   sync.Mutex
	left []departure
}

func startLeavers(w *world, seed uint64) *leavers {
	l := &leavers{world: w, stopping: make(chan struct{})}
	for i := range leaverCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		prefix := fmt.Sprintf("left%d-%d-%d", seed, os.Getpid(), i)
		l.done.Go(func() { l.run(prefix, random) })
	}
	return l
}

func (l *leavers) run(prefix string, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for number := 0; ; number++ {
		select {
		case <-l.stopping:
			return
		case <-time.After(time.Duration(50+random.IntN(200)) * time.Millisecond):
		}
		n := l.world.nodes[random.IntN(len(l.world.nodes))]
		id := fmt.Sprintf("%s-%d", prefix, number)
		k := []kind{kindStream, kindResume}[random.IntN(2)]
		ctx, leave := context.WithTimeout(context.Background(), time.Duration(10+random.IntN(300))*time.Millisecond)
		o := askUntil(ctx, transport, n, k, id, true, steadyTenant)
		leave()
		if o.complete {
			continue
		}
		l.mu.Lock()
		l.left = append(l.left, departure{id: id, node: n.index, sent: o.began, at: o.ended})
		l.mu.Unlock()
	}
}

func (l *leavers) stop() {
	close(l.stopping)
	l.done.Wait()
}

func (l *leavers) departures() []departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]departure(nil), l.left...)
}

// outlived counts the departures whose requests were worked on for longer than they may, among
// those that no disturbance of their node and no trouble on connections to back ends touched.
func outlived(left []departure, endings map[string]time.Time, disturbances, troubles []disturbance) (late, counted int) {
	for _, d := range left {
		o := observation{node: d.node, began: d.at.Add(-time.Second), ended: d.at.Add(outlivesAfter)}
		ended, ran := endings[d.id]
		if !ran || disturbed(o, disturbances) || touched(o, troubles) {
			continue
		}
		counted++
		if ended.Sub(d.at) > outlivesAfter {
			late++
		}
	}
	return late, counted
}

// touched reports whether connections were in trouble while a request was under way.
func touched(o observation, troubles []disturbance) bool {
	for _, trouble := range troubles {
		if trouble.from.Before(o.ended) && o.began.Before(trouble.to) {
			return true
		}
	}
	return false
}

// judgeDepartures returns a violation where too many requests outlived their callers.
func judgeDepartures(late, counted int) []string {
	if counted < fewestDepartures || float64(late) <= outlivedShare*float64(counted) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests were worked on half a second after their callers had left", late, counted)}
}

// TestDeparturesNoticeADefect has runs go on after their callers have left, and some that are
// excused.
func TestDeparturesNoticeADefect(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(100, 0)
	var left []departure
	endings := map[string]time.Time{}
	for i := range 12 {
		id := strconv.Itoa(i)
		left = append(left, departure{id: id, node: i % 2, at: at})
		endings[id] = at.Add(100 * time.Millisecond)
	}
	late, counted := outlived(left, endings, nil, nil)
	g.Expect(late).To(BeZero())
	g.Expect(counted).To(Equal(12))
	g.Expect(judgeDepartures(late, counted)).To(BeEmpty())
	for _, id := range []string{"0", "2", "4", "6"} {
		endings[id] = at.Add(time.Second)
	}
	late, counted = outlived(left, endings, nil, nil)
	g.Expect(late).To(Equal(4))
	g.Expect(judgeDepartures(late, counted)).To(HaveLen(1))
	killed := []disturbance{{node: 0, from: at, to: at.Add(time.Second)}}
	late, counted = outlived(left, endings, killed, nil)
	g.Expect(late).To(BeZero())
	g.Expect(counted).To(Equal(6))
	_, counted = outlived(left, endings, nil, killed)
	g.Expect(counted).To(BeZero())
}
