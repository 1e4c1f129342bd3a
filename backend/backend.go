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

// Backend is one life of a back end, as discovery tells it.
type Backend struct {
	// ID names this life: no other start of the back end has the same one, so that what is
	// assigned, reserved, counted or believed by it ends with the life.
	ID string
	// RegisteredAs is the identifier that the back end keeps over its lives; empty where it is
	// the ID.
	RegisteredAs string
	// StartedAt is when this life began, as a Unix millisecond; zero if that is not known.
	StartedAt int64
	Service   string
	// Address is an IP address and port.
	Address string
	Zone    string
	State   State
	Role    Role
	// Slots is how many requests it works on at once.
	Slots int
}

// name returns what the back end is registered as.
func (b Backend) name() string {
	if b.RegisteredAs == "" {
		return b.ID
	}
	return b.RegisteredAs
}
