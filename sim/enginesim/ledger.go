package enginesim

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/engine"
)

// EntryKind is what a ledger entry records.
type EntryKind string

// The kinds of an Entry.
const (
	EntryPrefillStart     EntryKind = "prefill-start"
	EntryPrefillDone      EntryKind = "prefill-done"
	EntryPrefillUsed      EntryKind = "prefill-used"
	EntryPrefillExpired    EntryKind = "prefill-lapsed"
	EntryPrefillCancelled EntryKind = "prefill-cancelled"
	EntryDecodeStart      EntryKind = "decode-start"
	EntryDecodeDone       EntryKind = "decode-done"
	EntryDecodeCancelled  EntryKind = "decode-cancelled"
	EntryRefused          EntryKind = "refused"
	EntryOrderExecuted       EntryKind = "order-taken"
	EntryOrderRefused     EntryKind = "order-refused"
)

// maxEntries bounds the ledger.
const maxEntries = 200_000

// Entry is one thing the engine did.
type Entry struct {
	Time   time.Time      `json:"time"`
	Kind   EntryKind      `json:"kind"`
	Stream engine.Attempt `json:"stream"`
	Holder engine.Holder  `json:"holder"`
	// Tokens is the prefill's computed tokens or the decode's output.
	Tokens int `json:"tokens,omitempty"`
	// Order is set for orders.
	Order *engine.Order `json:"order,omitempty"`
}

// Report is the ledger with its totals.
type Report struct {
	Engine              string  `json:"engine"`
	PrefillTokens       int     `json:"prefill_tokens"`
	PrefillTokensWasted int     `json:"prefill_tokens_wasted"`
	HeldStreams         int     `json:"held_streams"`
	HeldKVTokens        int     `json:"held_kv_tokens"`
	Entries             []Entry `json:"entries"`
}

// ledger is safe for concurrent use.
type ledger struct {
	mu      sync.Mutex
	entries []Entry
	prefill int
	wasted  int
}

func (l *ledger) add(entry Entry) {
	entry.Time = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch entry.Kind {
	case EntryPrefillDone:
		l.prefill += entry.Tokens
	case EntryPrefillCancelled, EntryPrefillExpired:
		l.wasted += entry.Tokens
	}
	if len(l.entries) < maxEntries {
		l.entries = append(l.entries, entry)
	}
}

func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		PrefillTokens: l.prefill, PrefillTokensWasted: l.wasted,
		Entries: append([]Entry(nil), l.entries...),
	}
}
