package clustersim

import (
	"math"
	"slices"

	"liftshift/scheduler"
)

// localityExecutor is a simulated executor that divides its threads evenly among its jobs.
type localityExecutor struct {
	id         uint32
	zone       int
	up         bool
	startedAt  float64
	jobs       []*localityJob
	warmupJobs []float64 // arrival times of jobs during the warmup, within the collapse window
}

// localityJob is an attempt that an executor works on.
type localityJob struct {
	controller, attempt int
	request             string
	remainingMS         float64
	startedAt           float64
}

// restart makes the executor cold again.
func (e *localityExecutor) restart(now float64) {
	e.startedAt = now
	e.warmupJobs = nil
}

// capacity returns the number of threads that an executor can use. It grows linearly during the warmup.
func (s *localitySim) capacity(executor *localityExecutor) float64 {
	warm := min(1, max(0, (s.now-executor.startedAt)/warmupMS))
	return s.Cores * (coldCapacityShare + (1-coldCapacityShare)*warm)
}

// roundTrip returns the round-trip time between a controller and an executor.
func (s *localitySim) roundTrip(controllerIndex int, executor *localityExecutor) float64 {
	if executor.zone != s.zoneOf(controllerIndex) {
		return s.CrossZoneRTTMS
	}
	return localRTTMS
}

// receiveAttempt delivers an attempt of a controller to an executor.
func (s *localitySim) receiveAttempt(
	controllerIndex, attempt int, action *scheduler.Action, executor *localityExecutor,
) {
	if !executor.up {
		s.endAttemptAfter(1, controllerIndex, scheduler.Event{
			Request: action.Request, Attempt: attempt, Executor: executor.id, Outcome: scheduler.ConnectFailed,
		})
		return
	}
	executor.jobs = append(executor.jobs, &localityJob{
		controller:  controllerIndex,
		attempt:     attempt,
		request:     action.Request,
		remainingMS: requestWorkMS,
		startedAt:   s.now,
	})
	s.countWarmupJob(executor)
	if s.LostAtMS > s.now && s.now > measuredFromMS {
		s.metrics.attempts++
		if executor.zone == s.zoneOf(controllerIndex) {
			s.metrics.localAttempts++
		}
	}
}

// countWarmupJob counts a job that arrives during the warmup of an executor. An executor that gets too many of them
// collapses: it loses its jobs and restarts cold.
func (s *localitySim) countWarmupJob(executor *localityExecutor) {
	if s.now >= executor.startedAt+warmupMS {
		return
	}
	executor.warmupJobs = append(executor.warmupJobs, s.now)
	for len(executor.warmupJobs) > 0 && executor.warmupJobs[0] < s.now-collapseWindowMS {
		executor.warmupJobs = executor.warmupJobs[1:]
	}
	expected := s.capacity(executor) * collapseWindowMS / requestWorkMS
	// The limit is three standard deviations above the expected number of Poisson arrivals, plus a constant margin that
	// matters for small numbers.
	if float64(len(executor.warmupJobs)) > expected+3*math.Sqrt(expected)+3 {
		s.result.Collapses++
		s.dropJobs(executor)
		executor.restart(s.now)
	}
}

// dropJobs fails all jobs of an executor as lost connections.
func (s *localitySim) dropJobs(executor *localityExecutor) {
	jobs := executor.jobs
	executor.jobs = nil
	for _, job := range jobs {
		s.endAttemptAfter(1, job.controller, scheduler.Event{
			Request: job.request, Attempt: job.attempt, Executor: executor.id, Outcome: scheduler.ConnectionLost,
		})
	}
}

// cancelJob removes the job of an attempt from whichever executor has it, and reports the attempt as cancelled.
func (s *localitySim) cancelJob(controllerIndex int, request string, attempt int) {
	for _, executor := range s.executors {
		executor.jobs = slices.DeleteFunc(executor.jobs, func(job *localityJob) bool {
			return job.controller == controllerIndex && job.request == request && job.attempt == attempt
		})
	}
	s.endAttemptAfter(0.1, controllerIndex, scheduler.Event{
		Request: request, Attempt: attempt, Outcome: scheduler.Cancelled,
	})
}

// endAttemptAfter reports the end of an attempt to a controller's scheduler after a delay. It sets the kind of the
// event.
func (s *localitySim) endAttemptAfter(ms float64, controllerIndex int, event scheduler.Event) {
	event.Kind = scheduler.AttemptEnded
	s.after(ms, func() { s.stepScheduler(controllerIndex, &event) })
}

// runJobs lets an executor work on its jobs for one step of time.
func (s *localitySim) runJobs(executor *localityExecutor) {
	if len(executor.jobs) == 0 {
		return
	}
	share := min(1, s.capacity(executor)/float64(len(executor.jobs)))
	remaining := executor.jobs[:0]
	for _, job := range executor.jobs {
		job.remainingMS -= localityStepMS * share
		if job.remainingMS > 0 {
			remaining = append(remaining, job)
			continue
		}
		s.after(s.roundTrip(job.controller, executor)/2, func() {
			s.finishRequest(job.controller, job.request, true)
			s.stepScheduler(job.controller, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: job.request,
				Attempt: job.attempt, Executor: executor.id, Outcome: scheduler.Succeeded,
				ElapsedMS: s.now - job.startedAt, Final: true})
		})
	}
	executor.jobs = remaining
}
