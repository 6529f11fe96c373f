package faults_test

import (
	"slices"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// detectors maps each mutation to the scenarios and cells of the matrix that must
// detect it.
var detectors = map[mutation.Mutation][]string{
	mutation.DispatchWithoutClaim:     {"sameKeyAtOnce"},
	mutation.LostClaimResponseGranted: {"sameKeyAtOncePlatformSilent"},
	mutation.ClaimTakenOver:           {"deadHolder"},
	mutation.TicketSpentAnywhere:      {"tagWithTicket/answered/platformOut"},
	mutation.TransportRetries:         {"emptyBodyAnswerLost"},
	mutation.UnknownReportedNotRun:    {"tagWithKey/beforeRequest/ledgerAnswersLost"},
	mutation.NoIndexCheck:             {"streamedReport/midStream/tokenSkipped"},
	mutation.RestartMidStream:         {"streamedReport/midStream/engineKilled"},
	mutation.StallUndetected:          {"streamedReport/midStream/connectionsStuck"},
	mutation.DisconnectIgnored:        {"callerLeaves"},
	mutation.OldRevisionAccepted:      {"oldSnapshot"},
	mutation.LostAppendAccepted:       {"racingOperators"},
	mutation.LeavingIgnored:           {"leavingBackend", "leavingWhilePlatformOut"},
	mutation.StopWithoutDrain:         {"bufferedReport/midStream/vmStopped"},
	mutation.LeaseNotTakenOver:        {"orderGiverDies"},
	mutation.NotRunWithoutCheck:       {"everyEngineDies"},
}

// findTest returns the scenario or the cell of the matrix with the given name.
func findTest(t *testing.T, name string) (setOptions func(*fleet.Options), run func(*testEnv)) {
	t.Helper()
	for _, s := range slices.Concat(scenarios, orderScenarios) {
		if s.name == name {
			return s.setOptions, s.run
		}
	}
	for _, c := range matrix() {
		if c.name() == name {
			return nil, func(env *testEnv) { operations[c.operation](env, c) }
		}
	}
	t.Fatalf("no scenario or cell is named %s", name)
	return nil, nil
}

// TestMutationsAreDetected checks that each kind of check can fail: with a
// mutation enabled, its detector must report a failure. The subtests are not
// parallel because a mutation applies to the whole process.
func TestMutationsAreDetected(t *testing.T) {
	for m, names := range detectors {
		for _, name := range names {
			t.Run(string(m)+"/"+name, func(t *testing.T) {
				setOptions, run := findTest(t, name)
				defer mutation.Enable(m)()
				failures := collectFailures(t, setOptions, run)
				if len(failures) == 0 {
					t.Errorf("%s did not detect the mutation", name)
				}
				t.Log(failures)
			})
		}
	}
}
