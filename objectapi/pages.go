package objectapi

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Page is one page of a list.
type Page struct {
	// Objects are ordered by name.
	Objects []Object
	// Revision is the version of the store as of the page.
	Revision int64
	// More is set if objects with greater names follow.
	More bool
}

// Pager is implemented by a Store that returns lists in pages.
type Pager interface {
	// ListPage returns objects whose names are greater than the given one, up to the store's page size.
	ListPage(ctx context.Context, kind Kind, after string) (Page, error)
}

// maxPages bounds a list: a store that always reports another page would otherwise exhaust the memory.
const maxPages = 1000

// ListPages returns all objects of a kind. The revision is that of the first page, so that a watch from it misses no
// change made while the later pages were listed. It calls onPage after each page except the last; an error of onPage
// ends the list.
func ListPages(ctx context.Context, pager Pager, kind Kind, onPage func(page []Object) error) (objects []Object, revision int64, err error) {
	after := ""
	for number := range maxPages {
		page, err := pager.ListPage(ctx, kind, after)
		if err != nil {
			return nil, 0, err
		}
		if number == 0 {
			revision = page.Revision
		}
		if EpochOf(page.Revision) != EpochOf(revision) {
			return nil, 0, errors.Wrap(ErrUnavailable, "the store was restored from a copy during the list")
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
		if err := onPage(page.Objects); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errors.Wrap(ErrUnavailable, "list does not end")
}
