package enginesim

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/engine"
)

// EntryKind is the kind of event that a ledger entry records.
type EntryKind string

// The kinds of an Entry.
const (
	EntryPrefillStart     EntryKind = "prefill-start"
	EntryPrefillDone      EntryKind = "prefill-done"
	EntryPrefillUsed      EntryKind = "prefill-used"
	EntryPrefillExpired   EntryKind = "prefill-lapsed"
	EntryPrefillCancelled EntryKind = "prefill-cancelled"
	EntryDecodeStart      EntryKind = "decode-start"
	EntryDecodeDone       EntryKind = "decode-done"
	EntryDecodeCancelled  EntryKind = "decode-cancelled"
	EntryRejected         EntryKind = "refused"
	EntryOrderExecuted    EntryKind = "order-taken"
	EntryOrderRejected    EntryKind = "order-refused"
)

// maxEntries bounds the number of entries. Later entries are discarded, but counted in
// the totals.
const maxEntries = 200_000

// Entry is one recorded event of the engine.
type Entry struct {
	Time   time.Time      `json:"time"`
	Kind   EntryKind      `json:"kind"`
	Stream engine.Attempt `json:"stream"`
	Holder engine.Holder  `json:"holder"`
	// Tokens is the number of tokens that a prefill computed, or that a decode produced.
	Tokens int `json:"tokens,omitempty"`
	// Order is set for entries about orders.
	Order *engine.Order `json:"order,omitempty"`
}

// Report is the ledger with its totals and the streams and KV memory held.
type Report struct {
	Engine              string  `json:"engine"`
	PrefillTokens       int     `json:"prefill_tokens"`
	PrefillTokensWasted int     `json:"prefill_tokens_wasted"`
	HeldStreams         int     `json:"held_streams"`
	HeldKVTokens        int     `json:"held_kv_tokens"`
	Entries             []Entry `json:"entries"`
}

// ledger records what the engine did. It is safe for concurrent use.
type ledger struct {
	mu            sync.Mutex
	entries       []Entry
	prefillTokens int
	wastedTokens  int
}

func (l *ledger) add(entry Entry) {
	entry.Time = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch entry.Kind {
	case EntryPrefillDone:
		l.prefillTokens += entry.Tokens
	case EntryPrefillCancelled, EntryPrefillExpired:
		l.wastedTokens += entry.Tokens
	}
	if len(l.entries) < maxEntries {
		l.entries = append(l.entries, entry)
	}
}

func (l *ledger) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		PrefillTokens: l.prefillTokens, PrefillTokensWasted: l.wastedTokens,
		Entries: append([]Entry(nil), l.entries...),
	}
}
