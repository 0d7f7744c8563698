package scheduler

import (
	"iter"
	"math"
	"slices"
)

// attemptCapacity is the largest number of attempts at a request, including those that were never sent, but not those
// that were not recorded in time.
const attemptCapacity = 8

// attempt is one attempt at running a request on an executor.
type attempt struct {
	executor       int    // index of its executor
	zone           string // of its executor when it was sent, as is the cell
	cell           int64
	sentAt         float64
	progressAt     float64 // time of the last progress report, or of sending
	runningMS      float64 // running time so far, without the time in the executor's own queue
	completedShare float64 // share of the work that the last progress report named as done
	grantMB        float64
	doubtSince     float64 // loss of a connection since which another process might have got it; 0: there was none
	threads        int
	queued         bool // it waits in its executor's own queue
	inFlight       bool // it has no outcome yet
	mayHaveRun     bool // it is in flight, or ended without proof that it never ran
}

// request is an open request in a slot of the request table.
type request struct {
	inUse           bool // false: the slot is free
	id              string
	sequence        uint64 // order of arrival
	class           int    // index of its class
	state           requestState
	orderKey        string       // empty: none
	prior           PriorAttempt // at another request with the same idempotency key
	tableGroup      uint64
	memoryMB        float64 // the client's estimate
	estimateMS      float64 // the client's estimate of the work
	workMS          float64 // estimateMS corrected by what the class has learned
	softDeadline    float64
	deadline        float64
	density         float64 // value density as of the current dispatch pass
	immediate       bool    // it is sent in the current dispatch pass or returned to the caller
	responseStarted bool    // the client has part of the response, so it can't get another answer

	priority      float64
	startPriority float64 // 0: the top priority
	priorityCap   float64 // 0: none
	memoryShare   float64 // share of the wanted memory that it may be granted; 0: all
	elapsedQuanta int     // decay quanta of running time of the current attempt
	level         int     // priority level on the executor

	attempts       [attemptCapacity]attempt
	attemptCount   int
	unsentCount    int     // attempts that were never sent because of a local failure
	retryNotBefore float64 // end of the backoff after a local failure
	inFlight       int     // attempts without an outcome
	errorCount     int     // attempts that ended in an error

	unrecordedCount int // attempts that were withdrawn because they were not recorded in time
}

// requestTable holds the open requests in slots. The slots of removed requests are reused.
type requestTable struct {
	entries []request
	free    []int // free slots
	byID    map[string]int
}

func newRequestTable() requestTable { return requestTable{byID: make(map[string]int)} }

// at returns the request in a slot. The pointer is valid until the next insert.
func (t *requestTable) at(slot int) *request { return &t.entries[slot] }

// insert adds a request and returns its slot.
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

// remove deletes the request in a slot and frees the slot.
func (t *requestTable) remove(slot int) {
	delete(t.byID, t.entries[slot].id)
	t.entries[slot] = request{}
	t.free = append(t.free, slot)
}

// find returns the slot of the request with an id, and whether there is one.
func (t *requestTable) find(id string) (int, bool) {
	slot, ok := t.byID[id]
	return slot, ok
}

// addRequest inserts the request of a RequestArrived event and returns its slot.
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
	if !r.immediate { // an immediate request counts as an arrival only once it is sent
		s.arrivals.add(s.now, 1)
	}
	return slot
}

// releaseIfSettled removes a request that has its final answer once all its attempts have an outcome.
func (s *Scheduler) releaseIfSettled(slot int) {
	r := s.requests.at(slot)
	if r.inUse && r.state == requestDone && r.inFlight == 0 {
		s.requests.remove(slot)
		s.dispatchNeeded = true
	}
}

// findAttempt returns the attempt that an event names and the slot of its request. The attempt is nil if it isn't in
// flight.
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

// priorAttempts yields the attempts that may have run and that a repeat must be dropped for: first the attempt at
// another request with the same idempotency key, then the request's own attempts. The own attempts of an idempotent
// request are left out, because repeating them is harmless.
func (s *Scheduler) priorAttempts(r *request) iter.Seq[PriorAttempt] {
	return func(yield func(PriorAttempt) bool) {
		if r.prior.At != 0 && !yield(r.prior) || s.classes[r.class].idempotency == Idempotent {
			return
		}
		for i := range r.attemptCount {
			a := &r.attempts[i]
			if !a.mayHaveRun {
				continue
			}
			if !yield(PriorAttempt{At: a.sentAt, Zone: a.zone, Cell: a.cell}) {
				return
			}
		}
	}
}

// ranInDoubt reports whether an attempt may have run at another process than that of its executor, so that no executor is
// known to drop its repeat.
func (s *Scheduler) ranInDoubt(r *request) bool {
	return slices.ContainsFunc(r.attempts[:r.attemptCount], func(a attempt) bool {
		return a.mayHaveRun && s.inDoubt(&a)
	})
}

// startedCount returns the number of attempts that were sent, or may have been.
func (r *request) startedCount() int { return r.attemptCount - r.unsentCount }

// lastAttempt returns the latest attempt. The request must have one.
func (r *request) lastAttempt() *attempt { return &r.attempts[r.attemptCount-1] }

// mayHaveRun reports whether an attempt at a request, or its prior attempt, may have run.
func (r *request) mayHaveRun() bool {
	ran := func(a attempt) bool { return a.mayHaveRun }
	return r.prior.At != 0 || slices.ContainsFunc(r.attempts[:r.attemptCount], ran)
}

// mayHaveRunBefore reports whether an attempt at a request that has ended, or its prior attempt, may have run.
func (r *request) mayHaveRunBefore() bool {
	ran := func(a attempt) bool { return a.mayHaveRun && !a.inFlight }
	return r.prior.At != 0 || slices.ContainsFunc(r.attempts[:r.attemptCount], ran)
}

// collectQueue starts a dispatch pass: it collects the queued requests with their value densities, and the holders of
// table groups.
func (s *Scheduler) collectQueue() {
	s.dispatchNeeded = false
	s.dispatchedAt = s.now
	s.saturated = false
	s.queue = s.queue[:0]
	isExpired := func(holder groupHolder) bool { return holder.until <= s.now }
	s.reportedHolders = slices.DeleteFunc(s.reportedHolders, isExpired)
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

// awaitingRetry returns the number of requests whose attempt has failed or was cancelled and that wait for another.
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
