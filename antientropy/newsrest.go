package antientropy

import "time"

const (
	// shortestRest and longestRest bound the time between two rounds with news. The first one after a calm
	// time follows at once; while changes keep coming, as in a release of thousands of back ends, rounds
	// become fewer and bring more each. News take some ten rounds to reach a thousand nodes, which with the
	// longest rest is a second on average.
	shortestRest = 50 * time.Millisecond
	longestRest  = 200 * time.Millisecond
)

// newsRest is the time after a round with news in which no other one begins. The zero value is over.
type newsRest struct {
	// over is ready when the rest is; nil where there is none.
	over <-chan time.Time
	// length is that of the last rest, and endedAt when it was over.
	length  time.Duration
	endedAt time.Time
}

// unless returns the channel of news, or nil during a rest.
func (r *newsRest) unless(news chan struct{}) chan struct{} {
	if r.over != nil {
		return nil
	}
	return news
}

// begin begins the rest after a round. It is twice as long as the one before where news had come during that.
func (r *newsRest) begin(now time.Time) {
	if r.length == 0 || now.Sub(r.endedAt) > shortestRest {
		r.length = shortestRest
	} else {
		r.length = min(2*r.length, longestRest)
	}
	r.over = time.After(r.length)
}

// end ends the rest.
func (r *newsRest) end() { r.over, r.endedAt = nil, time.Now() }
