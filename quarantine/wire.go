package quarantine

import (
	"time"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// Evidence is that a back end ended with a request under way.
type Evidence struct {
	Request Fingerprint
	// Backend is the life of the back end.
	Backend string
	// At is when that was noticed, by the clock of the node that holds the evidence.
	At time.Duration
}

// report is what a node tells the keeper.
type report struct {
	evidence []Evidence
	answered []Fingerprint
	// all is set by a node that wants to hear all announcements.
	all bool
}

// reply is what the keeper answers.
type reply struct {
	// standings are those of the requests of the evidence, in its order.
	standings []Status
	// announced are all announcements, for a node that asked for them.
	announced []Announcement
}

func encodeReport(now time.Duration, told report) *peerpb.ReportCrashes {
	encoded := &peerpb.ReportCrashes{All: told.all}
	for _, evidence := range told.evidence {
		encoded.Evidence = append(encoded.Evidence, &peerpb.CrashEvidence{
			Request: evidence.Request[:], Backend: evidence.Backend, AgeMs: (now - evidence.At).Milliseconds(),
		})
	}
	for _, request := range told.answered {
		encoded.Answered = append(encoded.Answered, request[:])
	}
	return encoded
}

// decodeReport passes over names of requests that are none: another version may have sent them.
func decodeReport(now time.Duration, encoded *peerpb.ReportCrashes) report {
	told := report{all: encoded.GetAll()}
	for _, evidence := range encoded.GetEvidence() {
		request, valid := fromBytes(evidence.GetRequest())
		if !valid {
			continue
		}
		age := peer.Millis(max(0, evidence.GetAgeMs()))
		told.evidence = append(told.evidence, Evidence{Request: request, Backend: evidence.GetBackend(), At: now - age})
	}
	for _, name := range encoded.GetAnswered() {
		if request, valid := fromBytes(name); valid {
			told.answered = append(told.answered, request)
		}
	}
	return told
}

func encodeReply(answer reply) *peerpb.CrashStandings {
	encoded := &peerpb.CrashStandings{}
	for _, standing := range answer.standings {
		encoded.Standings = append(encoded.Standings, &peerpb.CrashStanding{
			Crashes: int32(standing.Crashes), QuarantinedMs: standing.Quarantined.Milliseconds(),
		})
	}
	for _, announcement := range answer.announced {
		encoded.Announced = append(encoded.Announced, EncodeAnnouncement(announcement))
	}
	return encoded
}

func decodeReply(encoded *peerpb.CrashStandings) reply {
	var answer reply
	for _, standing := range encoded.GetStandings() {
		answer.standings = append(answer.standings, Status{
			Crashes: int(standing.GetCrashes()), Quarantined: peer.Millis(standing.GetQuarantinedMs()),
		})
	}
	for _, announcement := range encoded.GetAnnounced() {
		if decoded, valid := decodeAnnouncement(announcement); valid {
			answer.announced = append(answer.announced, decoded)
		}
	}
	return answer
}

// EncodeAnnouncement returns an announcement as a message between nodes.
func EncodeAnnouncement(told Announcement) *peerpb.CrashAnnouncement {
	return &peerpb.CrashAnnouncement{Request: told.Request[:], Backends: told.Backends, QuarantinedMs: told.Quarantined.Milliseconds()}
}

func decodeAnnouncement(encoded *peerpb.CrashAnnouncement) (Announcement, bool) {
	request, valid := fromBytes(encoded.GetRequest())
	return Announcement{
		Request: request, Backends: encoded.GetBackends(), Quarantined: min(max(0, peer.Millis(encoded.GetQuarantinedMs())), quarantineLifetime),
	}, valid
}
