package account

import (
	"io"
	"slices"
	"sort"
	"strconv"
	"time"
)

// WindowLength is the length of the windows into which a period is divided.
const WindowLength = 2 * time.Second

// Messages of the log lines that an account is built from.
const (
	messageRequests     = "requests"
	messageEngines      = "engines"
	messageNotAnswered  = "request not answered"
	messagePromptWasted = "prompt wasted"
	messageStoreCalls   = "store calls"
	messageNodeCalls    = "node calls"
	messageTenants      = "tenants"
)

// Counts counts requests by how they ended.
type Counts struct {
	// FirstAttempts counts first attempts only; the other fields count all attempts.
	FirstAttempts, InTime, Late, Rejected, Failed, Disconnected int
}

func (c *Counts) add(read line) {
	c.FirstAttempts += read.FirstAttempts
	c.InTime += read.InTime
	c.Late += read.Late
	c.Rejected += read.Rejected
	c.Failed += read.Failed
	c.Disconnected += read.Disconnected
}

// UnservedRequests are the requests that were not served for one reason. A wait time is the time from
// the arrival of a request to the node's response.
type UnservedRequests struct {
	Reason    string
	WaitTimes []time.Duration
}

// Quantile returns the wait time that the given share of the requests did not exceed.
func (u UnservedRequests) Quantile(share float64) time.Duration {
	if len(u.WaitTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(u.WaitTimes))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Mean returns the mean wait time.
func (u UnservedRequests) Mean() time.Duration {
	if len(u.WaitTimes) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, waited := range u.WaitTimes {
		sum += waited
	}
	return sum / time.Duration(len(u.WaitTimes))
}

// WastedPrefills counts the prompts whose prefill was not used, for one cause.
type WastedPrefills struct {
	Cause   string
	Prompts int
	Tokens  int64
}

// Engines is the state of the engines of a service in a window, as last reported by the coordinator
// of the service.
type Engines struct {
	// Prefill, Decode and Failing are numbers of engines.
	Prefill, Decode, Failing int
	MemoryPercent            int
	// Waiting is the largest number of waiting requests reported in the window.
	Waiting int
	Backlog time.Duration
}

// Window summarizes one time window.
type Window struct {
	Start   time.Time
	Routes  map[string]Counts
	Reasons map[string]int
	Engines map[string]Engines
}

// Total returns the sum of the counts of all routes.
func (w *Window) Total() Counts {
	total := Counts{}
	for _, counts := range w.Routes {
		total.FirstAttempts += counts.FirstAttempts
		total.InTime += counts.InTime
		total.Late += counts.Late
		total.Rejected += counts.Rejected
		total.Failed += counts.Failed
		total.Disconnected += counts.Disconnected
	}
	return total
}

// AllEngines returns the engines of all services together: the sums of the counts, the highest memory
// utilization and the longest backlog.
func (w *Window) AllEngines() Engines {
	var total Engines
	for _, engines := range w.Engines {
		total.Prefill += engines.Prefill
		total.Decode += engines.Decode
		total.Failing += engines.Failing
		total.Waiting += engines.Waiting
		total.MemoryPercent = max(total.MemoryPercent, engines.MemoryPercent)
		total.Backlog = max(total.Backlog, engines.Backlog)
	}
	return total
}

// Event is an event in the fleet. It is listed once, even if several nodes log it.
type Event struct {
	Time time.Time
	Text string
}

// Account is the summary of a period.
type Account struct {
	Windows  []Window
	Routes   map[string]Counts
	Unserved []UnservedRequests
	// LocalResponses counts the responses that nodes generated themselves.
	LocalResponses []LocalResponse
	WastedPrefills []WastedPrefills
	// StoreCalls counts the calls of all nodes to the store, by operation and kind.
	StoreCalls map[string]int
	// NodeCalls counts the bytes of calls between nodes, by kind.
	NodeCalls map[string]Bytes
	// Tenants counts requests by how they ended, by tenant. A node counts a limited number of tenants
	// separately; all others share the entry with the empty name.
	Tenants map[string]TenantCounts
	Events  []Event
}

// Read builds the account of all logs.
func Read(logs ...io.Reader) (*Account, error) {
	b := newBuilder()
	for _, log := range logs {
		if err := readLines(log, b.add); err != nil {
			return nil, err
		}
	}
	return b.build(), nil
}

// builder builds an account line by line.
type builder struct {
	windows   map[time.Time]*Window
	routes    map[string]Counts
	unserved  map[string]*UnservedRequests
	responses map[responseKey]LocalResponse
	wasted    map[string]*WastedPrefills
	calls     map[string]int
	bytes     map[string]Bytes
	tenants   map[string]TenantCounts
	events    map[string]time.Time
}

func newBuilder() *builder {
	return &builder{
		windows: map[time.Time]*Window{}, routes: map[string]Counts{}, unserved: map[string]*UnservedRequests{},
		responses: map[responseKey]LocalResponse{},
		wasted:    map[string]*WastedPrefills{}, calls: map[string]int{}, bytes: map[string]Bytes{}, tenants: map[string]TenantCounts{}, events: map[string]time.Time{},
	}
}

func (b *builder) add(read line) {
	switch read.Message {
	case messageRequests:
		b.addRequests(read)
	case messageEngines:
		b.addEngines(read)
	case messageNotAnswered:
		b.addUnserved(read)
	case messagePromptWasted:
		b.addWasted(read)
	case messageStoreCalls:
		for name, count := range read.Calls {
			b.calls[name] += count
		}
	case messageNodeCalls:
		b.addNodeCalls(read)
	case messageTenants:
		b.addTenants(read)
	default:
		b.addEvent(read)
	}
}

// window returns the window that contains the given time.
func (b *builder) window(at time.Time) *Window {
	start := at.Truncate(WindowLength)
	window := b.windows[start]
	if window == nil {
		window = &Window{Start: start, Routes: map[string]Counts{}, Reasons: map[string]int{}, Engines: map[string]Engines{}}
		b.windows[start] = window
	}
	return window
}

func (b *builder) addRequests(read line) {
	window := b.window(read.Time)
	inWindow, overall := window.Routes[read.Route], b.routes[read.Route]
	inWindow.add(read)
	overall.add(read)
	window.Routes[read.Route], b.routes[read.Route] = inWindow, overall
}

func (b *builder) addEngines(read line) {
	window := b.window(read.Time)
	window.Engines[read.Service] = Engines{
		Prefill: read.Prefill, Decode: read.Decode, Failing: read.Failing, MemoryPercent: read.MemoryPercent,
		Waiting: max(read.Waiting, window.Engines[read.Service].Waiting),
		Backlog: time.Duration(read.BacklogMs) * time.Millisecond,
	}
}

func (b *builder) addUnserved(read line) {
	reason := reasonOf(read)
	if b.unserved[reason] == nil {
		b.unserved[reason] = &UnservedRequests{Reason: reason}
	}
	unserved := b.unserved[reason]
	unserved.WaitTimes = append(unserved.WaitTimes, time.Duration(read.TookMs)*time.Millisecond)
	b.addResponse(read)
	b.window(read.Time).Reasons[reason]++
}

func (b *builder) addWasted(read line) {
	if b.wasted[read.Cause] == nil {
		b.wasted[read.Cause] = &WastedPrefills{Cause: read.Cause}
	}
	b.wasted[read.Cause].Prompts++
	b.wasted[read.Cause].Tokens += read.Tokens
}

// Reasons for which no engines were assigned to a request.
const (
	reasonDecodeMemory = "no decode memory"
	reasonPrefillTime  = "no prefill in time"
)

// reasonOf returns why a request was not served.
func reasonOf(read line) string {
	switch {
	case read.Reason == "no_room" && read.Short == "decode":
		return reasonDecodeMemory
	case read.Reason == "no_room" && read.Short == "prefill":
		return reasonPrefillTime
	case read.Reason == "no_room":
		return "no engine, no coordinator"
	default:
		return read.Reason
	}
}

func (b *builder) addEvent(read line) {
	text := eventOf(read)
	if text == "" {
		return
	}
	if earliest, exists := b.events[text]; !exists || read.Time.Before(earliest) {
		b.events[text] = read.Time
	}
}

// eventOf returns the text of the event that a line reports, or an empty text for lines that report
// none. The text is the same for all nodes that log the event.
func eventOf(read line) string {
	switch read.Message {
	case "role ordered":
		return read.Engine + " ordered to " + read.Role
	case "back end gone":
		return read.Backend + " gone"
	case "configuration in force":
		return "configuration " + strconv.FormatInt(read.Version, 10)
	case "start", "stop", "store lost", "store back":
		return read.Node + " " + read.Message
	default:
		return ""
	}
}

// build returns the account with its lists sorted.
func (b *builder) build() *Account {
	result := &Account{Routes: b.routes, LocalResponses: b.localResponses(), StoreCalls: b.calls, NodeCalls: b.bytes, Tenants: b.tenants}
	for _, window := range b.windows {
		result.Windows = append(result.Windows, *window)
	}
	for _, unserved := range b.unserved {
		result.Unserved = append(result.Unserved, *unserved)
	}
	for _, wasted := range b.wasted {
		result.WastedPrefills = append(result.WastedPrefills, *wasted)
	}
	for text, at := range b.events {
		result.Events = append(result.Events, Event{Time: at, Text: text})
	}
	sort.Slice(result.Windows, func(i, j int) bool { return result.Windows[i].Start.Before(result.Windows[j].Start) })
	sort.Slice(result.Unserved, func(i, j int) bool { return result.Unserved[i].Reason < result.Unserved[j].Reason })
	sort.Slice(result.WastedPrefills, func(i, j int) bool { return result.WastedPrefills[i].Cause < result.WastedPrefills[j].Cause })
	sort.Slice(result.Events, func(i, j int) bool { return result.Events[i].Time.Before(result.Events[j].Time) })
	return result
}
