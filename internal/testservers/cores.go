package testservers

import "time"

// job is a request that runs on an executor with a limited number of cores.
type job struct {
	remainingMS float64 // of one core
	weight      float64
	done        func()
}

// jobTick is how often cores are shared out anew.
const jobTick = time.Millisecond

// priorityWeights has the weight of each priority level of the protocol.
var priorityWeights = map[string]float64{"0": 1, "1": 4, "2": 8, "3": 16}

func priorityWeight(level string) float64 { return max(1, priorityWeights[level]) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (e *Executor) startJob(work time.Duration, level string, done func()) *job {
	j := &job{remainingMS: milliseconds(work), weight: priorityWeight(level), done: done}
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

func (e *Executor) renice(j *job, level string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j != nil {
		j.weight = priorityWeight(level)
	}
}

// rejectsForSpace reports whether the executor is full, and counts that.
func (e *Executor) rejectsForSpace() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peakJobs = max(e.peakJobs, len(e.jobs))
	if e.MaxInFlight == 0 || len(e.jobs) < e.MaxInFlight {
		return false
	}
	e.RejectedFull.Add(1)
	return true
}

// TakePeakInFlight returns how many requests the executor had at a time at most since the last call.
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
	tick := time.NewTicker(jobTick)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-stopped:
			return
		case now := <-tick.C:
			elapsed := now.Sub(last)
			last = now
			for _, done := range e.advance(milliseconds(elapsed)) {
				done()
			}
		}
	}
}

// advance lets the jobs run for a time and returns the callbacks of those that end.
func (e *Executor) advance(ms float64) (ended []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cores, weight := float64(e.Cores), 0.0
	for j := range e.jobs {
		weight += j.weight
	}
	fullCore := map[*job]bool{} // jobs whose share is one core; what they leave goes to the others
	for again := true; again; {
		again = false
		for j := range e.jobs {
			if fullCore[j] || weight <= 0 || cores*j.weight < weight {
				continue
			}
			fullCore[j] = true
			again = true
			cores--
			weight -= j.weight
		}
	}
	for j := range e.jobs {
		share := 1.0
		if !fullCore[j] {
			share = cores * j.weight / weight
		}
		j.remainingMS -= ms * share
		if j.remainingMS <= 0 {
			delete(e.jobs, j)
			ended = append(ended, j.done)
		}
	}
	return ended
}
