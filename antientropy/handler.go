package antientropy

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// Handle answers another node.
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
	// Asked before the digest is taken: what is whole then stays so.
	whole := s.options.Complete()
	compared := &peerpb.ReplicaVersions{Same: request.GetDigest() == s.options.Replica.Digest(), Whole: whole, ComparesParts: true, UrgentAgeMs: s.ageToTell()}
	if !compared.GetSame() {
		compared.Buckets = s.options.Replica.BucketDigests()
	}
	return &peerpb.Response{Body: &peerpb.Response_ReplicaVersions{ReplicaVersions: compared}}
}

// handleCompareParts tells which parts of some buckets differ.
func (s *Syncer) handleCompareParts(request *peerpb.CompareParts) *peerpb.Response {
	differing := &peerpb.DifferingParts{}
	for _, asked := range request.GetBuckets() {
		parts := s.options.Replica.DifferingParts(int(asked.GetBucket()), asked.GetDigests())
		differing.Buckets = append(differing.Buckets, &peerpb.PartSet{Bucket: asked.GetBucket(), Parts: uint32(parts)})
	}
	return &peerpb.Response{Body: &peerpb.Response_DifferingParts{DifferingParts: differing}}
}

func (s *Syncer) handleExchange(request *peerpb.ExchangeObjects) *peerpb.Response {
	brought, err := objectsOf(request.GetObjects(), request.GetCompressed())
	if err != nil {
		s.options.Logger.Error("objects of another node refused", "error", err.Error())
	}
	s.take(brought, request.GetAddress())
	newerHere, newerThere := s.options.Replica.Compare(sectionsOf(request), recordsOf(request.GetVersions()))
	answer := s.encodeNewer(s.options.Replica.Records(newerHere), request.GetReadsCompressed())
	answer.Wanted = wantedVersions(newerThere)
	return &peerpb.Response{Body: &peerpb.Response_StoredObjects{StoredObjects: answer}}
}

// sectionsOf returns what an exchange is about: whole buckets where it names no parts, as older
// builds do not.
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

// handleFetch sends the chunks that this node has, as many as one message holds, unless it has
// sent too many lately.
func (s *Syncer) handleFetch(request *peerpb.FetchChunks) *peerpb.Response {
	contents := &peerpb.ChunkContents{}
	length, sent := 0, 0
	for _, digest := range request.GetDigests() {
		content, found := s.transfers.find(idOf(digest))
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
