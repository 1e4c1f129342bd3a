package account

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// p95 is the quantile shown in the second column of wait times.
const p95 = 0.95

// clockLayout is the time layout for a time of day.
const clockLayout = "15:04:05"

// Write prints the account as tables.
func (a *Account) Write(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	a.writeRoutes(table)
	a.writeUnserved(table)
	a.writeLocalResponses(table)
	a.writeWasted(table)
	a.writeStoreCalls(table)
	a.writeNodeCalls(table)
	a.writeTenants(table)
	a.writeWindows(table)
	for _, event := range a.Events {
		row(table, event.Time.Format("15:04:05.000"), event.Text)
	}
	return errors.Wrap(table.Flush(), "write account")
}

// row writes one row. The table reports a write error when it is flushed.
func row(table io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(table, strings.Join(texts, "\t"))
}

func (a *Account) writeRoutes(table io.Writer) {
	row(table, "route", "first", "in time", "late", "refused", "failed", "left")
	for _, route := range slices.Sorted(maps.Keys(a.Routes)) {
		counts := a.Routes[route]
		row(table, route, counts.FirstAttempts, counts.InTime, counts.Late, counts.Rejected, counts.Failed, counts.Disconnected)
	}
	row(table)
}

func (a *Account) writeUnserved(table io.Writer) {
	row(table, "not served", "requests", "held, mean", "p95", "longest")
	for _, unserved := range a.Unserved {
		row(table, unserved.Reason, len(unserved.WaitTimes), milliseconds(unserved.Mean()), milliseconds(unserved.Quantile(p95)), milliseconds(unserved.Quantile(1)))
	}
	row(table)
}

func (a *Account) writeWasted(table io.Writer) {
	row(table, "read for nothing", "prompts", "tokens")
	for _, wasted := range a.WastedPrefills {
		row(table, wasted.Cause, wasted.Prompts, wasted.Tokens)
	}
	row(table)
}

func (a *Account) writeStoreCalls(table io.Writer) {
	row(table, "call to the store", "count")
	for _, name := range slices.Sorted(maps.Keys(a.StoreCalls)) {
		row(table, name, a.StoreCalls[name])
	}
	row(table)
}

func (a *Account) writeWindows(table io.Writer) {
	row(table, "window", "first", "in time", "late", "refused", "failed", "prefill+decode (failing)", "memory", "waiting", "backlog", "reasons")
	for _, window := range a.Windows {
		total := window.Total()
		cells := []any{window.Start.Format(clockLayout), total.FirstAttempts, total.InTime, total.Late, total.Rejected, total.Failed}
		row(table, append(cells, enginesOf(window)...)...)
	}
	row(table)
}

// enginesOf returns the cells about the engines of all services in a window.
func enginesOf(window Window) []any {
	total := window.AllEngines()
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(window.Reasons)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, window.Reasons[reason]))
	}
	return []any{
		fmt.Sprintf("%d+%d (%d)", total.Prefill, total.Decode, total.Failing), fmt.Sprintf("%d %%", total.MemoryPercent),
		total.Waiting, milliseconds(total.Backlog), strings.Join(reasons, ", "),
	}
}

// milliseconds formats a duration in milliseconds.
func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%d ms", duration.Milliseconds())
}
