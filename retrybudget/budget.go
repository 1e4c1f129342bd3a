// Package retrybudget limits upstream retries to a share of the requests that callers send, so that retries
// cannot multiply the load of a service that is failing or overloaded.
package retrybudget

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Options configures a Budget.
type Options struct {
	// Ratio is how many retries are allowed per request.
	Ratio float64
	// Burst returns how many retries are allowed beyond the ratio within one window. It is this node's share of
	// the total of all nodes.
	Burst func() float64
	// Window is the time over which requests count.
	Window time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
}

// Budget is this node's share of the retry budgets of all services. It is safe for concurrent use.
type Budget struct {
	options Options
	started time.Time

	mu       sync.Mutex
	services map[string]*account
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
	current.requests[position(current.newest)]++
}

// Remaining returns how many retries to a service the budget still allows.
func (b *Budget) Remaining(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(b.account(service))
}

func (b *Budget) remaining(current *account) float64 {
	return current.remaining(b.burst(), b.options.Ratio)
}

// burst returns how many retries a window may hold beyond the ratio. A previous start of this process may have
// spent its share just before it ended, so this one has none in its first window.
func (b *Budget) burst() float64 {
	if b.options.Now().Sub(b.started) < b.options.Window {
		return 0
	}
	return b.options.Burst()
}

// account returns the account of a service with its old buckets cleared.
func (b *Budget) account(service string) *account {
	bucket := int64(b.options.Now().Sub(b.started) / (b.options.Window / bucketsPerWindow))
	current := b.services[service]
	if current == nil {
		current = &account{newest: bucket}
		b.services[service] = current
	}
	current.advance(bucket)
	return current
}

// Report is the state of one service's budget.
type Report struct {
	Service string
	// Granted and Rejected count retries since the last report.
	Granted, Rejected int
	// Requests and Retries are those of the last window.
	Requests, Retries int
	// Remaining is how many retries may be sent now, and Burst how many a window may hold beyond the ratio.
	Remaining, Burst float64
}

// Report returns the budgets of the services for which retries were requested since the last call, sorted by
// name.
func (b *Budget) Report() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Report
	for service := range b.services {
		current := b.account(service)
		if current.granted+current.rejected == 0 {
			continue
		}
		reports = append(reports, Report{
			Service: service, Granted: current.granted, Rejected: current.rejected,
			Requests: current.sumOfWindow(&current.requests), Retries: current.sumOfWindow(&current.retries),
			Remaining: b.remaining(current), Burst: b.burst(),
		})
		current.granted, current.rejected = 0, 0
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return reports
}
