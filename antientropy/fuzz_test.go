package antientropy

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// FuzzObjectsOfAnotherNode decodes objects and chunks as another node may send them. Accepted objects must be
// within the size limit, and a chunk's ID must be the digest of its content.
func FuzzObjectsOfAnotherNode(f *testing.F) {
	content := largeConfiguration(400)
	record := replica.Record{Object: objectapi.Object{Kind: urgentKind, Name: "main", Version: 3, Spec: content}}
	stored, err := proto.Marshal(&peerpb.StoredObjects{Objects: []*peerpb.StoredObject{
		manifestObject(record, chunk.Split(content)), storedObject(record),
	}})
	if err != nil {
		f.Fatal(err)
	}
	chunks, err := proto.Marshal(&peerpb.ChunkContents{Contents: []*peerpb.ChunkContent{chunkContent(content[:chunk.MaxBytes])}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(stored, chunks)
	f.Fuzz(func(t *testing.T, stored, chunks []byte) {
		var objects peerpb.StoredObjects
		if proto.Unmarshal(stored, &objects) == nil {
			_, chunkedObjects, _ := recordsOfObjects(objects.GetObjects())
			for _, chunked := range chunkedObjects {
				if chunked.manifest.Bytes() > maxObjectBytes {
					t.Fatalf("object of %d bytes", chunked.manifest.Bytes())
				}
			}
		}
		var received peerpb.ChunkContents
		if proto.Unmarshal(chunks, &received) == nil {
			for id, content := range contentsOf(&received) {
				if id != chunk.IDOf(content) {
					t.Fatal("chunk ID differs from the digest of its content")
				}
			}
		}
	})
}
