package quarantine

import (
	"time"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// Evidence is one crash: a backend ended with a request in flight.
type Evidence struct {
	Request Fingerprint
	// Backend is the incarnation of the backend.
	Backend string
	// At is when the crash was noticed, by the clock of the node that holds the evidence.
	At time.Duration
	// Parts are the parts of the request's prompt of which the node knows no answer.
	Parts []Part
	// Written is set if the backend had begun to write the response.
	Written bool
	// Run is when the request was at the backend, by the same clock.
	Run span
}

// answeredPart is a part of a prompt, and when a backend last answered it.
type answeredPart struct {
	part Part
	at   time.Duration
}

// report is what a node reports to the coordinator.
type report struct {
	evidence []Evidence
	answered []Fingerprint
	// answeredParts are suspected parts of prompts that backends have answered.
	answeredParts []answeredPart
	// trials are quarantined requests that the node wants to run as a trial, endedTrials trials that have ended.
	trials      []Fingerprint
	endedTrials []endedTrial
	// all is set by a node that requests all announcements.
	all bool
}

// reportResponse is the coordinator's response to a report.
type reportResponse struct {
	// statuses are the statuses of the requests of the evidence, in the order of the evidence.
	statuses []Status
	// announced are all announcements, for a node that requested them.
	announced []Announcement
	// countsParts is set by a coordinator that counts the crashes of parts of prompts.
	countsParts bool
	// trials are the decisions on the trials of the report, in its order.
	trials []TrialDecision
}

func encodeReport(now time.Duration, reported report) *peerpb.ReportCrashes {
	encoded := &peerpb.ReportCrashes{All: reported.all, Trials: encodeFingerprints(reported.trials)}
	for _, ended := range reported.endedTrials {
		encoded.EndedTrials = append(encoded.EndedTrials, &peerpb.EndedTrial{Request: ended.request[:], Reached: ended.reached})
	}
	for _, evidence := range reported.evidence {
		encoded.Evidence = append(encoded.Evidence, &peerpb.CrashEvidence{
			Request: evidence.Request[:], Backend: evidence.Backend, AgeMs: (now - evidence.At).Milliseconds(),
			Parts: encodeParts(evidence.Parts), Written: evidence.Written,
			BeganAgoMs: (now - evidence.Run.began).Milliseconds(), EndedAgoMs: (now - evidence.Run.ended).Milliseconds(),
		})
	}
	for _, answered := range reported.answeredParts {
		encoded.AnsweredParts = append(encoded.AnsweredParts, &peerpb.AnsweredPart{
			Part: encodeParts([]Part{answered.part})[0], AgeMs: (now - answered.at).Milliseconds(),
		})
	}
	for _, request := range reported.answered {
		encoded.Answered = append(encoded.Answered, request[:])
	}
	return encoded
}

// decodeReport skips invalid fingerprints: another version may have sent them.
func decodeReport(now time.Duration, encoded *peerpb.ReportCrashes) report {
	reported := report{all: encoded.GetAll(), trials: decodeFingerprints(encoded.GetTrials())}
	for _, ended := range encoded.GetEndedTrials() {
		if request, valid := fromBytes(ended.GetRequest()); valid {
			reported.endedTrials = append(reported.endedTrials, endedTrial{request, ended.GetReached()})
		}
	}
	for _, evidence := range encoded.GetEvidence() {
		request, valid := fromBytes(evidence.GetRequest())
		if !valid {
			continue
		}
		age := peer.Millis(max(0, evidence.GetAgeMs()))
		reported.evidence = append(reported.evidence, Evidence{
			Request: request, Backend: evidence.GetBackend(), At: now - age,
			Parts: decodeParts(evidence.GetParts()), Written: evidence.GetWritten(), Run: decodeRun(now, age, evidence),
		})
	}
	for _, answered := range encoded.GetAnsweredParts() {
		for _, part := range decodeParts([]*peerpb.PromptPart{answered.GetPart()}) {
			age := peer.Millis(max(0, answered.GetAgeMs()))
			reported.answeredParts = append(reported.answeredParts, answeredPart{part: part, at: now - age})
		}
	}
	for _, name := range encoded.GetAnswered() {
		if request, valid := fromBytes(name); valid {
			reported.answered = append(reported.answered, request)
		}
	}
	return reported
}

// decodeRun returns when a request was at a backend. An earlier build states neither time: the run counts as one that began when
// the backend ended.
func decodeRun(now, age time.Duration, evidence *peerpb.CrashEvidence) span {
	began, ended := peer.Millis(max(0, evidence.GetBeganAgoMs())), peer.Millis(max(0, evidence.GetEndedAgoMs()))
	if began < ended || began == 0 {
		return span{now - age, now - age}
	}
	return span{now - began, now - ended}
}

func encodeReportResponse(response reportResponse) *peerpb.CrashStandings {
	encoded := &peerpb.CrashStandings{CountsParts: response.countsParts}
	for _, status := range response.statuses {
		encoded.Standings = append(encoded.Standings, &peerpb.CrashStanding{
			Crashes: int32(status.Crashes), QuarantinedMs: status.Quarantined.Milliseconds(),
		})
	}
	for _, announcement := range response.announced {
		encoded.Announced = append(encoded.Announced, EncodeAnnouncement(announcement))
	}
	for _, decision := range response.trials {
		encoded.Trials = append(encoded.Trials, &peerpb.TrialDecision{Granted: decision.Granted, WaitMs: decision.Wait.Milliseconds()})
	}
	return encoded
}

func decodeReportResponse(encoded *peerpb.CrashStandings) reportResponse {
	response := reportResponse{countsParts: encoded.GetCountsParts()}
	for _, status := range encoded.GetStandings() {
		response.statuses = append(response.statuses, Status{
			Crashes: int(status.GetCrashes()), Quarantined: peer.Millis(status.GetQuarantinedMs()),
		})
	}
	for _, decision := range encoded.GetTrials() {
		wait := min(max(minTrialWait, peer.Millis(decision.GetWaitMs())), quarantineDuration)
		response.trials = append(response.trials, TrialDecision{Granted: decision.GetGranted(), Wait: wait})
	}
	for _, announcement := range encoded.GetAnnounced() {
		if decoded, valid := decodeAnnouncement(announcement); valid {
			response.announced = append(response.announced, decoded)
		}
	}
	return response
}

// EncodeAnnouncement returns an announcement as a message between nodes.
func EncodeAnnouncement(announcement Announcement) *peerpb.CrashAnnouncement {
	return &peerpb.CrashAnnouncement{
		Request: announcement.Request[:], Backends: announcement.Backends, QuarantinedMs: announcement.Quarantined.Milliseconds(),
		Parts: encodeFingerprints(announcement.Parts), Exempt: encodeFingerprints(announcement.Exempt),
		Successive: int32(announcement.Successive),
	}
}

func decodeAnnouncement(encoded *peerpb.CrashAnnouncement) (Announcement, bool) {
	request, valid := fromBytes(encoded.GetRequest())
	return Announcement{
		Request: request, Backends: encoded.GetBackends(), Quarantined: min(max(0, peer.Millis(encoded.GetQuarantinedMs())), quarantineDuration),
		Parts: decodeFingerprints(encoded.GetParts()), Exempt: decodeFingerprints(encoded.GetExempt()),
		Successive: max(0, int(encoded.GetSuccessive())),
	}, valid
}

func encodeFingerprints(fingerprints []Fingerprint) [][]byte {
	var encoded [][]byte
	for _, fingerprint := range fingerprints {
		encoded = append(encoded, fingerprint[:])
	}
	return encoded
}

// decodeFingerprints skips invalid fingerprints.
func decodeFingerprints(encoded [][]byte) []Fingerprint {
	var fingerprints []Fingerprint
	for _, bytes := range encoded {
		if fingerprint, valid := fromBytes(bytes); valid {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

func encodeParts(parts []Part) []*peerpb.PromptPart {
	var encoded []*peerpb.PromptPart
	for _, part := range parts {
		encoded = append(encoded, &peerpb.PromptPart{Shared: part.Shared[:], Own: part.Own[:]})
	}
	return encoded
}

// decodeParts skips invalid parts.
func decodeParts(encoded []*peerpb.PromptPart) []Part {
	var parts []Part
	for _, part := range encoded {
		shared, validShared := fromBytes(part.GetShared())
		own, validOwn := fromBytes(part.GetOwn())
		if validShared && validOwn {
			parts = append(parts, Part{Shared: shared, Own: own})
		}
	}
	return parts
}
