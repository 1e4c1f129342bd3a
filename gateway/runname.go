package gateway

import (
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
)

// runNamePrefixBytes is the number of random bytes in the prefix that distinguishes the runs of one process
// from those of all others.
const runNamePrefixBytes = 6

// runNames generates the names of the runs of one process. Coordinators do not identify runs by the
// identifiers of requests: callers choose these, and may choose another tenant's or none.
type runNames struct {
	prefix string
	last   atomic.Uint64
}

func newRunNames() *runNames {
	random := uuid.New()
	return &runNames{prefix: hex.EncodeToString(random[:runNamePrefixBytes])}
}

// next returns a name that no other run has.
func (n *runNames) next() string {
	return n.prefix + "-" + strconv.FormatUint(n.last.Add(1), 36)
}
