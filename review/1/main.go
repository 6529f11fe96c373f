// Command 1 shows that a stream whose answer is lost while its replica leaves goes on at
// another replica, although the first one still works on it.
package main

import (
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/review/lab"
)

const (
	// elsewhere is the number of replicas in the other zones.
	elsewhere = 4
	streams   = 4
	// verdicts are answered before, so that the lost answer is below 25 in 1,000.
	verdicts = 40
	// lostAfter is the time from the notice of the replica to the lost answer.
	lostAfter = 900 * time.Millisecond
	// notice is the time from the notice of the replica until it is gone.
	notice = 7 * time.Second
	events = 150
)

func main() {
	l := lab.New()
	store := l.StartStore()
	store.PutDesiredState(7)
	engines := l.NewEngines(store)
	engines.StartElsewhere(elsewhere)
	leaving := engines.Start("i-02d9e6b4")
	leaving.WorksOn = true
	gateway := l.StartGateway("front-leam-a-1", store.Address)
	time.Sleep(500 * time.Millisecond)

	first, err := lab.Dial(gateway.Callers)
	l.Must(err)
	for range verdicts {
		answer := first.Do(lab.Request{Attempt: lab.NewAttempt(), Route: lab.VerdictRoute, Body: "verdict", DeadlineMs: 6000, PromptTokens: 100, OutputTokens: 4})
		if !answer.Complete || answer.Status != 200 {
			l.Exit(lab.ExitNotRun, "a verdict failed: %d %v", answer.Status, answer.Err)
		}
	}
	var wg sync.WaitGroup
	answers := make([]lab.Answer, streams)
	for i := range streams {
		client, err := lab.Dial(gateway.Callers)
		l.Must(err)
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempt := lab.NewAttempt()
			l.Notef("sent %s", attempt)
			answers[i] = client.Do(lab.Request{Attempt: attempt, Route: lab.ReportRoute, Body: "report", DeadlineMs: 39000, PromptTokens: 2000, OutputTokens: events * lab.EventTokens})
			l.Notef("answered %s status=%d events=%d complete=%v err=%v", attempt, answers[i].Status, len(answers[i].Events), answers[i].Complete, answers[i].Err)
		}()
	}
	time.Sleep(time.Second)
	engines.Start("i-7f3a91c2")
	engines.Start("i-55c0a1d7")
	time.Sleep(500 * time.Millisecond)
	if leaving.Running() != streams {
		l.Exit(lab.ExitNotRun, "%d of %d streams run", leaving.Running(), streams)
	}
	leaving.Beat("draining")
	if l.Trouble {
		time.AfterFunc(lostAfter, leaving.LoseAnswer)
	}
	time.Sleep(notice)
	leaving.End()
	store.Delete("servers/" + leaving.ID)
	wg.Wait()

	complete := 0
	for _, answer := range answers {
		if answer.Complete && len(answer.Events) == events {
			complete++
		}
	}
	if twice := engines.Twice(); len(twice) > 0 {
		l.Exit(lab.ExitBroken, "TWICE broken: %s; %d of %d streams came to their end", twice[0], complete, streams)
	}
	l.Exit(lab.ExitHeld, "TWICE held: no request ran at two replicas; %d of %d streams came to their end", complete, streams)
}
