package antientropy

import (
	"sync"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/replica"
)

// chunkIndex finds the chunks of the long contents that this node has. It keeps one version of
// each object, the one that was last asked for. It is safe for concurrent use.
type chunkIndex struct {
	mu      sync.Mutex
	objects map[replica.Key]indexedObject
}

// indexedObject is one version of an object, divided.
type indexedObject struct {
	version  int64
	manifest chunk.Manifest
	// contents are parts of the object's content, not copies.
	contents map[chunk.ID][]byte
}

func newChunkIndex() *chunkIndex {
	return &chunkIndex{objects: map[replica.Key]indexedObject{}}
}

// manifest returns the chunks of a record's content, and divides it if it was not yet.
func (x *chunkIndex) manifest(record replica.Record) chunk.Manifest {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, found := x.objects[record.Key()]
	if found && known.version == record.Object.Version {
		return known.manifest
	}
	manifest := chunk.Split(record.Object.Spec)
	x.put(record, manifest)
	return manifest
}

// add puts a record whose chunks are known into the index.
func (x *chunkIndex) add(record replica.Record, manifest chunk.Manifest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.put(record, manifest)
}

// put replaces the version of an object; the lock is held.
func (x *chunkIndex) put(record replica.Record, manifest chunk.Manifest) {
	x.objects[record.Key()] = indexedObject{
		version: record.Object.Version, manifest: manifest, contents: manifest.Contents(record.Object.Spec),
	}
}

// find returns the content of a chunk.
func (x *chunkIndex) find(id chunk.ID) ([]byte, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, object := range x.objects {
		if content, found := object.contents[id]; found {
			return content, true
		}
	}
	return nil, false
}
