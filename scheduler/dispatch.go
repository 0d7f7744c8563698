package scheduler

// Dispatch goes through the queued requests, assigns executors to them and gives up on those that can't be answered
// any more. The queue is the wait queue of the paper cited in priority.go (section 2.3). Since requests differ in
// value, it is ordered by value density, which takes the place of the custom priorities of section 3.2.

import (
	"cmp"
	"slices"
)

const (
	minLateValueShare = 0.25 // LateValueShare below which a late answer isn't worth keeping a request queued
	longQueueLength   = 50   // queue length from which on the queue is not dispatched on every event

	// longQueueIntervalMS is the time between two passes for each request in a long queue. A pass takes a quarter of it.
	longQueueIntervalMS = 0.001
)

// dispatchDue reports whether the queue may be dispatched in this step. A long queue is dispatched only after a time in
// proportion to its length since the last pass, so that passes leave time to handle events.
func (s *Scheduler) dispatchDue() bool {
	length := len(s.queue)
	return length < longQueueLength || s.now >= s.dispatchedAt+longQueueIntervalMS*float64(length)
}

// dispatch goes through the queue in order of decreasing value density, and of arrival where the density is equal.
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

// dispatchRequest sends a queued request, rejects or fails it, or leaves it in the queue. An immediate request is
// returned to the caller instead of waiting.
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
	if s.isTooLateToQueue(r) {
		s.applyToRequest(slot, inputUnservable)
	}
}

// isUnservable reports whether a queued request can't be answered any more. A retry that may be rejected and only
// lacks retry budget counts as unservable, because the client's own retry is faster than waiting for the budget.
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

// isTooLateToQueue reports whether a request will miss its soft deadline in any case and its class earns too little
// for a late answer to keep the request queued. Such a request would only fill the queue.
func (s *Scheduler) isTooLateToQueue(r *request) bool {
	class := &s.classes[r.class]
	return class.lateValueShare < minLateValueShare && s.now+class.minRunMS(r) > r.softDeadline
}

// valueDensity returns the value that a request can still earn per millisecond of its work. It is 0 for a request
// that can't end before its deadline or has had too many errors.
func (s *Scheduler) valueDensity(r *request) float64 {
	class := &s.classes[r.class]
	earliestEnd := s.now + class.minRunMS(r)
	switch {
	case earliestEnd > r.deadline-answerMarginMS || r.errorCount >= maxErroredAttempts:
		return 0
	case earliestEnd > r.softDeadline:
		return class.value * class.lateValueShare / r.workMS
	}
	return class.value / r.workMS
}
