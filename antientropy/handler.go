package antientropy

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// Handle answers a call of another node.
func (s *Syncer) Handle(_ context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_CompareReplicas:
		return s.handleCompare(body.CompareReplicas), nil
	case *peerpb.Request_CompareParts:
		return s.handleCompareParts(body.CompareParts), nil
	case *peerpb.Request_ExchangeObjects:
		return s.handleExchange(body.ExchangeObjects), nil
	case *peerpb.Request_FetchChunks:
		return s.handleFetch(body.FetchChunks), nil
	default:
		return nil, peer.ErrUnknownCall
	}
}

func (s *Syncer) handleCompare(request *peerpb.CompareReplicas) *peerpb.Response {
	// Read before the digest is computed, so that the digest of a replica that is reported as complete is that of a
	// complete one: a complete replica stays complete.
	isComplete := s.options.Complete()
	compared := &peerpb.ReplicaVersions{Same: request.GetDigest() == s.options.Replica.Digest(), Whole: isComplete, ComparesParts: true, UrgentAgeMs: s.reportedUrgentAge()}
	if !compared.GetSame() {
		compared.Buckets = s.options.Replica.BucketDigests()
	}
	return &peerpb.Response{Body: &peerpb.Response_ReplicaVersions{ReplicaVersions: compared}}
}

// handleCompareParts returns which parts of some buckets differ.
func (s *Syncer) handleCompareParts(request *peerpb.CompareParts) *peerpb.Response {
	differing := &peerpb.DifferingParts{}
	for _, requested := range request.GetBuckets() {
		parts := s.options.Replica.DifferingParts(int(requested.GetBucket()), requested.GetDigests())
		differing.Buckets = append(differing.Buckets, &peerpb.PartSet{Bucket: requested.GetBucket(), Parts: uint32(parts)})
	}
	return &peerpb.Response{Body: &peerpb.Response_DifferingParts{DifferingParts: differing}}
}

func (s *Syncer) handleExchange(request *peerpb.ExchangeObjects) *peerpb.Response {
	received, err := objectsOf(request.GetObjects(), request.GetCompressed())
	if err != nil {
		s.options.Logger.Error("rejected objects of another node", "error", err.Error())
	}
	s.applyReceived(received, request.GetAddress())
	newerHere, newerThere := s.options.Replica.Compare(sectionsOf(request), recordsOf(request.GetVersions()))
	response := s.encodeNewer(s.options.Replica.Records(newerHere), request.GetReadsCompressed())
	response.Wanted = wantedVersions(newerThere)
	return &peerpb.Response{Body: &peerpb.Response_StoredObjects{StoredObjects: response}}
}

// sectionsOf returns the sections of an exchange: whole buckets where it names no parts, since older builds
// name none.
func sectionsOf(request *peerpb.ExchangeObjects) []replica.Section {
	sections := make([]replica.Section, len(request.GetBuckets()))
	for i, bucket := range request.GetBuckets() {
		sections[i] = replica.Section{Bucket: int(bucket), Parts: replica.AllParts}
		if i < len(request.GetParts()) {
			sections[i].Parts = replica.PartSet(request.GetParts()[i])
		}
	}
	return sections
}

// handleFetch sends the requested chunks that this node has, as many as fit into one message, unless the upload
// limit is exceeded.
func (s *Syncer) handleFetch(request *peerpb.FetchChunks) *peerpb.Response {
	contents := &peerpb.ChunkContents{}
	length, sent := 0, 0
	for _, digest := range request.GetDigests() {
		content, found := s.transfers.find(chunkIDOf(digest))
		if !found {
			continue
		}
		length += len(content)
		if length > chunk.MaxBytes && len(contents.GetContents()) > 0 {
			break
		}
		encoded := chunkContent(content)
		sent += len(encoded.GetContent())
		contents.Contents = append(contents.Contents, encoded)
	}
	if !s.uploads.AllowN(time.Now(), sent) {
		contents = &peerpb.ChunkContents{Busy: true}
	}
	return &peerpb.Response{Body: &peerpb.Response_ChunkContents{ChunkContents: contents}}
}
