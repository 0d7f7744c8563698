package scheduler

import (
	"math"
	"strings"
)

// Restoring state after a restart. The retries and arrivals of the last window keep the retry budget from being spent
// twice, executors remain ejected, warming up or draining, and estimates need not be learned again.

// restoreState restores the state that was persisted before a restart.
func (s *Scheduler) restoreState(ev *Event) {
	for _, at := range ev.Arrivals {
		s.arrivals.add(at, 1)
	}
	for _, at := range ev.Retries {
		s.retries.add(at, 1)
	}
	for i := range ev.Estimates {
		s.restoreEstimate(&ev.Estimates[i])
	}
	for i := range ev.RestoredExecutors {
		s.restoreExecutor(&ev.RestoredExecutors[i])
	}
}

// restoreExecutor restores the state of one executor, if it is in the endpoint list.
func (s *Scheduler) restoreExecutor(persisted *RestoredExecutor) {
	index := s.executorIndex(persisted.Executor)
	if index < 0 {
		return
	}
	e := &s.executors[index]
	if persisted.Draining && e.availability == Active {
		e.availability = Draining
	}
	if persisted.WarmupUntil > max(s.now, e.warmupUntil) {
		e.state = executorWarmingUp
		e.warmupUntil = persisted.WarmupUntil
		e.proven = false
	}
	e.ejections = persisted.Ejections
	if persisted.Ejected {
		e.ejections-- // eject increments it again
		s.applyToExecutor(index, inputUnresponsive)
	}
}

// runTimeEstimate is the name of an Estimate that holds the running time of one finished request.
const runTimeEstimate = "ran"

// estimateFields lists the estimates of a class with their names in storage.
var estimateFields = [...]struct {
	name  string
	field func(*classState) *float64
}{
	{"usual", func(c *classState) *float64 { return &c.meanWorkMS }},
	{"slow", func(c *classState) *float64 { return &c.slowdown }},
	{"memory", func(c *classState) *float64 { return &c.memoryFactor }},
	{"worked", func(c *classState) *float64 { return &c.actualWorkMS }},
	{"estimated", func(c *classState) *float64 { return &c.estimatedWorkMS }},
}

// Estimates appends the estimates of all classes and the latest running times, oldest first, to out.
func (s *Scheduler) Estimates(out []Estimate) []Estimate {
	for i := range s.classes {
		class := &s.classes[i]
		for _, f := range estimateFields {
			out = append(out, Estimate{Name: class.name + "." + f.name, Value: *f.field(class)})
		}
	}
	runs := s.finishedRuns.live()
	for _, ms := range runs[max(0, len(runs)-maxRestoredRuns):] {
		out = append(out, Estimate{Name: runTimeEstimate, Value: ms})
	}
	return out
}

// restoreEstimate restores one estimate. It ignores values that are not positive and finite, and unknown names.
func (s *Scheduler) restoreEstimate(estimate *Estimate) {
	if !(estimate.Value > 0) || math.IsInf(estimate.Value, 0) {
		return
	}
	if estimate.Name == runTimeEstimate {
		s.finishedRuns.add(s.now, estimate.Value)
	}
	for i := range s.classes {
		class := &s.classes[i]
		name, ok := strings.CutPrefix(estimate.Name, class.name+".")
		for _, f := range estimateFields {
			if ok && f.name == name {
				*f.field(class) = estimate.Value
				class.workSamples = 1 / costSmoothingFactor
			}
		}
	}
}
