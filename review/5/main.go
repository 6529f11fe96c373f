// Command 5 shows that a stopping entry VM accepts streams that it cannot finish.
package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/pimentohinge/pimentohinge/review/lab"
)

const (
	callers = 6
	// sendAfter is the time from SIGTERM to the streams. It is over 3 s.
	sendAfter = 3100 * time.Millisecond
	// eventInterval is the time between two events of EventTokens tokens on a full engine, by
	// the sheet: 4 x (7 + 24 x 0.12 + 112 / 14) ms.
	eventInterval = 72 * time.Millisecond
	outputTokens  = 244
	// earlyTokens is the length of the stream that begins before the stop.
	earlyTokens = 260
	graceTime   = 8 * time.Second
)

func main() {
	l := lab.New()
	store := l.StartStore()
	store.PutDesiredState(7)
	stop := make(chan struct{})
	engine := l.StartReplica(store, "i-7f3a91c2", lab.EngineService)
	engine.EventInterval = eventInterval
	engine.KeepBeating(stop)
	gateway := l.StartGateway("front-leam-a-1", store.Address)
	time.Sleep(time.Second)

	clients := make([]*lab.Client, callers)
	for i := range clients {
		var err error
		clients[i], err = lab.Dial(gateway.Callers)
		l.Must(err)
		attempt := lab.NewAttempt()
		answer := clients[i].Do(lab.Request{Attempt: attempt, Route: lab.VerdictRoute, Body: "verdict", DeadlineMs: 6000, PromptTokens: 700, OutputTokens: 4})
		l.Notef("answered %s status=%d complete=%v: the channel is kept", attempt, answer.Status, answer.Complete)
		if !answer.Complete || answer.Status != 200 {
			l.Exit(lab.ExitNotRun, "no first answer: %d %v", answer.Status, answer.Err)
		}
	}
	// A stream that began before the stop and ends in time, as on any day. Without an open
	// request the process would end 3 s after SIGTERM.
	var wg sync.WaitGroup
	early, err := lab.Dial(gateway.Callers)
	l.Must(err)
	wg.Add(1)
	go func() {
		defer wg.Done()
		attempt := lab.NewAttempt()
		l.Notef("sent %s before the stop", attempt)
		answer := early.Do(lab.Request{Attempt: attempt, Route: lab.ReportRoute, Body: "report", DeadlineMs: 39000, PromptTokens: 3000, OutputTokens: earlyTokens})
		l.Notef("answered %s status=%d events=%d complete=%v", attempt, answer.Status, len(answer.Events), answer.Complete)
	}()
	time.Sleep(200 * time.Millisecond)
	if l.Trouble {
		gateway.Signal(syscall.SIGTERM)
		l.Notef("SIGTERM to the gateway; SIGKILL follows after %v", graceTime)
		time.AfterFunc(graceTime, gateway.Kill)
	}
	time.Sleep(sendAfter)

	answers := make([]lab.Answer, callers)
	for i, client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempt := lab.NewAttempt()
			l.Notef("sent %s on the kept channel", attempt)
			answers[i] = client.Do(lab.Request{Attempt: attempt, Route: lab.ReportRoute, Body: "report", DeadlineMs: 39000, PromptTokens: 3000, OutputTokens: outputTokens})
			l.Notef("answered %s status=%d events=%d complete=%v err=%v", attempt, answers[i].Status, len(answers[i].Events), answers[i].Complete, answers[i].Err)
		}()
	}
	wg.Wait()
	close(stop)
	lost, refused := 0, 0
	for _, answer := range answers {
		switch {
		case answer.Status == 503:
			refused++
		case answer.Status == 200 && !answer.Complete:
			lost++
		case answer.Status != 200:
			l.Exit(lab.ExitNotRun, "unexpected answer %d %v", answer.Status, answer.Err)
		}
	}
	if lost > 0 {
		l.Exit(lab.ExitBroken, "LOST broken: %d of %d streams sent %v after SIGTERM were passed on and cut off before their end, %d refused", lost, callers, sendAfter, refused)
	}
	l.Exit(lab.ExitHeld, "LOST held: no stream was cut off, %d of %d refused", refused, callers)
}
