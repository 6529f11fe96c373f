package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/stopping"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

const (
	// stopMargin is the part of the grace period reserved for aborting open requests and
	// for process exit.
	stopMargin = 400 * time.Millisecond
	// abortTime bounds the wait for the responses of aborted requests, closeTime the wait
	// for connections to close after that.
	abortTime = 150 * time.Millisecond
	closeTime = 100 * time.Millisecond
	// balancerRemovalTime is how long the load balancer may keep sending connections
	// after the readiness probe starts to fail: two probes and their interval.
	balancerRemovalTime = 3 * time.Second
	// stopIdleTime is the time without requests after which a stop ends early.
	stopIdleTime = 500 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks for open requests.
	stopPollInterval = 20 * time.Millisecond
	// estimatedPlainTime is the estimated duration of a plain request.
	estimatedPlainTime = time.Second
)

// errAborted is the cause with which a request is cancelled at the end of a stop.
var errAborted = eris.New("the VM stopped")

// Stop makes the readiness probe fail, waits for open requests until shortly before the
// grace period ends and then shuts down. The requests that are still open are aborted;
// those without a response get one that says so. It reports false when requests were
// aborted.
func (s *Server) Stop(ctx context.Context) bool {
	began := time.Now()
	schedule := &stopping.Schedule{BalancerRemovesAt: began.Add(balancerRemovalTime), EndsAt: began.Add(s.gracePeriod() - stopMargin)}
	s.stopSchedule.Store(schedule)
	s.log.Info().Str("event", "stopping").Int64("open", s.openRequests.Load()).Time("until", schedule.EndsAt).Msg("")
	ctx, cancel := context.WithDeadline(ctx, schedule.EndsAt)
	defer cancel()
	for sleep.For(ctx, stopPollInterval) {
		now := time.Now()
		idle := now.UnixMilli()-s.lastRequestEnd.Load() > stopIdleTime.Milliseconds()
		if !now.Before(schedule.BalancerRemovesAt) && s.openRequests.Load() == 0 && idle {
			break
		}
	}
	s.closing.Store(true)
	// A request may have arrived since the last check.
	s.awaitRequests(ctx)
	aborted := s.openRequests.Load()
	s.log.Info().Str("event", "stopped").Int64("cut", aborted).Int64("connectionsOpened", s.pool.ConnectionsOpened()).
		Int64("storeCalls", s.catalog.StoreCalls()).Msg("")
	if aborted > 0 {
		s.abortRequests()
	}
	s.closeCallers()
	s.Kill()
	return aborted == 0
}

// awaitRequests waits until no request is open or the context ends.
func (s *Server) awaitRequests(ctx context.Context) {
	for s.openRequests.Load() > 0 && sleep.For(ctx, stopPollInterval) {
	}
}

// abortRequests cancels the open requests and waits for their responses.
func (s *Server) abortRequests() {
	s.abort()
	ctx, cancel := context.WithTimeout(s.ctx, abortTime)
	defer cancel()
	s.awaitRequests(ctx)
}

// closeCallers closes callers' connections once the responses on them have been sent.
func (s *Server) closeCallers() {
	ctx, cancel := context.WithTimeout(s.ctx, closeTime)
	defer cancel()
	_ = s.frontend.shutdown(ctx) // connections that are left are closed by Kill
}

// gracePeriod is the time between the platform's stop signal and its kill.
func (s *Server) gracePeriod() time.Duration {
	return time.Duration(s.opts.Settings.Bounds.GraceS * float64(time.Second))
}

// Kill shuts down immediately and aborts open requests.
func (s *Server) Kill() {
	s.cancel()
	s.frontend.close()
	s.wg.Wait()
}

// checkStopping refuses requests that a stopping VM could not finish, so that the
// caller gets the whole response from another VM.
func (s *Server) checkStopping(req *request) (outcome.Result, bool) {
	schedule := s.stopSchedule.Load()
	if schedule == nil {
		return proceed()
	}
	if s.closing.Load() {
		return refuse(outcome.VMStopping, "no requests are accepted any more", shortRetryDelay)
	}
	expected := estimatedPlainTime
	if req.route.Kind == routing.Streaming {
		expected = s.estimateStream(req)
	}
	if now := time.Now(); !schedule.Accepts(now, req.deadline, expected) {
		out := outcome.Refuse(outcome.VMStopping, "needs up to "+min(expected, req.deadline.Sub(now)).String())
		out.RetryAt = now.Add(shortRetryDelay)
		return out, false
	}
	return proceed()
}

// estimateStream returns the expected duration of a stream of the maximum length, at the
// pace of the service's other streams on this VM.
func (s *Server) estimateStream(req *request) time.Duration {
	action, _ := s.loop.call(req.r.Context(), req.id, dispatch.EstimateStream{
		ID: req.id, Service: req.service, OutputTokens: max(req.estimatedOutput(), req.params.MaxTokens),
	})
	estimate, ok := action.(dispatch.StreamEstimate)
	if !ok {
		return time.Until(req.deadline)
	}
	return estimate.Duration
}

// aborted reports whether the request was cancelled because the VM stopped.
func (req *request) aborted() bool { return eris.Is(context.Cause(req.ctx), errAborted) }
