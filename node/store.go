package node

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/objectapi"
)

// observedStore calls onResponse whenever the platform answers a read.
type observedStore struct {
	objectapi.Store
	onResponse func()
}

func (s *observedStore) observe(err error) {
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		s.onResponse()
	}
}

// Get implements objectapi.Store.
func (s *observedStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	object, err := s.Store.Get(ctx, kind, name)
	s.observe(err)
	return object, err
}

// List implements objectapi.Store.
func (s *observedStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	objects, revision, err := s.Store.List(ctx, kind)
	s.observe(err)
	return objects, revision, err
}

func versionText(version uint64) string {
	const decimal = 10
	return strconv.FormatUint(version, decimal)
}

// holderName identifies one incarnation of a node as the holder of leases.
func holderName(self membership.Member) string {
	return self.Name + "/" + versionText(self.Incarnation)
}
