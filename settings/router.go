package settings

import "time"

// Router are the settings of a daemon that serves by routes.
type Router struct {
	// Name of the node, unique in the fleet.
	Name string
	Zone string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are IP addresses
	// and ports that the node listens on.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// StoreAddress is that of the store.
	StoreAddress string
	// Capacity is the share of a core that the node has.
	Capacity float64
	// MemoryBytes is what the process may use of the machine's memory; zero if it is not known.
	MemoryBytes int64
	// LinkBytes is what the node's link carries, in bytes a second; zero if it is not known.
	LinkBytes float64
	// Seeds are addresses of other nodes; they may be stale.
	Seeds []string
	// FirstStart is set for the first start of the whole fleet: no object of an earlier start is in the store.
	FirstStart bool
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryRatio, RetryBurst and RetryWindow bound the retries of the whole fleet.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// LeaseDuration is how long engines take one holder's orders before another's.
	LeaseDuration time.Duration
	// QuotaTolerance is by how much a tenant may exceed its limit; zero where the settings do not
	// say.
	QuotaTolerance QuotaTolerance
}

// QuotaTolerance is by how much the limits of tenants may be exceeded.
type QuotaTolerance struct {
	// Window is the time over which limits are judged.
	Window time.Duration
	// Overshoot is the part of a limit, and Slack the units, by which it may be exceeded then.
	Overshoot, Slack float64
}
