package account

import (
	"encoding/json"
	"io"
	"time"

	"github.com/reelrun/reelrun/loglines"
)

// line is one line of a log, with the fields that an account uses. Missing fields are zero.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`

	// From lines about requests.
	Service string `json:"service"`
	Reason  string `json:"reason"`
	Short   string `json:"short"`
	Cause   string `json:"cause"`
	TookMs  int64  `json:"took_ms"`
	Tokens  int64  `json:"tokens"`
	Status  int    `json:"status"`
	Sends   int    `json:"sends"`
	Runs    int    `json:"runs"`

	// From the summaries of a node.
	Route         string `json:"route"`
	FirstAttempts int    `json:"first"`
	InTime        int    `json:"in_time"`
	Late          int    `json:"late"`
	Rejected      int    `json:"refused"`
	Failed        int    `json:"failed"`
	Disconnected  int    `json:"left"`

	// From the summaries of a coordinator.
	Prefill       int   `json:"prefill"`
	Decode        int   `json:"decode"`
	Failing       int   `json:"failing"`
	MemoryPercent int   `json:"memory_percent"`
	Waiting       int   `json:"waiting"`
	BacklogMs     int64 `json:"backlog_ms"`

	// From the summaries of calls to the store, by operation and kind.
	Calls map[string]int `json:"calls"`

	// From the summaries of calls to other nodes, by kind.
	BytesInZone       map[string]int `json:"bytes_in_zone"`
	BytesBetweenZones map[string]int `json:"bytes_between_zones"`

	// From the summaries of tenants.
	Tenants map[string]TenantCounts `json:"tenants"`

	// From lines about events.
	Backend string `json:"backend"`
	Engine  string `json:"engine"`
	Role    string `json:"role"`
	Version int64  `json:"version"`
}

// readLines calls handle for each line of a log. Lines that are not JSON or have no time are skipped.
func readLines(log io.Reader, handle func(line)) error {
	return loglines.Each(log, func(text []byte) {
		var read line
		if err := json.Unmarshal(text, &read); err == nil && !read.Time.IsZero() {
			handle(read)
		}
	})
}
