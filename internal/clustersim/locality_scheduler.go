package clustersim

import (
	"fmt"
	"slices"

	"liftshift/scheduler"
)

// scheduleArrival schedules the next arrival in a Poisson process of requests to a controller. The rate is per
// millisecond. The interval counts from the exact time of the previous arrival, at, so that the rate does not depend
// on the simulation step.
func (s *localitySim) scheduleArrival(controllerIndex int, rate, at float64) {
	at += s.random.ExpFloat64() / rate
	s.after(at-s.now, func() {
		s.requestCount++
		id := fmt.Sprintf("%08x", s.requestCount)
		group := uint64(s.random.IntN(requestGroups))
		if s.Policy == RandomGroup {
			group = s.random.Uint64()
		}
		s.controllers[controllerIndex].open[id] = &localityRequest{arrivedAt: s.now}
		s.controllers[controllerIndex].demand++
		s.stepScheduler(controllerIndex, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: lookupClass,
			TableGroup: group, MemoryMB: 1, WorkMS: requestWorkMS, Deadline: s.schedulerTime() + localityDeadlineMS})
		s.scheduleArrival(controllerIndex, rate, at)
	})
}

// stepScheduler passes an event to a controller's scheduler and executes the actions.
func (s *localitySim) stepScheduler(controllerIndex int, event *scheduler.Event) {
	for _, action := range slices.Clone(s.controllers[controllerIndex].scheduler.Step(s.schedulerTime(), event, nil)) {
		switch action.Kind {
		case scheduler.SetTimer:
			s.after(action.AfterMS, func() {
				s.stepScheduler(controllerIndex, &scheduler.Event{Kind: scheduler.TimerFired, Token: action.Token})
			})
		case scheduler.Send:
			s.sendAttempt(controllerIndex, &action)
		case scheduler.HealthCheck:
			s.checkHealth(controllerIndex, s.executors[action.Executor-1])
		case scheduler.Cancel:
			s.cancelJob(controllerIndex, action.Request, action.Attempt)
		case scheduler.Reject, scheduler.Fail:
			s.finishRequest(controllerIndex, action.Request, false)
		}
	}
}

// sendAttempt sends an attempt of an open request to the executor that the scheduler has chosen.
func (s *localitySim) sendAttempt(controllerIndex int, action *scheduler.Action) {
	executor, request := s.executors[action.Executor-1], s.controllers[controllerIndex].open[action.Request]
	if request == nil || request.finished {
		return
	}
	attempt := request.attempts
	request.attempts++
	s.after(s.roundTrip(controllerIndex, executor)/2, func() {
		s.receiveAttempt(controllerIndex, attempt, action, executor)
	})
}

// checkHealth simulates a health check, whose reply from a running executor carries a load report.
func (s *localitySim) checkHealth(controllerIndex int, executor *localityExecutor) {
	s.after(1+s.roundTrip(controllerIndex, executor), func() {
		event := &scheduler.Event{Kind: scheduler.HealthChecked, Executor: executor.id, Outcome: scheduler.ConnectFailed}
		if executor.up {
			event.Outcome = scheduler.Succeeded
			event.LoadReport = []float64{float64(len(executor.jobs))}
		}
		s.stepScheduler(controllerIndex, event)
	})
}

// finishRequest closes a request and measures its value and latency.
func (s *localitySim) finishRequest(controllerIndex int, id string, succeeded bool) {
	controller := s.controllers[controllerIndex]
	request := controller.open[id]
	if request == nil || request.finished {
		return
	}
	request.finished = true
	delete(controller.open, id)
	controller.demand--
	latency := s.now - request.arrivedAt
	if request.arrivedAt >= s.LostAtMS {
		s.metrics.countValue(succeeded, latency)
	}
	if !succeeded {
		return
	}
	s.result.Succeeded++
	if s.zoneOf(controllerIndex) == 0 {
		return
	}
	switch at := request.arrivedAt; {
	case at > measuredFromMS && at < s.LostAtMS-beforeLossMarginMS:
		s.metrics.latencyBefore = append(s.metrics.latencyBefore, latency)
	case at >= s.LostAtMS && at < s.BackAtMS:
		s.metrics.latencyDuring = append(s.metrics.latencyDuring, latency)
	}
}
