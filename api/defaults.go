package api

import (
	"net/http"
	"time"
)

// Defaults of the optional fields.
const (
	DefaultWeight                 = 1.0
	DefaultMaxConcurrent          = 256
	DefaultMaxPromptTokens        = 65536
	DefaultMaxOutputTokens        = 1024
	DefaultHold                   = 5 * time.Second
	DefaultPrefillTokensPerSecond = 20000.0
	DefaultLinkTokensPerSecond    = 200000.0
	DefaultStepTime               = 20 * time.Millisecond
	DefaultSlots                  = 32
	DefaultKVTokens               = 400000
	DefaultServiceTimeout         = 10 * time.Second
)

// SetDefaults sets every optional field that is zero to its default.
func (c *Configuration) SetDefaults() {
	for i := range c.Tenants {
		setDefault(&c.Tenants[i].Weight, DefaultWeight)
		setDefault(&c.Tenants[i].MaxConcurrent, DefaultMaxConcurrent)
	}
	for i := range c.Classes {
		setDefault(&c.Classes[i].MaxPromptTokens, DefaultMaxPromptTokens)
		setDefault(&c.Classes[i].MaxOutputTokens, DefaultMaxOutputTokens)
	}
	for i := range c.Pools {
		c.Pools[i].setDefaults()
	}
	for i := range c.Services {
		service := &c.Services[i]
		setDefault(&service.Timeout, Duration(DefaultServiceTimeout))
		if len(service.NonIdempotentMethods) == 0 {
			service.NonIdempotentMethods = []string{http.MethodPost, http.MethodPatch}
		}
	}
}

func (p *Pool) setDefaults() {
	setDefault(&p.Hold, Duration(DefaultHold))
	setDefault(&p.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&p.LinkTokensPerSecond, DefaultLinkTokensPerSecond)
	setDefault(&p.StepTime, Duration(DefaultStepTime))
	for i := range p.Engines {
		setDefault(&p.Engines[i].Slots, DefaultSlots)
		setDefault(&p.Engines[i].KVTokens, DefaultKVTokens)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
