package antientropy

import (
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

func objectVersions(records []replica.Record) []*peerpb.ObjectVersion {
	versions := make([]*peerpb.ObjectVersion, len(records))
	for i, record := range records {
		versions[i] = objectVersion(record)
	}
	return versions
}

func keysOf(versions []*peerpb.ObjectVersion) []replica.Key {
	keys := make([]replica.Key, len(versions))
	for i, version := range versions {
		keys[i] = recordOf(version).Key()
	}
	return keys
}

func objectVersion(record replica.Record) *peerpb.ObjectVersion {
	return &peerpb.ObjectVersion{
		Kind: string(record.Object.Kind), Name: record.Object.Name,
		Version: record.Object.Version, Deleted: record.Deleted,
	}
}

func wantedVersions(keys []replica.Key) []*peerpb.ObjectVersion {
	wanted := make([]*peerpb.ObjectVersion, len(keys))
	for i, key := range keys {
		wanted[i] = &peerpb.ObjectVersion{Kind: string(key.Kind), Name: key.Name}
	}
	return wanted
}

// maxExchangedBytes bounds the content of one message. What does not fit comes with
// the next comparison.
const maxExchangedBytes = 128 << 10

// storedObjects returns as many of the records as one message holds, at least one, and
// whether some are left out.
func storedObjects(records []replica.Record) (stored []*peerpb.StoredObject, truncated bool) {
	size := 0
	for _, record := range records {
		size += len(record.Object.Spec)
		if size > maxExchangedBytes && len(stored) > 0 {
			return stored, true
		}
		stored = append(stored, &peerpb.StoredObject{Version: objectVersion(record), Spec: record.Object.Spec})
	}
	return stored, false
}

func recordOf(version *peerpb.ObjectVersion) replica.Record {
	object := objectapi.Object{Kind: objectapi.Kind(version.GetKind()), Name: version.GetName(), Version: version.GetVersion()}
	return replica.Record{Object: object, Deleted: version.GetDeleted()}
}

func recordsOf(versions []*peerpb.ObjectVersion) []replica.Record {
	records := make([]replica.Record, len(versions))
	for i, version := range versions {
		records[i] = recordOf(version)
	}
	return records
}

func recordsOfObjects(objects []*peerpb.StoredObject) []replica.Record {
	records := make([]replica.Record, len(objects))
	for i, object := range objects {
		records[i] = recordOf(object.GetVersion())
		records[i].Object.Spec = object.GetSpec()
	}
	return records
}
