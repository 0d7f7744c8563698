package testservers

import "time"

// job is a request that runs on an executor with a limited number of cores.
type job struct {
	remainingMS float64 // of processor time on one core
	weight      float64
	done        func()
}

// jobTick is the interval at which jobs advance and the cores are shared anew.
const jobTick = time.Millisecond

// priorityWeights holds the weight of each priority level of the protocol.
var priorityWeights = map[string]float64{"0": 1, "1": 4, "2": 8, "3": 16}

func priorityWeight(level string) float64 { return max(1, priorityWeights[level]) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (e *Executor) startJob(work time.Duration, priority string, done func()) *job {
	j := &job{remainingMS: milliseconds(work), weight: priorityWeight(priority), done: done}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[j] = struct{}{}
	return j
}

func (e *Executor) endJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.jobs, j)
}

// setPriority changes the share of a job; a nil job is ignored.
func (e *Executor) setPriority(j *job, priority string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j != nil {
		j.weight = priorityWeight(priority)
	}
}

// rejectIfFull reports whether the executor has MaxInFlight requests, and counts the rejection.
func (e *Executor) rejectIfFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peakJobs = max(e.peakJobs, len(e.jobs))
	if e.MaxInFlight == 0 || len(e.jobs) < e.MaxInFlight {
		return false
	}
	e.RejectedFull.Add(1)
	return true
}

// TakePeakInFlight returns the largest number of concurrent requests since the previous call.
func (e *Executor) TakePeakInFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peakJobs
	e.peakJobs = len(e.jobs)
	return peak
}

// runJobs shares the cores among the jobs until the executor stops.
func (e *Executor) runJobs() {
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	ticker := time.NewTicker(jobTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-stopped:
			return
		case now := <-ticker.C:
			elapsed := now.Sub(last)
			last = now
			for _, done := range e.advance(milliseconds(elapsed)) {
				done()
			}
		}
	}
}

// advance runs the jobs for some milliseconds and returns the callbacks of those that end.
// A job gets at most one core; what it cannot use is shared by the other jobs.
func (e *Executor) advance(elapsedMS float64) (ended []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sharedCores, sharedWeight := float64(e.Cores), 0.0
	for j := range e.jobs {
		sharedWeight += j.weight
	}
	fullCore := map[*job]bool{} // jobs that have a core of their own
	for changed := true; changed; {
		changed = false
		for j := range e.jobs {
			if fullCore[j] || sharedWeight <= 0 || sharedCores*j.weight < sharedWeight {
				continue
			}
			fullCore[j] = true
			changed = true
			sharedCores--
			sharedWeight -= j.weight
		}
	}
	for j := range e.jobs {
		share := 1.0
		if !fullCore[j] {
			share = sharedCores * j.weight / sharedWeight
		}
		j.remainingMS -= elapsedMS * share
		if j.remainingMS <= 0 {
			delete(e.jobs, j)
			ended = append(ended, j.done)
		}
	}
	return ended
}
