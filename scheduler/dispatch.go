package scheduler

// Dispatch: the order in which queued requests get executors, and which of them have waited in vain. It is
// the paper's wait queue (2.3); as values differ, it is ordered by the value that a request can still earn
// for its work, which stands for the custom priorities of 3.2.

import (
	"cmp"
	"slices"
)

const (
	minLateShare = 0.25 // of the value: a request sure to be late waits only where a late answer earns more
	longQueue    = 50   // requests: more are gone through once the clock has moved on, not at each event
)

func (s *Scheduler) dispatchDue() bool {
	return s.now > s.dispatchedAt || len(s.queue) < longQueue
}

// dispatch goes through the queue, the densest value first.
func (s *Scheduler) dispatch() {
	s.collectQueue()
	slices.SortFunc(s.queue, func(a, b int) int {
		first := s.requests.at(a)
		second := s.requests.at(b)
		byDensity := cmp.Compare(second.density, first.density)
		return cmp.Or(byDensity, cmp.Compare(first.sequence, second.sequence))
	})
	for _, slot := range s.queue {
		s.dispatchRequest(slot)
	}
	s.dispatchNeeded = false
}

// dispatchRequest sends a queued request, gives up on it, or leaves it in the queue.
func (s *Scheduler) dispatchRequest(slot int) {
	r := s.requests.at(slot)
	if s.isUnservable(r) {
		s.applyToRequest(slot, inputUnservable)
		return
	}
	if s.saturated && !r.immediate {
		return
	}
	if index := s.selectExecutor(r); index >= 0 {
		s.assignTo = index
		s.applyToRequest(slot, inputAssigned)
		return
	}
	if r.immediate {
		s.emit(Action{Kind: ReturnRequest, Request: r.id})
		s.requests.remove(slot)
		return
	}
	if s.waitsForLittle(r) {
		s.applyToRequest(slot, inputUnservable)
	}
}

// isUnservable reports whether a queued request can't be answered any more. Where it may be rejected and
// lacks only the retry budget, its client's own retry is faster.
func (s *Scheduler) isUnservable(r *request) bool {
	if r.density == 0 {
		return true
	}
	repeats := r.attemptCount > 0 || r.prior.At != 0 && len(s.executors) > 0
	if repeats && s.maySend(r, 0) == sendNever {
		return true
	}
	return r.startedCount() > 0 && s.mayReject(r) && !s.retryBudgetLeft(0)
}

// waitsForLittle reports whether a request is sure to be late and then earns so little that it would only
// fill the queue.
func (s *Scheduler) waitsForLittle(r *request) bool {
	class := &s.classes[r.class]
	return class.lateShare < minLateShare && s.now+class.minRunMS(r) > r.softDeadline
}

// valueDensity returns the value that a request can still earn, for each ms of its work.
func (s *Scheduler) valueDensity(r *request) float64 {
	class := &s.classes[r.class]
	earliestEnd := s.now + class.minRunMS(r)
	switch {
	case earliestEnd > r.deadline-answerMarginMS || r.errorCount >= maxErrors:
		return 0
	case earliestEnd > r.softDeadline:
		return class.value * class.lateShare / r.workMS
	}
	return class.value / r.workMS
}
