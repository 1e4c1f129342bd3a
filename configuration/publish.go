package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/objectapi"
)

// KindPart is the platform's kind for parts. They are not of the head's kind, so that a watch of the head does
// not return them.
const KindPart objectapi.Kind = "configurationparts"

// maxChangedObjects bounds the object references in a head.
const maxChangedObjects = 32

// ReadHead returns the newest accepted head, or an empty one if there is none.
func ReadHead(ctx context.Context, store objectapi.Store) (Head, error) {
	object, err := store.Get(ctx, objectapi.KindConfiguration, HeadName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	return DecodeHead(object.Spec)
}

// DecodeHead decodes the stored form of a head.
func DecodeHead(spec []byte) (Head, error) {
	var head Head
	if len(spec) == 0 {
		return head, nil
	}
	err := json.Unmarshal(spec, &head)
	return head, errors.Wrap(err, "decode head")
}

// Publish makes configuration the successor of version base. It returns an *ErrConflict if another change was
// accepted first. If it returns another error, the change may have been accepted; calling Publish again with
// the same change determines whether it was.
func Publish(ctx context.Context, store objectapi.Store, base uint64, change string, changedObjects []string, configuration api.Configuration) (Head, error) {
	parts, err := Split(configuration)
	if err != nil {
		return Head{}, err
	}
	head := Head{Version: base + 1, Change: change, ChangedObjects: changedObjects[:min(len(changedObjects), maxChangedObjects)]}
	for _, part := range parts {
		head.Parts = append(head.Parts, part.Digest)
	}
	if err := storeParts(ctx, store, parts); err != nil {
		return Head{}, err
	}
	var superseded []string
	_, err = objectapi.Modify(ctx, store, objectapi.Change{
		Kind: objectapi.KindConfiguration, Name: HeadName,
		Mutate: func(current json.RawMessage) (json.RawMessage, error) {
			latest, err := DecodeHead(current)
			if err != nil {
				return nil, err
			}
			if latest.Accepted(change) {
				return nil, nil
			}
			if latest.Version != base {
				return nil, &ErrConflict{Planned: base, Current: latest.Version, ChangedObjects: latest.ChangedObjects}
			}
			superseded = latest.Dropped
			head.Recent = append([]string{change}, latest.Recent[:min(len(latest.Recent), maxRecent-1)]...)
			head.Dropped = without(latest.Parts, head.Parts)
			return json.Marshal(head)
		},
	})
	if err != nil {
		return Head{}, err
	}
	// A concurrent change may have deleted a part that this one found in place.
	if err := storeParts(ctx, store, parts); err != nil {
		return Head{}, err
	}
	deleteParts(ctx, store, without(superseded, head.Parts))
	return head, nil
}

// storeParts writes the parts that the platform does not have.
func storeParts(ctx context.Context, store objectapi.Store, parts []Part) error {
	for _, part := range parts {
		_, err := objectapi.Modify(ctx, store, objectapi.Change{
			Kind: KindPart, Name: part.Digest,
			Mutate: func(current json.RawMessage) (json.RawMessage, error) {
				if current != nil {
					return nil, nil
				}
				return part.Data, nil
			},
		})
		if err != nil {
			return errors.Wrap(err, "store part")
		}
	}
	return nil
}

// deleteParts deletes parts that neither the newest head nor the previous one lists. A part that is left after a
// failure only uses storage.
func deleteParts(ctx context.Context, store objectapi.Store, digests []string) {
	for _, digest := range digests {
		object, err := store.Get(ctx, KindPart, digest)
		if err == nil {
			_ = store.Delete(ctx, KindPart, digest, object.Version)
		}
	}
}

// without returns the members of list that are not in other.
func without(list, other []string) []string {
	present := make(map[string]bool, len(other))
	for _, name := range other {
		present[name] = true
	}
	var remaining []string
	for _, name := range list {
		if !present[name] {
			remaining = append(remaining, name)
		}
	}
	return remaining
}
