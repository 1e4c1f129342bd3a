package coordinator

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of a rate.
const rateTimeConstant = 2 * time.Second

// rateMeter measures the rate of events, weighted towards newer ones. The zero value has no events.
type rateMeter struct {
	// rate is in events per second, as of at, the time of the last event.
	rate   float64
	at     time.Duration
	events int
}

// add counts one event.
func (m *rateMeter) add(now time.Duration) {
	m.rate = m.perSecond(now) + 1/rateTimeConstant.Seconds()
	m.at = now
	m.events++
}

// perSecond returns the rate as of now.
func (m *rateMeter) perSecond(now time.Duration) float64 {
	return m.rate * math.Exp(-(now-m.at).Seconds()/rateTimeConstant.Seconds())
}
