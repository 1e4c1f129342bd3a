package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalidRecord is returned for an object whose name is not a fingerprint, or whose content cannot be
// decoded: another writer may have created or corrupted it.
var ErrInvalidRecord = errors.New("quarantine: invalid record of a request")

// record is the stored form of an announcement. Its name is the fingerprint.
type record struct {
	// Backends are the incarnations of backends that ended while running the request.
	Backends []string `json:"backends,omitempty"`
	// UntilMillis is when the quarantine ends, as a Unix millisecond; zero if there is none. The quarantine's
	// length of an hour is long compared to the seconds by which clocks differ.
	UntilMillis int64 `json:"untilMillis,omitempty"`
	// Successive is how many of the backends ended one after the other; zero if that is not known.
	Successive int `json:"successive,omitempty"`
	// Trials is the number of trials of the request that may have run.
	Trials int `json:"trials,omitempty"`
	// Parts are the parts of prompts that the record is about, and Exempt the parts, as tenants send them, that backends have
	// answered. A build that does not know them takes the record for one of a request that nobody sends.
	Parts  []string `json:"parts,omitempty"`
	Exempt []string `json:"exempt,omitempty"`
}

// EncodeRecord returns an announcement as an object's name and content.
func EncodeRecord(now time.Time, announcement Announcement) (name string, spec json.RawMessage, err error) {
	stored := record{
		Backends: announcement.Backends, Successive: announcement.Successive, Trials: announcement.Trials,
		Parts: namesOf(announcement.Parts), Exempt: namesOf(announcement.Exempt),
	}
	if announcement.Quarantined > 0 {
		stored.UntilMillis = now.Add(announcement.Quarantined).UnixMilli()
	}
	spec, err = json.Marshal(stored)
	return announcement.Request.String(), spec, errors.Wrap(err, "encode record of a request")
}

// DecodeRecord decodes the result of EncodeRecord.
func DecodeRecord(now time.Time, name string, spec json.RawMessage) (Announcement, error) {
	request, valid := ParseFingerprint(name)
	if !valid {
		return Announcement{}, errors.Wrapf(ErrInvalidRecord, "name %q", name)
	}
	var stored record
	if err := json.Unmarshal(spec, &stored); err != nil {
		return Announcement{}, errors.CombineErrors(errors.Wrapf(ErrInvalidRecord, "content of %q", name), err)
	}
	parts, validParts := parseNames(stored.Parts, maxParts)
	exempt, validExempt := parseNames(stored.Exempt, maxExempt)
	if !validParts || !validExempt {
		return Announcement{}, errors.Wrapf(ErrInvalidRecord, "parts of %q", name)
	}
	announcement := Announcement{
		Request: request, Backends: stored.Backends, Successive: max(0, stored.Successive), Trials: min(max(0, stored.Trials), maxTrials), Parts: parts, Exempt: exempt,
	}
	if stored.UntilMillis > 0 {
		// A wrong clock must not make a quarantine longer than the longest one.
		announcement.Quarantined = min(max(0, time.UnixMilli(stored.UntilMillis).Sub(now)), quarantineDuration)
	}
	return announcement, nil
}

// namesOf returns the names of fingerprints.
func namesOf(fingerprints []Fingerprint) []string {
	var names []string
	for _, fingerprint := range fingerprints {
		names = append(names, fingerprint.String())
	}
	return names
}

// parseNames is the reverse of namesOf. It reports false if a name is invalid, or if there are more than most.
func parseNames(names []string, most int) ([]Fingerprint, bool) {
	var fingerprints []Fingerprint
	for _, name := range names {
		fingerprint, valid := ParseFingerprint(name)
		if !valid {
			return nil, false
		}
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints, len(names) <= most
}
