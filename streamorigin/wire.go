package streamorigin

import (
	"unique"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer/peerpb"
)

func encodeOrigin(origin Origin) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{
		Service: origin.Service, SoftwareVersion: origin.Version, Backend: origin.Backend,
		StartedMs: origin.StartedAt, Confirmed: origin.IsConfirmed, Undescribed: origin.IsUndescribed,
	}
}

// decodeOrigin decodes a record. Its texts are stored once for all records, which name few services, versions and
// backends.
func decodeOrigin(encoded *peerpb.StreamOrigin) Origin {
	return Origin{
		Service: interned(encoded.GetService()), Version: interned(encoded.GetSoftwareVersion()), Backend: interned(encoded.GetBackend()),
		StartedAt: encoded.GetStartedMs(), IsConfirmed: encoded.GetConfirmed(), IsUndescribed: encoded.GetUndescribed(),
	}
}

func interned(text string) string { return unique.Make(text).Value() }

func decodeKey(encoded []byte) (Key, error) {
	if len(encoded) != len(Key{}) {
		return Key{}, errors.Newf("streamorigin: a key has %d bytes", len(encoded))
	}
	return Key(encoded), nil
}
