package admission

import "time"

const (
	// smoothing is the time constant of a backend's model.
	smoothing = 500 * time.Millisecond
	// correctionTime is the time in which a queue that is too long or too short is brought to its target
	// length. It is about the combined age of reports and plans under load in a large fleet, because a shorter
	// time makes the load oscillate.
	correctionTime = time.Second
	// queueShare is the part of the objective that a request may wait in the queue of its backend on average.
	// The rest is for its own run, and for waits above the average.
	queueShare = 0.2
	// minCapacityShare is the share of its capacity that a backend receives at least, so that the recovery of a
	// failing one is noticed.
	minCapacityShare = 0.02
	// idleLoad and queuedLoad bound, as multiples of the slots, the loads between which a backend is at times
	// idle and at times has a queue. Between them, the measured time per request is up to a quarter too long, so
	// that only a time shorter than the current estimate is used.
	idleLoad   = 0.7
	queuedLoad = 1.8
	// stalledFactor is how much slower than before a backend that answers nothing is assumed to be: small
	// enough that the backend is used again one second after it answers.
	stalledFactor = 8
)

// backendModel is the learned model of one backend.
type backendModel struct {
	// perRequest is the estimated time in seconds for which a request occupies a slot now; zero if unknown.
	// measured is the same without the increase for a stalled backend: it changes only when requests end.
	perRequest, measured float64
	// failureRate is the share of the requests that fail, or are rejected while slots are free.
	failureRate float64
}

// observe updates the model from the totals since the last plan, with a weight from 0 to 1.
func (m *backendModel) observe(observed backendTotals, slots, weight float64) {
	busy := min(observed.busy, slots)
	if observed.pending >= slots {
		busy = slots
	}
	switch {
	case observed.ended() > 0 && busy > 0:
		// By the utilization law, a slot is occupied for the number of busy slots over the rate at which
		// requests end, however long the queue is.
		perRequest, utilization := busy/observed.ended(), observed.load(slots)/slots
		if utilization <= idleLoad || utilization >= queuedLoad || perRequest < m.perRequest {
			m.perRequest = smoothed(m.perRequest, perRequest, weight)
			m.measured = smoothed(m.measured, perRequest, weight)
		}
	case observed.ended() == 0 && observed.pending >= slots && m.perRequest > 0:
		m.perRequest = smoothed(m.perRequest, stalledFactor*m.measured, weight)
	}
	failures := observed.failed
	if observed.pending < slots {
		// A backend that rejects requests while it has free slots is faulty.
		failures += observed.rejected
	}
	share := 0.0
	if all := failures + observed.answered; all > 0 {
		share = failures / all
	}
	m.failureRate += weight * (share - m.failureRate)
}

// smoothed returns a value moved towards an observation; zero is an unknown value.
func smoothed(value, observed, weight float64) float64 {
	if value == 0 {
		return observed
	}
	return value + weight*(observed-value)
}

// rate returns the requests a second that a backend should receive: its capacity, corrected by the distance of
// its queue from the target length.
func (m *backendModel) rate(observed backendTotals, slots float64, objective time.Duration) float64 {
	capacity := slots / m.perRequest
	target := slots + capacity*queueShare*objective.Seconds()
	corrected := capacity + (target-observed.load(slots))/correctionTime.Seconds()
	return max(corrected, minCapacityShare*capacity)
}
