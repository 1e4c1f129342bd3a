package antientropy

import (
	"sync"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/replica"
)

// chunkIndex finds the chunks of the chunked objects that this node has. It keeps one version of each object,
// the one last requested. It is safe for concurrent use.
type chunkIndex struct {
	mu      sync.Mutex
	objects map[replica.Key]indexedObject
}

// indexedObject is one version of an object, split into chunks.
type indexedObject struct {
	version  int64
	manifest chunk.Manifest
	// contents are slices of the object's content, not copies.
	contents map[chunk.ID][]byte
}

func newChunkIndex() *chunkIndex {
	return &chunkIndex{objects: map[replica.Key]indexedObject{}}
}

// manifest returns the chunks of a record's content, and splits it if it is not indexed yet.
func (x *chunkIndex) manifest(record replica.Record) chunk.Manifest {
	x.mu.Lock()
	defer x.mu.Unlock()
	indexed, found := x.objects[record.Key()]
	if found && indexed.version == record.Object.Version {
		return indexed.manifest
	}
	manifest := chunk.Split(record.Object.Spec)
	x.put(record, manifest)
	return manifest
}

// add indexes a record whose chunks are known.
func (x *chunkIndex) add(record replica.Record, manifest chunk.Manifest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.put(record, manifest)
}

// put replaces the indexed version of an object; the caller holds the lock.
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
