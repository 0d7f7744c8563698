package scheduler

import (
	"math"
	"strings"
)

const (
	restoredRuns = 64 // running times kept through a restart: three times the least that tells an onset
)

// restoreState takes over what was known before a restart: it narrows sending, and saves learning.
func (s *Scheduler) restoreState(ev *Event) {
	s.restoreEstimates(ev)
	for _, t := range ev.ExecutorStates {
		if index := s.executorIndex(t.Executor); index >= 0 {
			e := &s.executors[index]
			if t.Draining && e.availability == Active {
				e.availability = Draining
			}
			if t.WarmupUntil > max(s.now, e.warmupUntil) {
				e.state, e.warmupUntil, e.proven = executorWarmingUp, t.WarmupUntil, false
			}
			if e.ejections = t.Ejections; t.Ejected {
				e.ejections--
				s.applyToExecutor(index, inputUnresponsive)
			}
		}
	}
}

// facts names what is learnt of an offering, for Learnt and relearn.
var estimateFields = []struct {
	name string
	of   func(*classState) *float64
}{
	{"usual", func(class *classState) *float64 { return &class.usualWorkMS }},
	{"slow", func(class *classState) *float64 { return &class.slowdown }},
	{"memory", func(class *classState) *float64 { return &class.memoryFactor }},
	{"worked", func(class *classState) *float64 { return &class.actualWorkMS }},
	{"estimated", func(class *classState) *float64 { return &class.estimatedWorkMS }},
}

// ranName is the name of a finished request's running time among figures: the onset is read from those.
const runEstimate = "ran"

// Estimates appends what this instance has learnt, the last running times oldest first.
func (s *Scheduler) Estimates(out []Estimate) []Estimate {
	for k := range s.classes {
		for f := range estimateFields {
			out = append(out, Estimate{s.classes[k].name + "." + estimateFields[f].name, *estimateFields[f].of(&s.classes[k])})
		}
	}
	ran := s.finishedRuns.live()
	for _, ms := range ran[max(0, len(ran)-restoredRuns):] {
		out = append(out, Estimate{runEstimate, ms})
	}
	return out
}

// restoreEstimates takes over the counts of the ration, and what Learnt gave; what can't be, is left out.
func (s *Scheduler) restoreEstimates(ev *Event) {
	for _, at := range ev.Arrivals {
		s.arrivals.add(at, 1)
	}
	for _, at := range ev.Retries {
		s.retries.add(at, 1)
	}
	for _, f := range ev.Estimates {
		if !(f.Value > 0) || math.IsInf(f.Value, 0) {
			continue
		}
		if f.Name == runEstimate {
			s.finishedRuns.add(s.now, f.Value)
		}
		for k := range s.classes {
			name, ok := strings.CutPrefix(f.Name, s.classes[k].name+".")
			for j := range estimateFields {
				if ok && estimateFields[j].name == name {
					*estimateFields[j].of(&s.classes[k]) = f.Value
					s.classes[k].arrivals = 1 / costSmoothing
				}
			}
		}
	}
}
