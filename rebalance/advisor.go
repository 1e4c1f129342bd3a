package rebalance

import (
	"math"
	"time"

	"github.com/reelrun/reelrun/api"
)

// Load is the demand on a pool at a moment.
type Load struct {
	// PrefillEngines and DecodeEngines are the numbers of engines of each role.
	PrefillEngines int
	DecodeEngines  int
	// Prefill and Decode are the numbers of engines of each role that the requested work would keep
	// busy: seconds of one engine per second.
	Prefill float64
	Decode  float64
}

// utilization returns the demand for each role divided by the capacity of its engines; it exceeds
// one under overload.
func (l Load) utilization() (prefill, decode float64) {
	return l.Prefill / float64(max(l.PrefillEngines, 1)), l.Decode / float64(max(l.DecodeEngines, 1))
}

// maxUtilization returns the utilization of the busier role.
func (l Load) maxUtilization() float64 {
	prefill, decode := l.utilization()
	return max(prefill, decode)
}

// Options configures an Advisor.
type Options struct {
	// HighUtilization is the utilization from which a role is short of engines. Default 0.85.
	HighUtilization float64
	// MinGain is the share by which a change must reduce the highest utilization. It provides the
	// hysteresis: changing back would gain less. Default 0.1.
	MinGain float64
	// Smoothing is the time constant of the moving averages. Default 15s.
	Smoothing time.Duration
	// Sustain is how long a change must have been beneficial. Default 30s. A change makes an engine
	// unavailable while it drains and carries out the order, so the demand for it must outlast a
	// burst.
	Sustain time.Duration
	// Cooldown is the minimum time between two changes of a pool. Default 60s.
	Cooldown time.Duration
}

const (
	defaultHighUtilization = 0.85
	defaultMinGain         = 0.1
	defaultSmoothing       = 15 * time.Second
	defaultSustain         = 30 * time.Second
	defaultCooldown        = 60 * time.Second
)

func (o *Options) setDefaults() {
	setDefault(&o.HighUtilization, defaultHighUtilization)
	setDefault(&o.MinGain, defaultMinGain)
	setDefault(&o.Smoothing, defaultSmoothing)
	setDefault(&o.Sustain, defaultSustain)
	setDefault(&o.Cooldown, defaultCooldown)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Advice is a beneficial change of role.
type Advice struct {
	// From is the role that loses an engine, To the role that gains it.
	From api.Role
	To   api.Role
	// PrefillUtilization and DecodeUtilization are the smoothed utilizations of the roles.
	PrefillUtilization float64
	DecodeUtilization  float64
}

// Advisor tracks the load of one pool. It is not safe for concurrent use.
type Advisor struct {
	options Options

	// observedAt is when a load was last observed.
	observedAt time.Duration
	started    bool
	// prefill and decode are the moving averages of the demand for each role.
	prefill float64
	decode  float64
	// candidate is the role that would gain an engine; it has been the same since candidateSince.
	candidate      api.Role
	candidateSince time.Duration
	// lastAdvised is when a change was last advised.
	lastAdvised time.Duration
	advised     bool
}

// New returns an advisor without observations.
func New(options Options) *Advisor {
	options.setDefaults()
	return &Advisor{options: options}
}

// Observe adds the load at a time and returns the change that is due, if any. The caller may ignore
// it; it is not repeated before the cooldown ends.
func (a *Advisor) Observe(now time.Duration, load Load) (Advice, bool) {
	a.smooth(now, load)
	load.Prefill, load.Decode = a.prefill, a.decode
	recommended := a.recommended(load)
	if recommended != a.candidate {
		a.candidate, a.candidateSince = recommended, now
	}
	if recommended == "" || now-a.candidateSince < a.options.Sustain {
		return Advice{}, false
	}
	if a.advised && now-a.lastAdvised < a.options.Cooldown {
		return Advice{}, false
	}
	a.lastAdvised, a.advised = now, true
	a.candidate = ""
	advice := Advice{From: otherRole(recommended), To: recommended}
	advice.PrefillUtilization, advice.DecodeUtilization = load.utilization()
	return advice, true
}

func (a *Advisor) smooth(now time.Duration, load Load) {
	if !a.started {
		a.started, a.prefill, a.decode = true, load.Prefill, load.Decode
	} else {
		weight := 1 - math.Exp(-(now-a.observedAt).Seconds()/a.options.Smoothing.Seconds())
		a.prefill += weight * (load.Prefill - a.prefill)
		a.decode += weight * (load.Decode - a.decode)
	}
	a.observedAt = now
}

// recommended returns the role that should gain an engine, or an empty one.
func (a *Advisor) recommended(load Load) api.Role {
	highest := load.maxUtilization()
	if highest <= a.options.HighUtilization {
		return ""
	}
	limit := highest * (1 - a.options.MinGain)
	toPrefill, toDecode := load, load
	toPrefill.PrefillEngines, toPrefill.DecodeEngines = load.PrefillEngines+1, load.DecodeEngines-1
	toDecode.PrefillEngines, toDecode.DecodeEngines = load.PrefillEngines-1, load.DecodeEngines+1
	switch {
	case load.DecodeEngines > 1 && toPrefill.maxUtilization() < limit:
		return api.RolePrefill
	case load.PrefillEngines > 1 && toDecode.maxUtilization() < limit:
		return api.RoleDecode
	default:
		return ""
	}
}

func otherRole(role api.Role) api.Role {
	if role == api.RolePrefill {
		return api.RoleDecode
	}
	return api.RolePrefill
}
