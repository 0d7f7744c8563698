package clustersim

import (
	"fmt"
	"slices"

	"liftshift/scheduler"
)

// scheduleArrival has requests come to a controller at a rate by the millisecond, the next one after the time at, whatever the step of the
// simulation is.
func (s *localitySim) scheduleArrival(k int, rate, at float64) {
	at += s.random.ExpFloat64() / rate
	s.after(at-s.now, func() {
		s.requestCount++
		id := fmt.Sprintf("%08x", s.requestCount)
		group := uint64(s.random.IntN(requestGroups))
		if s.Policy == RandomGroup {
			group = s.random.Uint64()
		}
		s.controllers[k].open[id] = &localityRequest{arrivedAt: s.now}
		s.controllers[k].demand++
		s.stepScheduler(k, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: lookupClass, TableGroup: group, MemoryMB: 1, WorkMS: requestWorkMS,
			Deadline: s.schedulerTime() + localityLimitMS})
		s.scheduleArrival(k, rate, at)
	})
}

// stepScheduler hands an event to a controller's scheduler and carries out the actions.
func (s *localitySim) stepScheduler(k int, ev *scheduler.Event) {
	for _, a := range slices.Clone(s.controllers[k].scheduler.Step(s.schedulerTime(), ev, nil)) {
		switch a.Kind {
		case scheduler.SetTimer:
			s.after(a.AfterMS, func() { s.stepScheduler(k, &scheduler.Event{Kind: scheduler.TimerFired, Token: a.Token}) })
		case scheduler.Send:
			s.sendAttempt(k, &a)
		case scheduler.HealthCheck:
			s.checkHealth(k, s.executors[a.Executor-1])
		case scheduler.Cancel:
			s.cancelJob(k, a.Request, a.Attempt)
		case scheduler.Reject, scheduler.Fail:
			s.finishRequest(k, a.Request, false)
		}
	}
}

func (s *localitySim) sendAttempt(k int, a *scheduler.Action) {
	e, request := s.executors[a.Executor-1], s.controllers[k].open[a.Request]
	if request == nil || request.finished {
		return
	}
	attempt := request.attempts
	request.attempts++
	s.after(s.roundTrip(k, e)/2, func() { s.receiveAttempt(k, attempt, a, e) })
}

func (s *localitySim) checkHealth(k int, e *localityExecutor) {
	s.after(1+s.roundTrip(k, e), func() {
		ev := &scheduler.Event{Kind: scheduler.HealthChecked, Executor: e.id, Outcome: scheduler.ConnectFailed}
		if e.up {
			ev.Outcome = scheduler.Succeeded
			ev.LoadReport = []float64{float64(len(e.jobs))}
		}
		s.stepScheduler(k, ev)
	})
}

// finishRequest answers a request, and counts what its answer is worth.
func (s *localitySim) finishRequest(k int, id string, succeeded bool) {
	own := s.controllers[k]
	request := own.open[id]
	if request == nil || request.finished {
		return
	}
	request.finished = true
	delete(own.open, id)
	own.demand--
	latency := s.now - request.arrivedAt
	if request.arrivedAt >= s.LostAtMS {
		s.metrics.countValue(succeeded, latency)
	}
	if !succeeded {
		return
	}
	s.result.Succeeded++
	if s.zoneOf(k) == 0 {
		return
	}
	switch at := request.arrivedAt; {
	case at > settledAtMS && at < s.LostAtMS-beforeLossMarginMS:
		s.metrics.latencyBefore = append(s.metrics.latencyBefore, latency)
	case at >= s.LostAtMS && at < s.BackAtMS:
		s.metrics.latencyDuring = append(s.metrics.latencyDuring, latency)
	}
}
