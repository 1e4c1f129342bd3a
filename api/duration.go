package api

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as text, such as "1.5s", in files and
// messages.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as 1.5s", text)
	}
	*d = Duration(parsed)
	return nil
}
