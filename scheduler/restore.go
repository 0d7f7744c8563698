package scheduler

import (
	"math"
	"strings"
)

// Restart: what an instance takes over from the one before. The retries and arrivals of the last window keep
// the retry budget from being spent twice; executors that were ejected, warming up or draining stay so;
// estimates save learning them anew.

// restoreState takes over what was known before a restart.
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
	for i := range ev.ExecutorStates {
		s.restoreExecutor(&ev.ExecutorStates[i])
	}
}

// restoreExecutor takes over what was known of one executor, if it is listed.
func (s *Scheduler) restoreExecutor(known *ExecutorState) {
	index := s.executorIndex(known.Executor)
	if index < 0 {
		return
	}
	e := &s.executors[index]
	if known.Draining && e.availability == Active {
		e.availability = Draining
	}
	if known.WarmupUntil > max(s.now, e.warmupUntil) {
		e.state = executorWarmingUp
		e.warmupUntil = known.WarmupUntil
		e.proven = false
	}
	e.ejections = known.Ejections
	if known.Ejected {
		e.ejections-- // ejecting it counts it again
		s.applyToExecutor(index, inputUnresponsive)
	}
}

// runEstimate is the name of the running time of a finished request among estimates.
const runEstimate = "ran"

// estimateFields are the estimates of a class, by the names under which they are stored.
var estimateFields = [...]struct {
	name  string
	field func(*classState) *float64
}{
	{"usual", func(c *classState) *float64 { return &c.usualWorkMS }},
	{"slow", func(c *classState) *float64 { return &c.slowdown }},
	{"memory", func(c *classState) *float64 { return &c.memoryFactor }},
	{"worked", func(c *classState) *float64 { return &c.actualWorkMS }},
	{"estimated", func(c *classState) *float64 { return &c.estimatedWorkMS }},
}

// Estimates appends what an instance has learned, the last running times oldest first.
func (s *Scheduler) Estimates(out []Estimate) []Estimate {
	for i := range s.classes {
		class := &s.classes[i]
		for _, f := range estimateFields {
			out = append(out, Estimate{Name: class.name + "." + f.name, Value: *f.field(class)})
		}
	}
	runs := s.finishedRuns.live()
	for _, ms := range runs[max(0, len(runs)-restoredRuns):] {
		out = append(out, Estimate{Name: runEstimate, Value: ms})
	}
	return out
}

// restoreEstimate takes over one estimate. One that can't be is passed over.
func (s *Scheduler) restoreEstimate(estimate *Estimate) {
	if !(estimate.Value > 0) || math.IsInf(estimate.Value, 0) {
		return
	}
	if estimate.Name == runEstimate {
		s.finishedRuns.add(s.now, estimate.Value)
	}
	for i := range s.classes {
		class := &s.classes[i]
		name, ok := strings.CutPrefix(estimate.Name, class.name+".")
		for _, f := range estimateFields {
			if ok && f.name == name {
				*f.field(class) = estimate.Value
				class.arrivals = 1 / costSmoothing
			}
		}
	}
}
