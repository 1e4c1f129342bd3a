package quarantine

import "time"

// answeredParts holds when backends last answered requests with parts: by part, and by the part as its tenant sends it.
// The answer to one tenant says nothing about a part as another tenant sends it, so that no tenant can clear a part that crashes
// the backends of others.
type answeredParts map[Fingerprint]map[Fingerprint]time.Duration

// add records an answer. If there are too many, it removes others.
func (a answeredParts) add(answered answeredPart) {
	part := answered.part
	if a[part.Shared] == nil {
		if len(a) >= maxAnsweredParts {
			a.evict()
		}
		a[part.Shared] = map[Fingerprint]time.Duration{}
	}
	owners := a[part.Shared]
	if _, known := owners[part.Own]; !known && len(owners) >= maxExempt {
		for own := range owners {
			delete(owners, own)
			break
		}
	}
	owners[part.Own] = max(owners[part.Own], answered.at)
}

// evict removes the answers with one part. A part that is sent often is soon answered again.
func (a answeredParts) evict() {
	for shared := range a {
		delete(a, shared)
		return
	}
}

// clears reports whether an answer shows that a part was not the cause of a crash at a time: it has been answered since, or
// shortly before. A part without an owner, of a restored record, is cleared by any answer.
func (a answeredParts) clears(at time.Duration, part Part) bool {
	owners := a[part.Shared]
	if part.Own == (Fingerprint{}) {
		for _, answered := range owners {
			if answered >= at {
				return true
			}
		}
		return false
	}
	answered, known := owners[part.Own]
	return known && at <= answered+answerLifetime
}

// of returns when a part has been answered of late, as tenants send it.
func (a answeredParts) of(now time.Duration, shared Fingerprint) []answeredPart {
	var answered []answeredPart
	for own, at := range a[shared] {
		if now-at <= answerLifetime {
			answered = append(answered, answeredPart{Part{Shared: shared, Own: own}, at})
		}
	}
	return answered
}
