package scheduler

import (
	"iter"
	"math"
	"slices"
)

// attemptCapacity is the most attempts that a request may have, those that never left among them.
const attemptCapacity = 8

// attempt is one attempt at a request.
type attempt struct {
	executor   int // index of its executor
	sentAt     float64
	progressAt float64 // of its last progress report, or of sending
	ranMS      float64 // running time so far, without waiting
	doneShare  float64 // as last reported
	grantMB    float64
	threads    int
	queued     bool // it waits on its executor
	inFlight   bool // it has no outcome yet
	mayHaveRun bool // it is in flight, or ended without proof that it never ran
}

// request is a request in hand, in a slot of the request table.
type request struct {
	inUse           bool
	id              string
	sequence        uint64 // order of arrival
	class           int    // index of its class
	state           requestState
	orderKey        string
	prior           PriorAttempt
	tableGroup      uint64
	memoryMB        float64 // as the client estimated it
	estimateMS      float64 // work, as the client estimated it
	workMS          float64 // the same, corrected
	softDeadline    float64
	deadline        float64
	density         float64 // value that it can still earn for its work, as of this pass
	immediate       bool    // sent in this pass, or given back
	responseStarted bool    // its client has part of the answer, so it gets no other

	priority      float64
	startPriority float64 // 0: the top
	priorityCap   float64 // 0: none
	memoryShare   float64 // of the memory wanted; 0: all
	quanta        int     // of running time that have been counted for its decay
	level         int

	attempts       [attemptCapacity]attempt
	attemptCount   int
	unsentCount    int     // attempts that never left because of a failure on this side
	retryNotBefore float64 // after such a failure
	inFlight       int     // attempts without an outcome
	errorCount     int     // attempts that ended in an error
}

// requestTable keeps the requests in hand, and uses their slots again.
type requestTable struct {
	entries []request
	free    []int
	byID    map[string]int
}

func newRequestTable() requestTable { return requestTable{byID: make(map[string]int)} }

// at returns the request in a slot.
func (t *requestTable) at(slot int) *request { return &t.entries[slot] }

// insert gives a request an empty slot.
func (t *requestTable) insert(id string) int {
	var slot int
	if n := len(t.free); n > 0 {
		slot = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		slot = len(t.entries)
		t.entries = append(t.entries, request{})
	}
	t.entries[slot] = request{id: id, inUse: true}
	t.byID[id] = slot
	return slot
}

// remove frees a slot.
func (t *requestTable) remove(slot int) {
	delete(t.byID, t.entries[slot].id)
	t.entries[slot] = request{}
	t.free = append(t.free, slot)
}

// find returns the slot of a request.
func (t *requestTable) find(id string) (int, bool) {
	slot, ok := t.byID[id]
	return slot, ok
}

// addRequest takes a request of a class in hand and returns its slot.
func (s *Scheduler) addRequest(ev *Event, class int) int {
	slot := s.requests.insert(ev.Request)
	s.lastSequence++
	r := s.requests.at(slot)
	r.sequence = s.lastSequence
	r.class = class
	if s.classes[class].inOrder {
		r.orderKey = ev.OrderKey
	}
	r.prior = ev.Prior
	r.tableGroup = ev.TableGroup
	r.memoryMB = ev.MemoryMB
	r.estimateMS = ev.WorkMS
	r.deadline = ev.Deadline
	r.startPriority = ev.PriorityCap
	r.memoryShare = ev.MemoryShare
	r.immediate = ev.Immediate
	if !r.immediate { // an immediate one counts for the retry budget once it is sent
		s.arrivals.add(s.now, 1)
	}
	return slot
}

// releaseIfSettled frees the slot of a request that is done, once all its attempts have their outcome.
func (s *Scheduler) releaseIfSettled(slot int) {
	r := s.requests.at(slot)
	if r.inUse && r.state == requestDone && r.inFlight == 0 {
		s.requests.remove(slot)
		s.dispatchNeeded = true
	}
}

// findAttempt returns the attempt that an event is about, and the slot of its request; nil if it is not in flight.
func (s *Scheduler) findAttempt(ev *Event) (int, *attempt) {
	slot, ok := s.requests.find(ev.Request)
	if !ok {
		return slot, nil
	}
	r := s.requests.at(slot)
	if ev.Attempt < 0 || ev.Attempt >= r.attemptCount || !r.attempts[ev.Attempt].inFlight {
		return slot, nil
	}
	return slot, &r.attempts[ev.Attempt]
}

// priorAttempts yields what may have run of a request: an attempt of another request with the same idempotency key, then its own.
// The latter don't matter where a repeat is harmless.
func (s *Scheduler) priorAttempts(r *request) iter.Seq[PriorAttempt] {
	return func(yield func(PriorAttempt) bool) {
		if r.prior.At != 0 && !yield(r.prior) || s.classes[r.class].effect == Idempotent {
			return
		}
		for i := range r.attemptCount {
			a := &r.attempts[i]
			if !a.mayHaveRun {
				continue
			}
			e := &s.executors[a.executor]
			if !yield(PriorAttempt{At: a.sentAt, Zone: e.zone, Cell: e.cell}) {
				return
			}
		}
	}
}

// startedCount returns the number of attempts that left, or may have.
func (r *request) startedCount() int { return r.attemptCount - r.unsentCount }

// lastAttempt returns the latest attempt; there must be one.
func (r *request) lastAttempt() *attempt { return &r.attempts[r.attemptCount-1] }

// mayHaveRun reports whether anything of a request may have run.
func (r *request) mayHaveRun() bool {
	return r.prior.At != 0 || slices.ContainsFunc(r.attempts[:r.attemptCount], func(a attempt) bool { return a.mayHaveRun })
}

// collectQueue starts a pass: it collects the queued requests, and where table groups are held.
func (s *Scheduler) collectQueue() {
	s.dispatchNeeded = false
	s.dispatchedAt = s.now
	s.saturated = false
	s.queue = s.queue[:0]
	s.reportedHolders = slices.DeleteFunc(s.reportedHolders, func(holder groupHolder) bool { return holder.until <= s.now })
	s.groupHolders = append(s.groupHolders[:0], s.reportedHolders...)
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if r.inUse && r.state == requestQueued {
			s.queue = append(s.queue, slot)
			r.density = s.valueDensity(r)
		} else if r.inFlight > 0 && s.classes[r.class].holdsGroup {
			s.groupHolders = append(s.groupHolders, groupHolder{r.tableGroup, r.lastAttempt().executor, math.Inf(1)})
		}
	}
}

// awaitingRetry counts the requests whose attempt was lost or cancelled and that wait for the next one.
func (s *Scheduler) awaitingRetry() int {
	waiting := 0
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if r.inUse && r.startedCount() > 0 && (r.state == requestQueued || r.state == requestCancelling) {
			waiting++
		}
	}
	return waiting
}
