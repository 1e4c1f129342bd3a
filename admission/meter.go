package admission

import (
	"sort"
	"sync"
	"time"
)

// Meter counts the requests of one node to plain services. It is safe for concurrent use.
type Meter struct {
	holder string

	mu       sync.Mutex
	services map[string]*serviceMeter
}

// serviceMeter holds the counts of one service since its last report.
type serviceMeter struct {
	since                  time.Duration
	objective              time.Duration
	firstAttempts, retries int
	admitted               int
	backends               map[string]*BackendCounts
	// urgent is set if a report should be sent early.
	urgent bool
	// reported is set if the last report was not empty: the next one is then sent even if it is empty.
	reported bool
}

// NewMeter returns a meter of the node at the address holder.
func NewMeter(holder string) *Meter {
	return &Meter{holder: holder, services: map[string]*serviceMeter{}}
}

// service returns the counts of a service; the lock is held.
func (m *Meter) service(now time.Duration, name string) *serviceMeter {
	meter := m.services[name]
	if meter == nil {
		meter = &serviceMeter{since: now, backends: map[string]*BackendCounts{}}
		m.services[name] = meter
	}
	return meter
}

func (s *serviceMeter) backend(id string) *BackendCounts {
	counts := s.backends[id]
	if counts == nil {
		counts = &BackendCounts{ID: id}
		s.backends[id] = counts
	}
	return counts
}

// Offered counts a caller's request, admitted or not.
func (m *Meter) Offered(now time.Duration, service string, objective time.Duration, retry, admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	meter := m.service(now, service)
	if retry {
		meter.retries++
	} else {
		meter.firstAttempts++
	}
	if admitted {
		meter.admitted++
	}
	if objective > 0 && (meter.objective == 0 || objective < meter.objective) {
		meter.objective = objective
	}
}

// Begin counts a request that is sent to a backend. The returned function must be called once, with the time
// and the outcome.
func (m *Meter) Begin(now time.Duration, service, backend string) func(ended time.Duration, outcome Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service(now, service).backend(backend).Pending++
	return func(ended time.Duration, outcome Outcome) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.service(now, service).end(backend, ended-now, outcome)
	}
}

func (s *serviceMeter) end(backend string, took time.Duration, outcome Outcome) {
	counts := s.backend(backend)
	counts.Pending--
	switch outcome {
	case OutcomeAnswered:
		counts.Answered++
		counts.Busy += took
		s.urgent = s.urgent || s.objective > 0 && took > s.objective
	case OutcomeFailed:
		counts.Failed++
		counts.Busy += took
		s.urgent = true
	case OutcomeRejected:
		counts.Rejected++
		s.urgent = true
	case OutcomeAbandoned:
	}
}

// Due returns the reports that are due, given the report interval of each service, and begins their next
// intervals.
func (m *Meter) Due(now time.Duration, interval func(service string) time.Duration) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []Report
	for name, meter := range m.services {
		since, reportInterval := now-meter.since, interval(name)
		if meter.urgent {
			reportInterval = max(busyInterval, reportInterval/2) //nolint:mnd // half
		}
		if since < reportInterval {
			continue
		}
		report := meter.report(name, m.holder, since)
		empty := report.FirstAttempts+report.Retries+len(report.Backends) == 0
		if !empty || meter.reported {
			due = append(due, report)
		}
		meter.begin(now, !empty)
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Service < due[j].Service })
	return due
}

// report returns the counts.
func (s *serviceMeter) report(service, holder string, interval time.Duration) Report {
	report := Report{
		Service: service, Holder: holder, Interval: interval, Objective: s.objective,
		FirstAttempts: s.firstAttempts, Retries: s.retries, Admitted: s.admitted,
	}
	for _, counts := range s.backends {
		report.Backends = append(report.Backends, *counts)
	}
	sort.Slice(report.Backends, func(i, j int) bool { return report.Backends[i].ID < report.Backends[j].ID })
	return report
}

// begin starts a new interval. Only requests in flight stay counted.
func (s *serviceMeter) begin(now time.Duration, reported bool) {
	s.since, s.reported, s.urgent = now, reported, false
	s.objective, s.firstAttempts, s.retries, s.admitted = 0, 0, 0, 0
	for id, counts := range s.backends {
		if counts.Pending == 0 {
			delete(s.backends, id)
			continue
		}
		s.backends[id] = &BackendCounts{ID: id, Pending: counts.Pending}
	}
}
