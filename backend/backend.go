package backend

// State is whether a backend takes new work.
type State string

// States of a backend.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Role is the role of an engine. Backends of plain services have none.
type Role string

// Roles of engines.
const (
	RoleNone    Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Backend is one incarnation of a backend, as described by discovery.
type Backend struct {
	// ID identifies the incarnation: no other start of the backend has the same identifier, so that everything
	// that is assigned, reserved, counted or recorded under it ends with the incarnation.
	ID string
	// RegisteredAs is the identifier that the backend keeps over its incarnations; empty if that is the ID.
	RegisteredAs string
	// StartedAt is when this incarnation started, in Unix milliseconds; zero if unknown.
	StartedAt int64
	Service   string
	// Address is an IP address and port.
	Address string
	Zone    string
	State   State
	Role    Role
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// SoftwareVersion is the version of its software. Versions have no order, and a stream that one version has begun
	// cannot continue at another.
	SoftwareVersion string
}

// name returns the identifier that the backend is registered under.
func (b Backend) name() string {
	if b.RegisteredAs == "" {
		return b.ID
	}
	return b.RegisteredAs
}
