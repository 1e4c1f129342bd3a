package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRecord is returned for an object that names no request, or cannot be read: another writer may
// have made it, or spoilt it.
var ErrNoRecord = errors.New("quarantine: not a record of a request")

// record is an announcement as it is kept and passed between nodes. Its name is the fingerprint.
type record struct {
	// Backends are the lives of the back ends that ended under the request.
	Backends []string `json:"backends,omitempty"`
	// UntilMillis is when the quarantine ends, as a Unix millisecond; zero if there is none. An hour
	// is long beside the seconds by which clocks differ.
	UntilMillis int64 `json:"untilMillis,omitempty"`
}

// EncodeRecord returns an announcement as an object's name and content.
func EncodeRecord(now time.Time, told Announcement) (name string, spec json.RawMessage, err error) {
	kept := record{Backends: told.Backends}
	if told.Quarantined > 0 {
		kept.UntilMillis = now.Add(told.Quarantined).UnixMilli()
	}
	spec, err = json.Marshal(kept)
	return told.Request.String(), spec, errors.Wrap(err, "encode record of a request")
}

// DecodeRecord reads what EncodeRecord returned.
func DecodeRecord(now time.Time, name string, spec json.RawMessage) (Announcement, error) {
	request, valid := ParseFingerprint(name)
	if !valid {
		return Announcement{}, errors.Wrapf(ErrNoRecord, "name %q", name)
	}
	var kept record
	if err := json.Unmarshal(spec, &kept); err != nil {
		return Announcement{}, errors.CombineErrors(errors.Wrapf(ErrNoRecord, "content of %q", name), err)
	}
	told := Announcement{Request: request, Backends: kept.Backends}
	if kept.UntilMillis > 0 {
		// No clock may make a quarantine longer than any is.
		told.Quarantined = min(max(0, time.UnixMilli(kept.UntilMillis).Sub(now)), quarantineLifetime)
	}
	return told, nil
}
