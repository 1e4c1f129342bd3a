package rebalance

import (
	"math"
	"time"

	"github.com/reelrun/reelrun/api"
)

// Load is the work asked of a pool at a moment.
type Load struct {
	// PrefillEngines and DecodeEngines are the engines of each role.
	PrefillEngines int
	DecodeEngines  int
	// Prefill and Decode are the engines of each role that the work asked for would
	// keep busy: seconds of one engine a second.
	Prefill float64
	Decode  float64
}

// use is the demand for each role over what its engines can do; above one is more
// than they can.
func (l Load) use() (prefill, decode float64) {
	return l.Prefill / float64(max(l.PrefillEngines, 1)), l.Decode / float64(max(l.DecodeEngines, 1))
}

// worst is the use of the role that is shorter of engines.
func (l Load) worst() float64 {
	prefill, decode := l.use()
	return max(prefill, decode)
}

// Options are the thresholds of an Advisor.
type Options struct {
	// High is the use from which a role counts as short of engines. Default 0.85.
	High float64
	// Gain is the part of the worst use that a change must take away. It is the
	// hysteresis: what is gained by a change back would be less. Default 0.1.
	Gain float64
	// Smoothing is the time constant of the running means. Default 15s.
	Smoothing time.Duration
	// Sustain is how long a change must have looked right. Default 30s. A change
	// takes an engine away while it drains and takes the order, so it must outlast
	// a burst.
	Sustain time.Duration
	// Cooldown is the least time between two changes of a pool. Default 60s.
	Cooldown time.Duration
}

// Defaults of the options.
const (
	defaultHigh      = 0.85
	defaultGain      = 0.1
	defaultSmoothing = 15 * time.Second
	defaultSustain   = 30 * time.Second
	defaultCooldown  = 60 * time.Second
)

func (o *Options) setDefaults() {
	setDefault(&o.High, defaultHigh)
	setDefault(&o.Gain, defaultGain)
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

// Advice is a change of role that would help.
type Advice struct {
	// From is the role that gives an engine, To the one that gets it.
	From api.Role
	To   api.Role
	// PrefillUse and DecodeUse are the smoothed demands over what the engines of
	// each role can do.
	PrefillUse float64
	DecodeUse  float64
}

// Advisor follows the load of one pool. It is not safe for concurrent use.
type Advisor struct {
	options Options

	observed time.Duration
	started  bool
	prefill  float64
	decode   float64
	// candidate is the role that would get an engine, since the time given.
	candidate api.Role
	since     time.Duration
	// changed is when a change was last advised.
	changed time.Duration
	advised bool
}

// New returns an advisor that has seen nothing.
func New(options Options) *Advisor {
	options.setDefaults()
	return &Advisor{options: options}
}

// Observe takes the load at a time and returns the change that is due, if any. The
// caller carries it out or lets it be; it is not repeated before the cool-down.
func (a *Advisor) Observe(now time.Duration, load Load) (Advice, bool) {
	a.smooth(now, load)
	load.Prefill, load.Decode = a.prefill, a.decode
	wanted := a.wanted(load)
	if wanted != a.candidate {
		a.candidate, a.since = wanted, now
	}
	if wanted == "" || now-a.since < a.options.Sustain {
		return Advice{}, false
	}
	if a.advised && now-a.changed < a.options.Cooldown {
		return Advice{}, false
	}
	a.changed, a.advised = now, true
	a.candidate = ""
	advice := Advice{From: other(wanted), To: wanted}
	advice.PrefillUse, advice.DecodeUse = load.use()
	return advice, true
}

func (a *Advisor) smooth(now time.Duration, load Load) {
	if !a.started {
		a.started, a.prefill, a.decode = true, load.Prefill, load.Decode
	} else {
		weight := 1 - math.Exp(-(now-a.observed).Seconds()/a.options.Smoothing.Seconds())
		a.prefill += weight * (load.Prefill - a.prefill)
		a.decode += weight * (load.Decode - a.decode)
	}
	a.observed = now
}

// wanted is the role that should get an engine of the other one, or empty.
func (a *Advisor) wanted(load Load) api.Role {
	worst := load.worst()
	if worst <= a.options.High {
		return ""
	}
	limit := worst * (1 - a.options.Gain)
	toPrefill, toDecode := load, load
	toPrefill.PrefillEngines, toPrefill.DecodeEngines = load.PrefillEngines+1, load.DecodeEngines-1
	toDecode.PrefillEngines, toDecode.DecodeEngines = load.PrefillEngines-1, load.DecodeEngines+1
	switch {
	case load.DecodeEngines > 1 && toPrefill.worst() < limit:
		return api.RolePrefill
	case load.PrefillEngines > 1 && toDecode.worst() < limit:
		return api.RoleDecode
	default:
		return ""
	}
}

func other(role api.Role) api.Role {
	if role == api.RolePrefill {
		return api.RoleDecode
	}
	return api.RolePrefill
}
