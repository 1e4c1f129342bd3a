package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

// Besides the tenants of the callers and the checks for them, this file contains the faults of the backends'
// entries: injectRegistryFaults, restartBackend and writeInvalidEntry.

// The tenants of the callers. A caller without one has a key that was in no configuration.
const (
	steadyTenant  = "steady"
	limitedTenant = "limited"
	unknownKey    = "key-of-nobody"
)

// The limit of the limited tenant, in requests, and its tolerance. The tenant's callers exceed it.
const (
	limitRate      = 4
	limitBurst     = 6
	limitOvershoot = 0.1
	limitSlack     = 12
	limitWindow    = 8 * time.Second
)

// keyOf returns the API key of a tenant's callers.
func keyOf(tenant string) string {
	if tenant == "" {
		return unknownKey
	}
	return "key-of-" + tenant
}

// tenantsFor returns the tenants of a version as the platform stores them. Besides the callers' tenants and keys
// it contains others that differ from version to version.
func tenantsFor(version int) []map[string]any {
	tenants := []map[string]any{
		{"name": steadyTenant, "api_keys": []string{keyOf(steadyTenant), fmt.Sprintf("second-key-%d", version)}},
		{"name": limitedTenant, "api_keys": []string{keyOf(limitedTenant)}, "rate_per_s": limitRate, "burst": limitBurst},
	}
	for i := range version % 4 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("passing-%d-%d", version, i), "api_keys": []string{}})
	}
	return tenants
}

// injectRegistryFaults restarts backends under the same identifiers, changes the configuration and writes invalid
// entries, in parallel with the other faults.
func (h *harness) injectRegistryFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for round := 0; time.Now().Before(until); round++ {
		h.mu.Lock()
		b := h.backends[random.IntN(len(h.backends))]
		h.mu.Unlock()
		switch random.IntN(3) {
		case 0:
			h.restartBackend(b)
		case 1:
			h.configure()
		default:
			h.writeInvalidEntry(random, round)
		}
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
}

// restartBackend restarts a backend under the same identifier: its connections are closed, and its state is
// lost.
func (h *harness) restartBackend(b *backend) {
	version := ""
	if b.engine != nil {
		version = b.engine.SoftwareVersion()
	}
	h.restartWith(b, version)
	h.announceReady(b)
}

// restartWith restarts a backend under the same identifier, an engine with a version of its software. Its entry is not
// updated.
func (h *harness) restartWith(b *backend, version string) {
	h.recordInterruption(time.Now(), time.Now().Add(time.Second))
	b.entryMu.Lock()
	h.mu.Lock()
	b.recordStart()
	h.mu.Unlock()
	if b.engine != nil {
		b.engine.RestartWith(version, b.startedMillis.Load())
	}
	b.entryMu.Unlock()
	// Connections end after that: no run of the earlier version continues.
	b.proxy.reset()
	b.setCondition(standin.Condition{})
}

// announceReady updates the entry of a backend that has restarted, if it has one.
func (h *harness) announceReady(b *backend) {
	stage := b.stage
	if b.engine != nil {
		stage = b.engine.Stage()
	}
	if slices.Contains(h.store.Names("servers"), b.id) {
		h.announce(b, "ready", stage)
	}
}

// writeInvalidEntry writes an entry that does not describe a server.
func (h *harness) writeInvalidEntry(random *rand.Rand, round int) {
	entries := []any{
		map[string]any{"service": "app", "address": "nowhere", "zone": "a", "slots": 8, "state": "ready"},
		map[string]any{"service": "app", "address": "127.0.0.1:1", "zone": "a", "slots": 8, "state": "unheard"},
		map[string]any{"service": 7, "round": round}, []int{round}, "words",
	}
	h.store.Put("servers", fmt.Sprintf("foreign-%d", random.IntN(3)), entries[random.IntN(len(entries))])
}

// checkTenants returns violations of the guarantees for tenants: requests without a known key that ran, keys
// that were sent to backends, wrong tenant names, and an exceeded limit.
func checkTenants(observations []observation, received map[string][]standin.Run) []string {
	var violations []string
	var limited []time.Time
	for _, o := range observations {
		runs := received[o.id]
		switch {
		case o.tenant == "" && len(runs) > 0:
			violations = append(violations, o.id+" reached a backend without a known key")
		case o.tenant == "" && o.status != 0 && o.status != http.StatusUnauthorized && o.status != http.StatusServiceUnavailable:
			violations = append(violations, fmt.Sprintf("%s without a known key was answered by %d", o.id, o.status))
		case o.tenant != "" && o.status == http.StatusUnauthorized:
			violations = append(violations, fmt.Sprintf("%s of %s was rejected at node %d", o.id, o.tenant, o.node))
		}
		for _, run := range runs {
			if name, keySent := standin.IdentityOf(run); name != o.tenant || keySent {
				violations = append(violations, fmt.Sprintf("%s of %q was sent to a backend as tenant %q, key sent %t", o.id, o.tenant, name, keySent))
			}
		}
		if o.tenant == limitedTenant && len(runs) > 0 {
			limited = append(limited, o.began)
		}
	}
	if ran, allowed := maxInWindow(limited), limitAllowed(); ran > allowed {
		violations = append(violations, fmt.Sprintf("%d requests of %s ran in %v, allowed %d", ran, limitedTenant, limitWindow, allowed))
	}
	return violations
}

// limitAllowed returns how many requests of the limited tenant may run in a window.
func limitAllowed() int {
	return int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOvershoot)) + limitSlack
}

// maxInWindow returns the maximum number of times within one window.
func maxInWindow(times []time.Time) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	maximum, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// TestTenantChecksDetectEachDefect injects one defect for each check.
func TestTenantChecksDetectEachDefect(t *testing.T) {
	named := func(tenant, key string) standin.Run {
		run := standin.Run{Header: http.Header{}}
		standin.CallerHeaders{Key: key, Tenant: tenant}.Set(run.Header)
		return run
	}
	for name, c := range map[string]struct {
		tenant string
		status int
		runs   []standin.Run
		want   string
	}{
		"valid":        {steadyTenant, 200, []standin.Run{named(steadyTenant, "")}, ""},
		"rejected":     {"", 401, nil, ""},
		"not ready":    {"", 503, nil, ""},
		"unknown ran":  {"", 200, []standin.Run{named("", "")}, "without a known key"},
		"unknown 404":  {"", 404, nil, "answered by 404"},
		"known 401":    {steadyTenant, 401, nil, "was rejected"},
		"key sent":     {steadyTenant, 200, []standin.Run{named(steadyTenant, "k")}, "key sent true"},
		"other tenant": {steadyTenant, 200, []standin.Run{named("forged", "")}, `as tenant "forged"`},
	} {
		g := NewWithT(t)
		violations := checkTenants([]observation{{id: "r", tenant: c.tenant, status: c.status}}, map[string][]standin.Run{"r": c.runs})
		if c.want == "" {
			g.Expect(violations).To(BeEmpty(), name)
			continue
		}
		g.Expect(violations).To(ContainElement(ContainSubstring(c.want)), name)
	}
	g := NewWithT(t)
	var over []observation
	received := map[string][]standin.Run{}
	for i := range limitAllowed() + 1 {
		id := strconv.Itoa(i)
		over = append(over, observation{id: id, tenant: limitedTenant, status: 200, began: time.Unix(int64(i)/20, 0)})
		received[id] = []standin.Run{named(limitedTenant, "")}
	}
	g.Expect(checkTenants(over, received)).To(ContainElement(ContainSubstring("allowed")))
	g.Expect(checkTenants(over[1:], received)).To(BeEmpty())
}
