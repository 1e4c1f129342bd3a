package softwareversions

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
)

// Kind and Name identify the published object.
const (
	Kind objectapi.Kind = "softwareversions"
	Name string         = "main"
)

// Record is the content of the published object.
type Record struct {
	// Services holds the software versions of each service, sorted.
	Services map[string][]string `json:"services"`
	// Starts are starts of backends whose versions were not known when streams began there, sorted.
	Starts []PublishedStart `json:"starts,omitempty"`
	// Epoch is the store's epoch for which the record is complete. After a restore of the store from a copy, versions that
	// were published after the copy are missing until the record is written again.
	Epoch int64 `json:"epoch"`
}

// DecodeRecord decodes the published object.
func DecodeRecord(spec json.RawMessage) (Record, error) {
	var record Record
	if err := json.Unmarshal(spec, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode software versions")
	}
	return record, nil
}

// encode returns the content of the object.
func (r Record) encode() (json.RawMessage, error) {
	spec, err := json.Marshal(r)
	return spec, errors.Wrap(err, "encode software versions")
}

// equal reports whether two records are equal.
func (r Record) equal(other Record) bool {
	return r.Epoch == other.Epoch && slices.Equal(r.Starts, other.Starts) && maps.EqualFunc(r.Services, other.Services, slices.Equal)
}

// versionSets holds a value for each version of each service.
type versionSets[T any] map[string]map[string]T

// set sets the value of a version.
func (s versionSets[T]) set(service, version string, value T) {
	if s[service] == nil {
		s[service] = map[string]T{}
	}
	s[service][version] = value
}

// lists returns the versions of each service, sorted.
func (s versionSets[T]) lists() map[string][]string {
	lists := map[string][]string{}
	for service, versions := range s {
		lists[service] = slices.Sorted(maps.Keys(versions))
	}
	return lists
}
