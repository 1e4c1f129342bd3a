// Command standin plays one case of the review: it starts the project's daemons as separate processes on loopback, with
// stand-ins of the platform, the servers and the clients, and judges what these have seen. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

func main() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		killAll()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("it took too long") })
	cases := map[string]func(rec *record, trouble bool) bool{
		"foreign-entry": foreignEntry,
		"late-421":      late421,
		"popular-get":   popularGet,
		"two-crashes":   twoCrashes,
		"dark-crash":    darkCrash,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE RECORD")
	}
	rec := newRecord(os.Args[2])
	if cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") {
		rec.say("the rule was broken")
		os.Exit(1)
	}
	rec.say("the rule held")
}

// site is the plain part of a site of the users: machines by zone, the plain service and its two kinds of requests.
type site struct {
	name, service, engines string
	fronts                 []int
	unsafe, safe           kind
	unsafeRate, safeRate   float64
}

var fisioXela = site{"fisio-xela", "plan-app", "plan-llm", []int{3, 3, 2}, planLookup, sessionLog, 43.8, 17.5}

// amrc returns the plain part of amrc-reelrun.
func amrc() site {
	memoryMB, region, zones, slack, waitS = 284, "casa-settat", []string{"ain-sebaa", "sidi-maarouf", "bouskoura"}, 54, 3.9
	return site{"amrc-reelrun", "member-portal", "heat-llm", []int{3, 2, 2}, meterRead, tariffSheet, 23.7, 9.47}
}

// deployment is a site with its machines, one plain server a zone, and clients at the sheet's rates.
type deployment struct {
	*fleet
	site    site
	servers []*server
	engines []*engine
	load    *load
	stop    context.CancelFunc
	running context.Context
}

func deploy(rec *record, of site) *deployment {
	d := &deployment{fleet: newFleet(rec, of.fronts), site: of}
	d.store.Put("config", "main", configuration(of.service, of.engines, of.unsafe, of.safe))
	for _, zone := range zones {
		d.servers = append(d.servers, newServer(rec, d.store, of.service, zone, 60*time.Millisecond))
	}
	d.addEngines(of.engines, 9)
	d.running, d.stop = context.WithCancel(context.Background())
	d.start()
	go d.checkReady(d.running)
	d.awaitReady(20 * time.Second)
	d.load = &load{fleet: d.fleet}
	return d
}

// play has the clients send for a time, and calls at after a part of it.
func (d *deployment) play(length, after time.Duration, at func()) {
	sending, stop := context.WithTimeout(d.running, length)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(after)
		at()
	}()
	d.load.run(sending, d.site.unsafeRate+d.site.safeRate, mixOf(d.site.safe, d.site.safeRate, d.site.unsafe, d.site.unsafeRate))
	<-done
	d.load.group.Wait()
}

// foreignEntry has another writer put one entry in the kind servers: its field service is of another type, lists within
// lists, and it is a little smaller than value_bytes. The run ends with a final fault: all processes are killed at once.
func foreignEntry(rec *record, trouble bool) bool {
	const (
		depth     = 500_000
		entryAt   = 10 * time.Second
		faultAt   = entryAt + 2*time.Second
		down      = time.Second
		recovery  = 12 * time.Second // recovery_s
		afterward = 12 * time.Second
	)
	d := deploy(rec, fisioXela)
	defer d.close()
	defer d.stop()
	d.killOverMemory = true
	began := time.Now()
	d.play(faultAt+down+recovery+afterward, entryAt, func() {
		if trouble {
			spec := json.RawMessage(`{"service":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `,"address":"","state":"ready"}`)
			d.store.Put("servers", "foreign", spec)
			rec.say("entry of another writer: %d bytes of %d", len(spec), maxObjectBytes)
		}
		time.Sleep(time.Until(began.Add(faultAt)))
		d.killAllAtOnce(down)
	})
	fault := began.Add(faultAt)
	before, servedBefore := d.load.between(began, fault)
	after, servedAfter := d.load.between(fault.Add(down+recovery), time.Now())
	for _, n := range d.nodes {
		n.mu.Lock()
		rec.say("%s: ended %d times over its memory, %d times otherwise, peak %d MB of %d", n.name, n.memoryEnds, n.otherEnds, n.peakKB*1024/1_000_000, memoryMB)
		n.mu.Unlock()
	}
	rec.say("before the final fault %d of %d tries served; later than recovery_s after the machines were back %d of %d", servedBefore, before, servedAfter, after)
	return 4*servedBefore >= before && 4*servedAfter < after
}

// late421 crashes one plain server three times. It starts again at its address with a new id, and for 5 s sends one of its
// answers once more: of the 421 with which it answers requests for its earlier incarnation.
func late421(rec *record, trouble bool) bool {
	const (
		rounds   = 3
		down     = 1500 * time.Millisecond
		garbled  = 5 * time.Second
		interval = 10 * time.Second
	)
	d := deploy(rec, fisioXela)
	defer d.close()
	defer d.stop()
	crashing := d.servers[0]
	d.play(6*time.Second+rounds*interval, 6*time.Second, func() {
		for range rounds {
			if !trouble {
				return
			}
			crashing.crash()
			time.Sleep(down)
			if os.Getenv("TROUBLE") != "crash" {
				crashing.disturb(1)
			}
			crashing.start()
			time.Sleep(garbled)
			answers, extras := crashing.calm()
			rec.say("%d answers of the server while it was disturbed, %d of them sent once more", answers, extras)
			if float64(extras) > 0.03*float64(answers) {
				cannotRun("more than 3 in 100 of the answers were sent once more")
			}
			time.Sleep(interval - garbled - down)
		}
	})
	j := d.load.judge()
	rec.say("%v", j)
	return j.twice+j.refused > 0
}

// popularGet crashes all servers of the plain service at a moment at which each of them works on the same safe request, a
// GET that many clients send. They are back soon.
func popularGet(rec *record, trouble bool) bool {
	d := deploy(rec, amrc())
	defer d.close()
	defer d.stop()
	for _, s := range d.servers {
		s.spread = true
	}
	crashed := false
	d.play(100*time.Second, 2*time.Second, func() {
		if !trouble {
			return
		}
		for until := time.Now().Add(18 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if !d.allAtWork("tariff") {
				continue
			}
			crashed = true
			for _, s := range d.servers {
				s.crash()
			}
			time.Sleep(2 * time.Second)
			for _, s := range d.servers {
				s.start()
			}
			return
		}
	})
	if trouble && !crashed {
		cannotRun("no moment at which each server worked on a tariff-sheet")
	}
	sent, served := d.load.shares()
	all, ok := 0, 0
	for name := range sent {
		all, ok = all+sent[name], ok+served[name]
		rec.say("%s: %d of %d requests served", name, served[name], sent[name])
	}
	share, of := float64(served["tariff-sheet"])/float64(sent["tariff-sheet"]), float64(ok)/float64(all)
	rec.say("tariff-sheet is served %.2f as often as all requests; a quarter is the least", share/of)
	return share < of/4
}

// allAtWork reports whether each server works on a request of a kind.
func (d *deployment) allAtWork(what string) bool {
	for _, s := range d.servers {
		if !s.isAtWork(what) {
			return false
		}
	}
	return true
}

// twoCrashes crashes two model servers, and one more 500 ms later, again and again. All are back after 2 s, and at least six
// serve at any time. Streams that both crashes have broken off are taken up again by their clients.
func twoCrashes(rec *record, trouble bool) bool {
	of := amrc()
	of.fronts = []int{1, 1, 1}
	d := deploy(rec, of)
	defer d.close()
	defer d.stop()
	streams := &streamLoad{fleet: d.fleet, path: "/fault/1"}
	sending, stop := context.WithTimeout(d.running, 80*time.Second)
	defer stop()
	if trouble {
		go func() {
			for time.Sleep(14 * time.Second); sending.Err() == nil; time.Sleep(12 * time.Second) {
				d.crashSeries()
			}
		}()
	}
	streams.run(sending, 9.76)
	streams.group.Wait()
	anew, began, resumed, wentOn, codes := streams.shares()
	rec.say("new streams: %d of %d begin; taken up again: %d of %d go on; answers to these: %v", began, anew, wentOn, resumed, codes)
	if resumed < 12 {
		rec.say("fewer than 12 streams were taken up again")
		return false
	}
	return float64(wentOn)/float64(resumed) < float64(began)/float64(anew)/2
}

// crashSeries crashes two engines that decode, and then the one that has taken over most of their streams.
func (d *deployment) crashSeries() {
	var decoding []*engine
	for _, e := range d.engines {
		if e.decodes() {
			decoding = append(decoding, e)
		}
	}
	if len(decoding) < 4 {
		return
	}
	crash := func(e *engine) {
		e.crash()
		time.AfterFunc(2*time.Second, e.start)
	}
	crash(decoding[0])
	crash(decoding[1])
	time.Sleep(500 * time.Millisecond)
	next := decoding[2]
	for _, e := range decoding[3:] {
		if e.takenOver() > next.takenOver() {
			next = e
		}
	}
	crash(next)
}

// darkCrash has a client send the same safe request again and again. The machine of each plain server that begins to run it goes dark,
// and is back after some seconds.
func darkCrash(rec *record, trouble bool) bool {
	const (
		interval = 4 * time.Second
		contact  = 3 * time.Second // contact_ms
	)
	d := deploy(rec, amrc())
	defer d.close()
	defer d.stop()
	crashing := kind{name: "crashing", method: "GET", path: "/tariff/crashing", deadline: 3 * time.Second, isSafe: true}
	if trouble {
		for _, s := range d.servers {
			s.poison = crashing.path
		}
	}
	d.play(60*time.Second, 3*time.Second, func() {
		for i := range 13 {
			go d.load.request(d.newClient(zones[i%len(zones)], i), crashing)
			time.Sleep(interval)
		}
	})
	var dark []time.Time
	for _, s := range d.servers {
		s.mu.Lock()
		dark = append(dark, s.darkAt...)
		s.mu.Unlock()
	}
	slices.SortFunc(dark, time.Time.Compare)
	sent, served := d.load.shares()
	for name := range sent {
		rec.say("%s: %d of %d requests served", name, served[name], sent[name])
	}
	rec.say("%d times a server went dark as it ran the request", len(dark))
	if len(dark) < 3 {
		return false
	}
	late := 0
	for _, a := range d.load.attempts {
		if runs := rec.runsOf(a.id); a.kind.name == crashing.name && a.sent.After(dark[2].Add(contact)) && len(runs) > 0 {
			late++
			rec.line("late      %s, sent %d ms after the third crash, reached %v", a.id, a.sent.Sub(dark[2]).Milliseconds(), runs)
		}
	}
	rec.say("%d retries of it, sent later than contact_ms after the third, reached servers; three are allowed", late)
	return late > 3
}
