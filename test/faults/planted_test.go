package faults_test

import (
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// catchers says which scenario or cell of the matrix catches each mistake.
var catchers = map[mutation.Mutation]string{
	mutation.DispatchWithoutClaim:     "sameKeyAtOnce",
	mutation.LostClaimResponseGranted: "sameKeyAtOncePlatformSilent",
	mutation.ClaimTakenOver:           "deadHolder",
	mutation.TicketSpentAnywhere:      "tagWithTicket/answered/platformOut",
	mutation.TransportRetries:         "emptyBodyAnswerLost",
	mutation.UnknownReportedNotRun:    "tagWithKey/beforeRequest/ledgerAnswersLost",
	mutation.NoIndexCheck:             "streamedReport/midStream/tokenSkipped",
	mutation.RestartMidStream:         "streamedReport/midStream/engineKilled",
	mutation.StallUndetected:          "streamedReport/midStream/connectionsStuck",
	mutation.DisconnectIgnored:        "callerLeaves",
	mutation.OldRevisionAccepted:      "oldSnapshot",
	mutation.LostAppendAccepted:       "racingOperators",
	mutation.LeavingIgnored:           "leavingBackend",
	mutation.StopWithoutDrain:         "bufferedReport/midStream/vmStopped",
	mutation.NotRunWithoutCheck:       "everyEngineDies",
}

// find returns the course of events with a name.
func find(t *testing.T, name string) (change func(*fleet.Options), run func(*world)) {
	t.Helper()
	for _, s := range scenarios {
		if s.name == name {
			return s.change, s.run
		}
	}
	for _, c := range matrix() {
		if c.name() == name {
			return nil, func(w *world) { lives[c.life](w, c) }
		}
	}
	t.Fatalf("no scenario or cell is called %s", name)
	return nil, nil
}

// TestPlantedMistakesAreCaught shows for each kind of check that it can fail.
// The tests run one after the other, as a mistake is planted for all.
func TestPlantedMistakesAreCaught(t *testing.T) {
	for m, name := range catchers {
		t.Run(string(m), func(t *testing.T) {
			change, run := find(t, name)
			defer mutation.Enable(m)()
			failures := runWorld(t, change, run)
			if len(failures) == 0 {
				t.Errorf("%s did not catch the mistake", name)
			}
			t.Log(failures)
		})
	}
}
