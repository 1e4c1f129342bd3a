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
}

func encodeReport(now time.Duration, told report) *peerpb.ReportCrashes {
	encoded := &peerpb.ReportCrashes{}
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
	var told report
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

func encodeStandings(standings []Standing) *peerpb.CrashStandings {
	encoded := &peerpb.CrashStandings{}
	for _, standing := range standings {
		encoded.Standings = append(encoded.Standings, &peerpb.CrashStanding{
			Crashes: int32(standing.Crashes), QuarantinedMs: standing.Quarantined.Milliseconds(),
		})
	}
	return encoded
}

func decodeStandings(encoded *peerpb.CrashStandings) []Standing {
	var standings []Standing
	for _, standing := range encoded.GetStandings() {
		standings = append(standings, Standing{
			Crashes: int(standing.GetCrashes()), Quarantined: peer.Millis(standing.GetQuarantinedMs()),
		})
	}
	return standings
}
