package settings

import "time"

// Router holds the settings of the router, a daemon that serves requests by routes.
type Router struct {
	// Name of the node, unique in the fleet.
	Name string
	Zone string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the IP addresses
	// and ports that the node listens on.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string
	// Capacity is the processor time that the node may use, in cores.
	Capacity float64
	// MemoryBytes is the memory limit of the process; zero if it is not known.
	MemoryBytes int64
	// Descriptors is the number of files and connections that the process may have open; zero if it is not known.
	Descriptors int
	// LinkBytes is the bandwidth of the node's link in bytes per second; zero if it is not known.
	LinkBytes float64
	// Seeds are peer addresses of other nodes. Some may be out of date.
	Seeds []string
	// FirstStart is set for the first start of the whole fleet: the store has no objects of an earlier start.
	FirstStart bool
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryRatio, RetryBurst and RetryWindow define the retry budget of the whole fleet.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// LeaseDuration is the lease duration that engines require: they accept the orders of one holder for
	// this time before those of another.
	LeaseDuration time.Duration
	// QuotaTolerance bounds by how much a tenant may exceed its limit; zero if the settings do not state it.
	QuotaTolerance QuotaTolerance
}

// QuotaTolerance bounds the use of tenants beyond their limits.
type QuotaTolerance struct {
	// Window is the time over which use is compared with the limit.
	Window time.Duration
	// Overshoot and Slack are by how much a limit may be exceeded in a window: a fraction of the limit, plus a
	// number of the limit's units.
	Overshoot, Slack float64
}
