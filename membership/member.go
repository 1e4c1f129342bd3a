package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/reelrun/reelrun/peer/peerpb"
)

// State is a stage in the lifecycle of a node.
type State int32

// The states of a node. Only a ready node owns pools and claim shards.
const (
	StateStarting State = State(peerpb.State_STATE_STARTING)
	StateReady    State = State(peerpb.State_STATE_READY)
	StateDraining State = State(peerpb.State_STATE_DRAINING)
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	default:
		return "unknown"
	}
}

// Member describes one node.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Incarnation identifies one start of the node; a later start has a higher
	// value.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

func memberOf(message *peerpb.Member) Member {
	return Member{
		Name:        message.GetName(),
		Zone:        message.GetZone(),
		Address:     message.GetAddress(),
		Incarnation: message.GetIncarnation(),
		State:       State(message.GetState()),
	}
}

func (m Member) message() *peerpb.Member {
	return &peerpb.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, State: peerpb.State(m.State)}
}

// sortMembers sorts members by name.
func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// digestOf returns a digest of members sorted by name.
func digestOf(members []Member) uint64 {
	hash := xxhash.New()
	var number [8]byte
	for _, member := range members {
		_, _ = hash.WriteString(member.Name)
		_, _ = hash.WriteString(member.Address)
		binary.LittleEndian.PutUint64(number[:], member.Incarnation)
		_, _ = hash.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], uint64(member.State))
		_, _ = hash.Write(number[:])
	}
	return hash.Sum64()
}
