package antientropy

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

func objectVersions(records []replica.Record) []*peerpb.ObjectVersion {
	versions := make([]*peerpb.ObjectVersion, len(records))
	for i, record := range records {
		versions[i] = objectVersion(record)
	}
	return versions
}

func keysOf(versions []*peerpb.ObjectVersion) []replica.Key {
	keys := make([]replica.Key, len(versions))
	for i, version := range versions {
		keys[i] = recordOf(version).Key()
	}
	return keys
}

func objectVersion(record replica.Record) *peerpb.ObjectVersion {
	return &peerpb.ObjectVersion{
		Kind: string(record.Object.Kind), Name: record.Object.Name,
		Version: record.Object.Version, Deleted: record.Deleted,
	}
}

func wantedVersions(keys []replica.Key) []*peerpb.ObjectVersion {
	wanted := make([]*peerpb.ObjectVersion, len(keys))
	for i, key := range keys {
		wanted[i] = &peerpb.ObjectVersion{Kind: string(key.Kind), Name: key.Name}
	}
	return wanted
}

const (
	// maxExchangedBytes bounds the content of one message as it is sent. Objects that do not fit are sent after
	// the next comparison.
	maxExchangedBytes = 128 << 10
	// maxCompressedContent bounds the uncompressed content that is compressed together for one message.
	maxCompressedContent = 4 * maxExchangedBytes
	// minCompressedBytes is the size of a content from which compression is tried. The objects of backends and
	// nodes have a few hundred bytes each.
	minCompressedBytes = 4 << 10
	// minBatchCompressedBytes is the same for several objects, which share their field names.
	minBatchCompressedBytes = 512
	// minChunkedBytes is the size of a content from which an object is fetched in chunks. A configuration of
	// 1,400 routes has 280 KB.
	minChunkedBytes = chunk.MaxBytes
)

// storedObjects encodes as many of the records as fit into maxBytes, at least one, and reports whether some are
// left out.
func (s *Syncer) storedObjects(records []replica.Record, maxBytes int) (stored []*peerpb.StoredObject, truncated bool) {
	size := 0
	for _, record := range records {
		object := s.encodeRecord(record)
		size += proto.Size(object)
		if size > maxBytes && len(stored) > 0 {
			return stored, true
		}
		stored = append(stored, object)
	}
	return stored, false
}

// encodeNewer encodes the records of a response, compressed together where the receiver supports that: the
// objects of backends share their field names, and a single one is too short to be worth compressing.
func (s *Syncer) encodeNewer(records []replica.Record, readsCompressed bool) *peerpb.StoredObjects {
	if readsCompressed {
		if response, fits := s.encodeCompressed(records); fits {
			return response
		}
	}
	stored, truncated := s.storedObjects(records, maxExchangedBytes)
	return &peerpb.StoredObjects{Objects: stored, Truncated: truncated}
}

// encodeCompressed encodes as many records as may be compressed together. It reports whether this makes them
// shorter and the result fits into one message.
func (s *Syncer) encodeCompressed(records []replica.Record) (response *peerpb.StoredObjects, fits bool) {
	stored, truncated := s.storedObjects(records, maxCompressedContent)
	compressed, shorter := compressObjects(stored)
	if !shorter || len(compressed) > maxExchangedBytes {
		return nil, false
	}
	return &peerpb.StoredObjects{Compressed: compressed, Truncated: truncated}, true
}

// objectsOf returns the objects of a message, which carries them either plain or compressed together.
func objectsOf(plain []*peerpb.StoredObject, compressed []byte) ([]*peerpb.StoredObject, error) {
	if len(compressed) == 0 {
		return plain, nil
	}
	content, err := decompress(compressed, peer.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	var objects peerpb.StoredObjects
	if err := proto.Unmarshal(content, &objects); err != nil {
		return nil, errors.Wrap(err, "decode objects")
	}
	return objects.GetObjects(), nil
}

// encodeRecord encodes one record: a long content as a list of chunk IDs, others in full.
func (s *Syncer) encodeRecord(record replica.Record) *peerpb.StoredObject {
	if len(record.Object.Spec) >= minChunkedBytes {
		return manifestObject(record, s.transfers.index.manifest(record))
	}
	return storedObject(record)
}

// manifestObject encodes a record as a list of chunk IDs.
func manifestObject(record replica.Record, manifest chunk.Manifest) *peerpb.StoredObject {
	object := &peerpb.StoredObject{Version: objectVersion(record)}
	for _, reference := range manifest {
		object.Chunks = append(object.Chunks, &peerpb.Chunk{Digest: reference.ID[:], Length: uint32(reference.Length)})
	}
	return object
}

// storedObject encodes one record with its content, compressed if that makes it shorter.
func storedObject(record replica.Record) *peerpb.StoredObject {
	content := record.Object.Spec
	object := &peerpb.StoredObject{Version: objectVersion(record)}
	if compressed, shorter := compress(content); shorter {
		object.CompressedSpec = compressed
		return object
	}
	object.Spec = content
	return object
}

// compress returns the compressed content, if that is shorter.
func compress(content []byte) (compressed []byte, shorter bool) {
	return compressAbove(content, minCompressedBytes)
}

// compressAbove is compress for contents of at least minBytes.
func compressAbove(content []byte, minBytes int) (compressed []byte, shorter bool) {
	if len(content) < minBytes {
		return nil, false
	}
	compressed = s2.EncodeBetter(nil, content)
	return compressed, len(compressed) < len(content)
}

// decompress returns a content of at most maxBytes.
func decompress(compressed []byte, maxBytes int) ([]byte, error) {
	size, err := s2.DecodedLen(compressed)
	if err != nil {
		return nil, errors.Wrap(err, "read length of compressed content")
	}
	if size > maxBytes {
		return nil, errors.Newf("compressed content of %d bytes, at most %d are allowed", size, maxBytes)
	}
	content, err := s2.Decode(nil, compressed)
	return content, errors.Wrap(err, "decompress")
}

// chunkContent encodes one chunk.
func chunkContent(content []byte) *peerpb.ChunkContent {
	if compressed, shorter := compress(content); shorter {
		return &peerpb.ChunkContent{Content: compressed, Compressed: true}
	}
	return &peerpb.ChunkContent{Content: content}
}

// contentsOf decodes chunks and indexes them by ID. The ID is the digest of the content, so a damaged chunk has
// an ID that was not requested and is ignored. Chunks that cannot be decoded are left out, and requested again.
func contentsOf(received *peerpb.ChunkContents) map[chunk.ID][]byte {
	contents := make(map[chunk.ID][]byte, len(received.GetContents()))
	for _, encoded := range received.GetContents() {
		content := encoded.GetContent()
		if encoded.GetCompressed() {
			decoded, err := decompress(content, chunk.MaxBytes)
			if err != nil {
				continue
			}
			content = decoded
		}
		contents[chunk.IDOf(content)] = content
	}
	return contents
}

// chunkIDOf returns the chunk ID of a digest; a digest of the wrong length yields the zero ID, which matches no
// chunk.
func chunkIDOf(digest []byte) (id chunk.ID) {
	if len(digest) == len(id) {
		copy(id[:], digest)
	}
	return id
}

// manifestOf decodes the chunk IDs of an object.
func manifestOf(chunks []*peerpb.Chunk) (chunk.Manifest, error) {
	manifest := make(chunk.Manifest, len(chunks))
	total := 0
	for i, encoded := range chunks {
		length := int(encoded.GetLength())
		if len(encoded.GetDigest()) != len(chunk.ID{}) || length == 0 || length > chunk.MaxBytes {
			return nil, errors.Newf("chunk %d: invalid length of %d bytes, or digest of %d bytes", i, length, len(encoded.GetDigest()))
		}
		manifest[i] = chunk.Reference{ID: chunkIDOf(encoded.GetDigest()), Length: length}
		total += length
	}
	if total > maxObjectBytes {
		return nil, errors.Newf("object of %d bytes, at most %d are allowed", total, maxObjectBytes)
	}
	return manifest, nil
}

// contentOf returns the content of an object received from another node.
func contentOf(object *peerpb.StoredObject) ([]byte, error) {
	if compressed := object.GetCompressedSpec(); len(compressed) > 0 {
		return decompress(compressed, peer.MaxMessageBytes)
	}
	return object.GetSpec(), nil
}

func recordOf(version *peerpb.ObjectVersion) replica.Record {
	object := objectapi.Object{Kind: objectapi.Kind(version.GetKind()), Name: version.GetName(), Version: version.GetVersion()}
	return replica.Record{Object: object, Deleted: version.GetDeleted()}
}

func recordsOf(versions []*peerpb.ObjectVersion) []replica.Record {
	records := make([]replica.Record, len(versions))
	for i, version := range versions {
		records[i] = recordOf(version)
	}
	return records
}

// chunkedObject is an object of which another node has sent the chunk IDs.
type chunkedObject struct {
	// record has no content yet.
	record   replica.Record
	manifest chunk.Manifest
}

// recordsOfObjects decodes the objects of another node. Those that cannot be decoded are left out; the error
// is the reason.
func recordsOfObjects(objects []*peerpb.StoredObject) (records []replica.Record, chunkedObjects []chunkedObject, failed error) {
	for _, object := range objects {
		record := recordOf(object.GetVersion())
		if len(object.GetChunks()) > 0 {
			manifest, err := manifestOf(object.GetChunks())
			if err != nil {
				failed = errors.CombineErrors(failed, rejectedObject(record, err))
				continue
			}
			chunkedObjects = append(chunkedObjects, chunkedObject{record: record, manifest: manifest})
			continue
		}
		content, err := contentOf(object)
		if err != nil {
			failed = errors.CombineErrors(failed, rejectedObject(record, err))
			continue
		}
		record.Object.Spec = content
		records = append(records, record)
	}
	return records, chunkedObjects, failed
}

func rejectedObject(record replica.Record, err error) error {
	return errors.Wrapf(err, "%s %s", record.Object.Kind, record.Object.Name)
}
