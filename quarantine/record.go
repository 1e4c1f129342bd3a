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
}

// EncodeRecord returns an announcement as an object's name and content.
func EncodeRecord(now time.Time, announcement Announcement) (name string, spec json.RawMessage, err error) {
	stored := record{Backends: announcement.Backends}
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
	announcement := Announcement{Request: request, Backends: stored.Backends}
	if stored.UntilMillis > 0 {
		// A wrong clock must not make a quarantine longer than the longest one.
		announcement.Quarantined = min(max(0, time.UnixMilli(stored.UntilMillis).Sub(now)), quarantineDuration)
	}
	return announcement, nil
}
