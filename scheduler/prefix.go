package scheduler

// maxIndexBlocks is the maximum number of blocks in the index per engine.
const maxIndexBlocks = 8192

// BlockTokens is the size of a prefix block.
const BlockTokens = 64

// PrefixIndex tracks which engine caches which prompt blocks. It is built from the engines' events,
// which arrive late and with gaps, so it is approximate; a wrong entry only costs time.
type PrefixIndex struct {
	engines map[string]*blockSet
}

// blockSet holds the newest blocks of one engine; order lists them from oldest to newest.
type blockSet struct {
	blocks map[uint64]struct{}
	order  []uint64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{engines: map[string]*blockSet{}} }

// Store records that an engine has cached blocks.
func (x *PrefixIndex) Store(engine string, blocks []uint64) {
	set, ok := x.engines[engine]
	if !ok {
		set = &blockSet{blocks: map[uint64]struct{}{}}
		x.engines[engine] = set
	}
	for _, block := range blocks {
		if _, known := set.blocks[block]; known {
			continue
		}
		set.blocks[block] = struct{}{}
		set.order = append(set.order, block)
	}
	set.trim()
}

func (s *blockSet) trim() {
	if len(s.order) <= maxIndexBlocks {
		return
	}
	excess := len(s.order) - maxIndexBlocks
	for _, block := range s.order[:excess] {
		delete(s.blocks, block)
	}
	s.order = append([]uint64(nil), s.order[excess:]...)
}

// Evict records that an engine has dropped a block.
func (x *PrefixIndex) Evict(engine string, block uint64) {
	if set, ok := x.engines[engine]; ok {
		delete(set.blocks, block)
	}
}

// Forget drops the blocks of an engine.
func (x *PrefixIndex) Forget(engine string) { delete(x.engines, engine) }

// CachedTokens returns how many leading tokens an engine is expected to have cached.
func (x *PrefixIndex) CachedTokens(engine string, blocks []uint64) int {
	if x == nil {
		return 0
	}
	set, ok := x.engines[engine]
	if !ok {
		return 0
	}
	for i, block := range blocks {
		if _, cached := set.blocks[block]; !cached {
			return i * BlockTokens
		}
	}
	return len(blocks) * BlockTokens
}
