package objectapi

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Page is a part of a list.
type Page struct {
	// Objects are in the order of their names.
	Objects []Object
	// Revision is that of the store as of the page.
	Revision int64
	// More is set where objects with later names follow.
	More bool
}

// Pager is a Store whose lists come in pages.
type Pager interface {
	// ListPage returns objects whose names come after the given one, as many as the store sends at once.
	ListPage(ctx context.Context, kind Kind, after string) (Page, error)
}

// maxPages bounds one list. A store that says forever that there is more would fill the memory otherwise.
const maxPages = 1000

// ListPages returns all objects of a kind. The revision is that of the first page, so that a watch from it misses
// nothing of the later ones. After each page but the last a function is called, whose error ends the list.
func ListPages(ctx context.Context, pager Pager, kind Kind, between func(page []Object) error) (objects []Object, revision int64, err error) {
	after := ""
	for number := range maxPages {
		page, err := pager.ListPage(ctx, kind, after)
		if err != nil {
			return nil, 0, err
		}
		if number == 0 {
			revision = page.Revision
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
		if err := between(page.Objects); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, errors.Wrap(ErrUnavailable, "list does not end")
}
