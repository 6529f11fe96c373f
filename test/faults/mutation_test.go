package faults_test

import (
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// detectors says which scenario or cell of the matrix catches each mistake.
var detectors = map[mutation.Mutation]string{
	mutation.DispatchWithoutClaim:  "sameKeyAtOnce",
	mutation.LostClaimReplyGranted: "sameKeyAtOncePlatformSilent",
	mutation.ClaimTakenOver:        "deadHolder",
	mutation.TicketSpentAnywhere:   "tagWithTicket/answered/platformOut",
	mutation.TransportRetries:      "emptyBodyAnswerLost",
	mutation.UnknownReportedNotRun: "tagWithKey/beforeRequest/ledgerAnswersLost",
	mutation.NoIndexCheck:          "streamedReport/midStream/tokenSkipped",
	mutation.RestartMidStream:      "streamedReport/midStream/engineKilled",
	mutation.StallUndetected:       "streamedReport/midStream/connectionsStuck",
	mutation.DisconnectIgnored:     "callerLeaves",
	mutation.OldRevisionAccepted:   "oldSnapshot",
	mutation.LostAppendAccepted:    "racingOperators",
	mutation.LeavingIgnored:        "leavingBackend",
	mutation.StopWithoutDrain:      "bufferedReport/midStream/vmStopped",
	mutation.NotRunWithoutCheck:    "everyEngineDies",
}

// findTest returns the course of events with a name.
func findTest(t *testing.T, name string) (setOptions func(*fleet.Options), run func(*testEnv)) {
	t.Helper()
	for _, s := range scenarios {
		if s.name == name {
			return s.setOptions, s.run
		}
	}
	for _, c := range matrix() {
		if c.name() == name {
			return nil, func(env *testEnv) { operations[c.operation](env, c) }
		}
	}
	t.Fatalf("no scenario or cell is called %s", name)
	return nil, nil
}

// TestMutationsAreDetected shows for each kind of check that it can fail.
// The tests run one after the other, as a mistake is planted for all.
func TestMutationsAreDetected(t *testing.T) {
	for m, name := range detectors {
		t.Run(string(m), func(t *testing.T) {
			change, run := findTest(t, name)
			defer mutation.Enable(m)()
			failures := collectFailures(t, change, run)
			if len(failures) == 0 {
				t.Errorf("%s did not catch the mistake", name)
			}
			t.Log(failures)
		})
	}
}
