package scheduler

import (
	"iter"
	"math"
	"slices"
)

// mostAttempts is the room for attempts in one place of the slab.
const mostAttempts = 8

// attempt is one attempt at a request.
type attempt struct {
	executor int // index into Scheduler.executors
	sent     float64
	noted    float64 // clock of the last note, or of sending
	ran      float64 // running time so far, waiting left out
	share    float64 // share done, as last noted
	grant    float64
	threads  int
	waits    ProgressKind // 0: runs; else Waits
	out      bool         // no outcome yet
	doubt    bool         // out, or ended without proof that it never ran
}

// request is one place of the slab.
type request struct {
	id       string
	key      string
	prior    PriorAttempt // what may have run under its mark
	offering int
	group    uint64
	need     float64
	estimate float64 // work as estimated by the client, ms
	work     float64 // the same, corrected: work of all threads
	seq      uint64  // order of taking
	due      float64
	until    float64
	p        float64 // the paper's priority
	start    float64 // where it starts; 0: the top
	under    float64 // what it is held under; 0: nothing
	part     float64 // of the memory wanted; 0: all
	now      bool    // sent in this pass, or given back
	earns    float64 // gain for its work, as of this pass
	quanta   int     // quanta of running time already counted
	level    int
	attempts [mostAttempts]attempt
	fired    int
	unsent   int     // of those fired, that never left for want of something on this side
	again    float64 // clock before which no other is sent, after one of them
	out      int     // attempts without an outcome
	state    state
	erred    int // attempts that ended in an error
	used     bool
	bound    bool // a stream has begun: the client owns it
}

// slab keeps the requests in hand and reuses their places.
type slab struct {
	places []request
	free   []int
	byID   map[string]int
}

func newSlab() slab { return slab{byID: make(map[string]int)} }

// take gives a cleared place for id.
func (s *slab) take(id string) int {
	var i int
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = len(s.places)
		s.places = append(s.places, request{})
	}
	s.places[i] = request{id: id, used: true}
	s.byID[id] = i
	return i
}

// drop frees the place at i.
func (s *slab) drop(i int) {
	delete(s.byID, s.places[i].id)
	s.places[i] = request{}
	s.free = append(s.free, i)
}

// hold takes a request of the offering at k in hand.
func (g *Scheduler) hold(ev *Event, k int) *request {
	s := &g.slab.places[g.slab.take(ev.Request)]
	g.seq++
	s.seq, s.offering, s.group, s.until = g.seq, k, ev.TableGroup, ev.Deadline
	if g.offerings[k].inOrder {
		s.key = ev.OrderKey
	}
	s.need, s.estimate, s.work, s.prior = ev.MemoryMB, ev.WorkMS, ev.WorkMS, ev.Prior
	s.start, s.part, s.now = ev.PriorityCap, ev.MemoryShare, ev.Immediate
	if !s.now { // else it counts once it is sent
		g.takes.add(g.now, 1)
	}
	return s
}

// find returns the place of id.
func (s *slab) find(id string) (int, bool) {
	i, ok := s.byID[id]
	return i, ok
}

// release frees a request that is over once all its attempts have their outcome.
func (g *Scheduler) release(i int) {
	if s := &g.slab.places[i]; s.used && s.state == over && s.out == 0 {
		g.slab.drop(i)
		g.dirty = true
	}
}

// attemptOf gives the place of a request and the attempt of it that an event speaks of, or nil if that is not out.
func (g *Scheduler) attemptOf(ev *Event) (int, *attempt) {
	i, ok := g.slab.find(ev.Request)
	if !ok || ev.Attempt < 0 || ev.Attempt >= g.slab.places[i].fired || !g.slab.places[i].attempts[ev.Attempt].out {
		return i, nil
	}
	return i, &g.slab.places[i].attempts[ev.Attempt]
}

// doubts gives what may have run of a request: another one of its mark, then its own attempts.
func (g *Scheduler) doubts(s *request) iter.Seq[PriorAttempt] {
	return func(yield func(PriorAttempt) bool) {
		if s.prior.At != 0 && !yield(s.prior) || g.offerings[s.offering].effect == Idempotent {
			return
		}
		for k := range s.fired {
			if h := &s.attempts[k]; h.doubt {
				e := &g.executors[h.executor]
				if !yield(PriorAttempt{h.sent, e.place, e.cell}) {
					return
				}
			}
		}
	}
}

// begun counts the attempts that left, or may have.
func (s *request) begun() int { return s.fired - s.unsent }

// last is the latest attempt.
func (s *request) last() *attempt { return &s.attempts[s.fired-1] }

// gather starts a pass: it collects what waits and where loads hold their groups.
func (g *Scheduler) gather() {
	g.dirty, g.placedAt, g.full = false, g.now, false
	g.waiting = g.waiting[:0]
	g.seen = slices.DeleteFunc(g.seen, func(h holding) bool { return h.until <= g.now })
	g.held = append(g.held[:0], g.seen...)
	for i := range g.slab.places {
		if s := &g.slab.places[i]; s.used && s.state == waiting {
			g.waiting, s.earns = append(g.waiting, i), g.density(s)
		} else if s.out > 0 && g.offerings[s.offering].holds {
			g.held = append(g.held, holding{s.group, s.last().executor, math.Inf(1)})
		}
	}
}

// mayHaveRun tells whether an attempt is out or ended without proof that it never ran.
func (s *request) mayHaveRun() bool {
	return s.prior.At != 0 || slices.ContainsFunc(s.attempts[:s.fired], func(h attempt) bool { return h.doubt })
}
