package objectapi

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// endless is a store whose list never ends.
type endless struct {
	Store
	pages int
}

// ListPage implements Pager.
func (s *endless) ListPage(context.Context, Kind, string) (Page, error) {
	s.pages++
	return Page{Objects: []Object{{Name: strconv.Itoa(s.pages)}}, More: true}, nil
}

// noFollower takes what comes.
type noFollower struct{ failed error }

func (f *noFollower) Replace([]Object, int64)              {}
func (f *noFollower) Apply(Event)                          {}
func (f *noFollower) StoreAnswered(err error)              { f.failed = err }
func (f *noFollower) PageListed(context.Context, []Object) {}
func (f *noFollower) BeforeWatch(context.Context)          {}

// TestAListThatNeverEndsIsGivenUp follows a store that says forever that there is more.
func TestAListThatNeverEndsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer stop()
		store, follower := &endless{}, &noFollower{}
		ListAndWatch(ctx, store, "things", follower)
		g.Expect(store.pages).To(Equal(maxPages))
		g.Expect(follower.failed).To(MatchError(ErrUnavailable))
	})
}
