package objectapi

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// endlessPager is a store whose list never ends.
type endlessPager struct {
	Store
	pages int
}

// ListPage implements Pager.
func (s *endlessPager) ListPage(context.Context, Kind, string) (Page, error) {
	s.pages++
	return Page{Objects: []Object{{Name: strconv.Itoa(s.pages)}}, More: true}, nil
}

// discardHandler discards all objects and keeps the last error.
type discardHandler struct{ lastErr error }

func (h *discardHandler) Replace([]Object, int64)              {}
func (h *discardHandler) Apply(Event)                          {}
func (h *discardHandler) StoreAnswered(err error)              { h.lastErr = err }
func (h *discardHandler) PageListed(context.Context, []Object) {}
func (h *discardHandler) BeforeWatch(context.Context)          {}

// TestEndlessListIsAborted lists a store that always reports another page.
func TestEndlessListIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer stop()
		store, handler := &endlessPager{}, &discardHandler{}
		ListAndWatch(ctx, store, "things", handler)
		g.Expect(store.pages).To(Equal(maxPages))
		g.Expect(handler.lastErr).To(MatchError(ErrUnavailable))
	})
}
