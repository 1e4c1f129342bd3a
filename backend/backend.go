package backend

// State tells whether a back end takes new work.
type State string

// The states of a back end.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Role is what an engine does. Back ends of plain services have none.
type Role string

// The roles of engines.
const (
	RoleNone    Role = ""
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Backend is one incarnation of a back end, as discovery tells it.
type Backend struct {
	// ID names the incarnation.
	ID      string
	Service string
	// Address is an IP address and port.
	Address string
	Zone    string
	State   State
	Role    Role
	// Slots is how many requests it works on at once.
	Slots int
}
