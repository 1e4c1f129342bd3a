// Package retrybudget bounds how many requests are sent a second time, as a
// share of the requests that callers send, so that retries cannot multiply the
// load of a service that is in trouble.
package retrybudget

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// bucketsPerWindow is into how many parts a window is split.
const bucketsPerWindow = 10

// Options describe a budget.
type Options struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64
	// Burst is how many repeats are allowed beside the ratio, within one window.
	// It is this node's share and may change with the fleet.
	Burst func() float64
	// Window is the time over which requests count.
	Window time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
}

// Budget is this node's share of the budget of all services. It is safe for
// concurrent use.
type Budget struct {
	options Options
	started time.Time

	mu       sync.Mutex
	services map[string]*account
}

// account counts one service's requests and repeats in parts of a window, one
// more than a window has, because the newest is not over yet.
type account struct {
	// granted and refused count repeats since the last report.
	granted, refused int
	newest           int64
	requests         [bucketsPerWindow + 1]float64
	repeats          [bucketsPerWindow + 1]float64
}

// New returns a budget.
func New(options Options) *Budget {
	return &Budget{options: options, started: options.Now(), services: map[string]*account{}}
}

// Request counts a caller's request to a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.account(service)
	current.requests[current.position()]++
}

// TryRepeat takes a number of repeats from the budget of a service. It reports
// false, and takes none, if the budget does not have them.
func (b *Budget) TryRepeat(service string, count int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.account(service)
	if sum(current.repeats)+float64(count) > b.allowed(current) {
		current.refused += count
		return false
	}
	current.granted += count
	current.repeats[current.position()] += float64(count)
	return true
}

// allowed returns how many repeats a service may have in this window. What an
// earlier start of this process has spent is not known, so the burst grows over
// the first window.
func (b *Budget) allowed(current *account) float64 {
	grown := min(1, b.options.Now().Sub(b.started).Seconds()/b.options.Window.Seconds())
	return b.options.Burst()*grown + b.options.Ratio*sum(current.requests)
}

// Left returns how many repeats of a service the budget still has.
func (b *Budget) Left(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.account(service)
	return b.allowed(current) - sum(current.repeats)
}

// account returns the account of a service with its old parts cleared.
func (b *Budget) account(service string) *account {
	part := int64(b.options.Now().Sub(b.started) / (b.options.Window / bucketsPerWindow))
	current := b.services[service]
	if current == nil {
		current = &account{newest: part}
		b.services[service] = current
	}
	for current.newest < part {
		current.newest++
		current.requests[current.position()] = 0
		current.repeats[current.position()] = 0
		if part-current.newest > bucketsPerWindow {
			current.newest = part - bucketsPerWindow - 1
		}
	}
	return current
}

func (a *account) position() int64 { return a.newest % (bucketsPerWindow + 1) }

func sum(parts [bucketsPerWindow + 1]float64) float64 {
	total := 0.0
	for _, part := range parts {
		total += part
	}
	return total
}

// Report is how the budget of one service stands.
type Report struct {
	Service string
	// Granted and Refused are the repeats since the last report.
	Granted, Refused int
	// Requests and Repeats are those of the last window, Allowed how many repeats it may hold and Burst
	// how many of these do not depend on the requests.
	Requests, Repeats int
	Allowed, Burst    float64
}

// Report tells of the services of which repeats were wanted since the last call, by name.
func (b *Budget) Report() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Report
	for service := range b.services {
		current := b.account(service)
		if current.granted+current.refused == 0 {
			continue
		}
		reports = append(reports, Report{
			Service: service, Granted: current.granted, Refused: current.refused,
			Requests: int(sum(current.requests)), Repeats: int(sum(current.repeats)),
			Allowed: b.allowed(current), Burst: b.options.Burst(),
		})
		current.granted, current.refused = 0, 0
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return reports
}
