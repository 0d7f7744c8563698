package clustersim

import (
	"math"
	"slices"

	"liftshift/scheduler"
)

// localityExecutor is a simulated executor that shares its threads evenly among its jobs.
type localityExecutor struct {
	id         uint32
	zone       int
	up         bool
	startedAt  float64
	jobs       []*localityJob
	warmupJobs []float64 // when jobs came while it warmed up, within the collapse window
}

// localityJob is one attempt at an executor.
type localityJob struct {
	controller, attempt int
	request             string
	remainingMS         float64
	startedAt           float64
}

func (e *localityExecutor) restart(now float64) {
	e.startedAt = now
	e.warmupJobs = nil
}

// capacity returns how many threads an executor has.
func (s *localitySim) capacity(e *localityExecutor) float64 {
	warm := min(1, max(0, (s.now-e.startedAt)/warmupMS))
	return s.Cores * (coldCapacity + (1-coldCapacity)*warm)
}

// roundTrip returns the time from a controller to an executor and back.
func (s *localitySim) roundTrip(k int, e *localityExecutor) float64 {
	if e.zone != s.zoneOf(k) {
		return s.CrossZoneRTTMS
	}
	return localRTTMS
}

// receiveAttempt has an attempt of a controller arrive at an executor.
func (s *localitySim) receiveAttempt(k, attempt int, a *scheduler.Action, e *localityExecutor) {
	if !e.up {
		s.endAttemptAfter(1, k, scheduler.Event{Request: a.Request, Attempt: attempt, Executor: e.id, Outcome: scheduler.ConnectFailed})
		return
	}
	e.jobs = append(e.jobs, &localityJob{controller: k, attempt: attempt, request: a.Request, remainingMS: requestWorkMS, startedAt: s.now})
	s.countWarmupJob(e)
	if s.LostAtMS > s.now && s.now > settledAtMS {
		s.metrics.attempts++
		if e.zone == s.zoneOf(k) {
			s.metrics.localAttempts++
		}
	}
}

// countWarmupJob counts a job of an executor that warms up; one that gets too many collapses, and begins anew.
func (s *localitySim) countWarmupJob(e *localityExecutor) {
	if s.now >= e.startedAt+warmupMS {
		return
	}
	e.warmupJobs = append(e.warmupJobs, s.now)
	for len(e.warmupJobs) > 0 && e.warmupJobs[0] < s.now-collapseWindowMS {
		e.warmupJobs = e.warmupJobs[1:]
	}
	expected := s.capacity(e) * collapseWindowMS / requestWorkMS
	if float64(len(e.warmupJobs)) > expected+3*math.Sqrt(expected)+3 { // past three deviations of random arrivals
		s.result.Collapses++
		s.dropJobs(e)
		e.restart(s.now)
	}
}

// dropJobs loses all jobs of an executor.
func (s *localitySim) dropJobs(e *localityExecutor) {
	jobs := e.jobs
	e.jobs = nil
	for _, job := range jobs {
		s.endAttemptAfter(1, job.controller, scheduler.Event{Request: job.request, Attempt: job.attempt, Executor: e.id, Outcome: scheduler.ConnectionLost})
	}
}

// cancelJob ends an attempt at whichever executor has it.
func (s *localitySim) cancelJob(k int, request string, attempt int) {
	for _, e := range s.executors {
		e.jobs = slices.DeleteFunc(e.jobs, func(job *localityJob) bool {
			return job.controller == k && job.request == request && job.attempt == attempt
		})
	}
	s.endAttemptAfter(0.1, k, scheduler.Event{Request: request, Attempt: attempt, Outcome: scheduler.Cancelled})
}

func (s *localitySim) endAttemptAfter(ms float64, k int, ev scheduler.Event) {
	ev.Kind = scheduler.AttemptEnded
	s.after(ms, func() { s.stepScheduler(k, &ev) })
}

// runJobs has an executor work for one step of time.
func (s *localitySim) runJobs(e *localityExecutor) {
	if len(e.jobs) == 0 {
		return
	}
	share := min(1, s.capacity(e)/float64(len(e.jobs)))
	remaining := e.jobs[:0]
	for _, job := range e.jobs {
		job.remainingMS -= localityStepMS * share
		if job.remainingMS > 0 {
			remaining = append(remaining, job)
			continue
		}
		s.after(s.roundTrip(job.controller, e)/2, func() {
			s.finishRequest(job.controller, job.request, true)
			s.stepScheduler(job.controller, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: job.request, Attempt: job.attempt, Executor: e.id,
				Outcome: scheduler.Succeeded, ElapsedMS: s.now - job.startedAt, Final: true})
		})
	}
	e.jobs = remaining
}
