package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/quantile"
	"github.com/reelrun/reelrun/sim/servicesim"
)

// Verdict is the summary of a run.
type Verdict struct {
	Requests   int `json:"requests"`
	Answered   int `json:"answered"`
	Rejected   int `json:"refused"`
	Lost       int `json:"lost"`
	Altered    int `json:"altered"`
	Duplicated int `json:"duplicated"`
	// Goodput is the share of the requests that met their targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the share of the prefilled tokens whose prefill was wasted.
	WastedPrefill float64 `json:"wasted_prefill"`
	// HeldStreams is the number of streams that engines still hold after every
	// caller has disconnected.
	HeldStreams int `json:"held_streams"`
	// FalseNotRun counts rejections with the outcome not-run of requests that ran.
	FalseNotRun int `json:"false_not_run"`
	// TTFTP95 and IntervalP95 are percentiles over answered completions, in seconds.
	TTFTP95     float64 `json:"ttft_p95_s"`
	IntervalP95 float64 `json:"interval_p95_s"`
	// Kinds maps each kind to its number of offered requests and of those that met
	// their targets.
	Kinds map[string][2]int `json:"kinds"`
	// Violations describes the first maxViolations violations.
	Violations []string `json:"violations,omitempty"`
}

// Failed reports whether a guarantee was violated.
func (v *Verdict) Failed() bool {
	return v.Lost+v.Altered+v.Duplicated+v.HeldStreams+v.FalseNotRun > 0
}

// Summary returns the main figures on one line.
func (v *Verdict) Summary() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d lost=%d duplicated=%d goodput=%.2f wasted_prefill=%.2f",
		v.Requests, v.Answered, v.Rejected, v.Lost+v.Altered, v.Duplicated, v.Goodput, v.WastedPrefill)
}

// Ledgers are the stand-ins' records of what they ran.
type Ledgers struct {
	Engines  []enginesim.Report
	Services []servicesim.Report
}

// ReadLedgers fetches the ledgers of the stand-ins at the given addresses.
func ReadLedgers(ctx context.Context, engines, services []string) (Ledgers, error) {
	var ledgers Ledgers
	for _, address := range engines {
		var report enginesim.Report
		if err := fetch(ctx, address, enginesim.PathLedger, &report); err != nil {
			return Ledgers{}, err
		}
		ledgers.Engines = append(ledgers.Engines, report)
	}
	for _, address := range services {
		var report servicesim.Report
		if err := fetch(ctx, address, servicesim.PathLedger, &report); err != nil {
			return Ledgers{}, err
		}
		ledgers.Services = append(ledgers.Services, report)
	}
	return ledgers, nil
}

func fetch(ctx context.Context, address, path string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fetch ledger")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "decode ledger")
}

// Evaluate compares what callers received with what the stand-ins ran.
func Evaluate(results []Result, ledgers Ledgers) *Verdict {
	verdict := &Verdict{Requests: len(results), Kinds: map[string][2]int{}}
	verdict.evaluateCallers(results)
	verdict.evaluateServices(results, ledgers.Services)
	verdict.evaluateEngines(results, ledgers.Engines)
	return verdict
}

// maxViolations bounds the violations that a verdict describes.
const maxViolations = 20

func (v *Verdict) violatef(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

func (v *Verdict) evaluateCallers(results []Result) {
	met := 0
	var first, intervals []time.Duration
	for i := range results {
		result := &results[i]
		counts := v.Kinds[result.Kind.Name]
		counts[0]++
		switch result.Ending {
		case EndingAnswered:
			v.Answered++
		case EndingRejected:
			v.Rejected++
		case EndingAltered:
			v.Altered++
			v.violatef("%s %s: altered response", result.Kind.Name, result.Key)
		default:
			v.Lost++
			v.violatef("%s %s: lost: %s", result.Kind.Name, result.Key, result.Detail)
		}
		if result.DuplicateTokens > 0 {
			v.Duplicated++
			v.violatef("%s %s: %d tokens twice", result.Kind.Name, result.Key, result.DuplicateTokens)
		}
		if result.meetsTargets() {
			met++
			counts[1]++
		}
		if result.Ending == EndingAnswered && result.Kind.Service == "" {
			first = append(first, result.FirstToken)
			intervals = append(intervals, result.Interval)
		}
		v.Kinds[result.Kind.Name] = counts
	}
	v.Goodput = float64(met) / float64(max(len(results), 1))
	v.TTFTP95, v.IntervalP95 = quantile.P95(first), quantile.P95(intervals)
}

// evaluateServices counts non-idempotent calls that ran more than once, those that
// ran although their rejection reported not-run, and those that were answered but
// never ran.
func (v *Verdict) evaluateServices(results []Result, reports []servicesim.Report) {
	runs := map[string]int{}
	for _, report := range reports {
		for _, call := range report.Calls {
			runs[call.Key]++
		}
	}
	for i := range results {
		result := &results[i]
		if !result.Kind.NonIdempotent {
			continue
		}
		if runs[result.Key] > 1 {
			v.Duplicated++
			v.violatef("%s %s: ran %d times", result.Kind.Name, result.Key, runs[result.Key])
		}
		if result.reportsNotRun() && runs[result.Key] > 0 {
			v.FalseNotRun++
			v.violatef("%s %s: ran although rejected as not-run", result.Kind.Name, result.Key)
		}
		if result.Ending == EndingAnswered && runs[result.Key] == 0 {
			v.Altered++
			v.violatef("%s %s: answered but never ran", result.Kind.Name, result.Key)
		}
	}
}

// reportsNotRun reports whether the only attempt was rejected as not run. After
// client retries the rejection refers to the last attempt only.
func (r *Result) reportsNotRun() bool {
	return r.Ending == EndingRejected && r.Failure.Outcome == api.OutcomeNotRun && r.Attempts == 1
}

func (v *Verdict) evaluateEngines(results []Result, reports []enginesim.Report) {
	total, wasted := 0, 0
	ran := map[string]bool{}
	for _, report := range reports {
		total += report.PrefillTokens
		wasted += report.PrefillTokensWasted
		v.HeldStreams += report.HeldStreams
		if report.HeldStreams > 0 {
			v.violatef("%s holds %d streams", report.Engine, report.HeldStreams)
		}
		for _, entry := range report.Entries {
			if entry.Kind == enginesim.EntryPrefillStart {
				ran[entry.Stream.RequestID] = true
			}
		}
	}
	v.WastedPrefill = float64(wasted) / float64(max(total, 1))
	for i := range results {
		result := &results[i]
		if result.Kind.Service == "" && result.reportsNotRun() && ran[result.RequestIDs[0]] {
			v.FalseNotRun++
			v.violatef("%s %s: ran although rejected as not-run", result.Kind.Name, result.Key)
		}
	}
}
