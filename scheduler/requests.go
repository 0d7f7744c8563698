package scheduler

import (
	"iter"
	"math"
	"slices"
)

// mostAttempts is the room for attempts in one place of the slab.
const maxAttempts = 8

// attempt is one attempt at a request.
type attempt struct {
	executor   int // index into Scheduler.executors
	sentAt     float64
	progressAt float64 // clock of the last note, or of sending
	ranMS      float64 // running time so far, waiting left out
	doneShare  float64 // share done, as last noted
	grantMB    float64
	threads    int
	waiting    ProgressKind // 0: runs; else Waits
	inFlight   bool         // no outcome yet
	mayHaveRun bool         // out, or ended without proof that it never ran
}

// request is one place of the slab.
type request struct {
	id              string
	orderKey        string
	prior           PriorAttempt // what may have run under its mark
	class           int
	tableGroup      uint64
	memoryMB        float64
	estimateMS      float64 // work as estimated by the client, ms
	workMS          float64 // the same, corrected: work of all threads
	sequence        uint64  // order of taking
	softDeadline    float64
	deadline        float64
	priority        float64 // the paper's priority
	startPriority   float64 // where it starts; 0: the top
	priorityCap     float64 // what it is held under; 0: nothing
	memoryShare     float64 // of the memory wanted; 0: all
	immediate       bool    // sent in this pass, or given back
	density         float64 // gain for its work, as of this pass
	quanta          int     // quanta of running time already counted
	level           int
	attempts        [maxAttempts]attempt
	attemptCount    int
	unsentCount     int     // of those fired, that never left for want of something on this side
	retryNotBefore  float64 // clock before which no other is sent, after one of them
	inFlight        int     // attempts without an outcome
	state           state
	errorCount      int // attempts that ended in an error
	inUse           bool
	responseStarted bool // a stream has begun: the client owns it
}

// slab keeps the requests in hand and reuses their places.
type requestTable struct {
	entries []request
	free    []int
	byID    map[string]int
}

func newRequestTable() requestTable { return requestTable{byID: make(map[string]int)} }

// take gives a cleared place for id.
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

// remove frees the place at i.
func (t *requestTable) remove(slot int) {
	delete(t.byID, t.entries[slot].id)
	t.entries[slot] = request{}
	t.free = append(t.free, slot)
}

// addRequest takes a request of the offering at k in hand.
func (s *Scheduler) addRequest(ev *Event, k int) *request {
	r := &s.requests.entries[s.requests.insert(ev.Request)]
	s.lastSequence++
	r.sequence, r.class, r.tableGroup, r.deadline = s.lastSequence, k, ev.TableGroup, ev.Deadline
	if s.classes[k].inOrder {
		r.orderKey = ev.OrderKey
	}
	r.memoryMB, r.estimateMS, r.workMS, r.prior = ev.MemoryMB, ev.WorkMS, ev.WorkMS, ev.Prior
	r.startPriority, r.memoryShare, r.immediate = ev.PriorityCap, ev.MemoryShare, ev.Immediate
	if !r.immediate { // else it counts once it is sent
		s.arrivals.add(s.now, 1)
	}
	return r
}

// find returns the place of id.
func (t *requestTable) find(id string) (int, bool) {
	slot, ok := t.byID[id]
	return slot, ok
}

// releaseIfSettled frees a request that is over once all its attempts have their outcome.
func (s *Scheduler) releaseIfSettled(slot int) {
	if r := &s.requests.entries[slot]; r.inUse && r.state == requestDone && r.inFlight == 0 {
		s.requests.remove(slot)
		s.dispatchNeeded = true
	}
}

// findAttempt gives the place of a request and the attempt of it that an event speaks of, or nil if that is not out.
func (s *Scheduler) findAttempt(ev *Event) (int, *attempt) {
	slot, ok := s.requests.find(ev.Request)
	if !ok || ev.Attempt < 0 || ev.Attempt >= s.requests.entries[slot].attemptCount || !s.requests.entries[slot].attempts[ev.Attempt].inFlight {
		return slot, nil
	}
	return slot, &s.requests.entries[slot].attempts[ev.Attempt]
}

// priorAttempts gives what may have run of a request: another one of its mark, then its own attempts.
func (s *Scheduler) priorAttempts(r *request) iter.Seq[PriorAttempt] {
	return func(yield func(PriorAttempt) bool) {
		if r.prior.At != 0 && !yield(r.prior) || s.classes[r.class].effect == Idempotent {
			return
		}
		for k := range r.attemptCount {
			if a := &r.attempts[k]; a.mayHaveRun {
				e := &s.executors[a.executor]
				if !yield(PriorAttempt{a.sentAt, e.zone, e.cell}) {
					return
				}
			}
		}
	}
}

// startedCount counts the attempts that left, or may have.
func (r *request) startedCount() int { return r.attemptCount - r.unsentCount }

// lastAttempt is the latest attempt.
func (r *request) lastAttempt() *attempt { return &r.attempts[r.attemptCount-1] }

// collectQueue starts a pass: it collects what waits and where loads hold their groups.
func (s *Scheduler) collectQueue() {
	s.dispatchNeeded, s.dispatchedAt, s.saturated = false, s.now, false
	s.queue = s.queue[:0]
	s.reportedHolders = slices.DeleteFunc(s.reportedHolders, func(holder groupHolder) bool { return holder.until <= s.now })
	s.groupHolders = append(s.groupHolders[:0], s.reportedHolders...)
	for slot := range s.requests.entries {
		if r := &s.requests.entries[slot]; r.inUse && r.state == requestQueued {
			s.queue, r.density = append(s.queue, slot), s.valueDensity(r)
		} else if r.inFlight > 0 && s.classes[r.class].holdsGroup {
			s.groupHolders = append(s.groupHolders, groupHolder{r.tableGroup, r.lastAttempt().executor, math.Inf(1)})
		}
	}
}

// mayHaveRun tells whether an attempt is out or ended without proof that it never ran.
func (r *request) mayHaveRun() bool {
	return r.prior.At != 0 || slices.ContainsFunc(r.attempts[:r.attemptCount], func(a attempt) bool { return a.mayHaveRun })
}
