package scheduler

import (
	"cmp"
	"slices"
)

const (
	lateLeast  = 0.25 // share of the gain that a late answer must earn for a request to wait for it
	crowd      = 50   // requests waiting that are a crowd: to go through them at each event costs too much
	closingMS  = 25   // ms before the client gives up at which it gets its answer: one beat and a tick
	errorsMost = 2    // errors after which a request itself is at fault: a third executor would say the same
)

func (g *Scheduler) take(ev *Event) {
	if _, ok := g.slab.find(ev.Request); ok {
		return
	}
	k := slices.IndexFunc(g.offerings, func(o offering) bool { return o.name == ev.Class })
	if k < 0 { // an offering that the settings don't name: nothing is known that would let it run
		g.do(Action{Kind: Reject, Request: ev.Request})
		return
	}
	o, s := &g.offerings[k], g.hold(ev, k)
	if o.estimated > 0 {
		s.work *= o.worked / o.estimated
	}
	s.work, s.until = cmp.Or(max(0, s.work), o.usual, 1), min(s.until, g.closing)
	o.taken++
	o.usual += max(learnt, 1/o.taken) * (s.work - o.usual)
	s.due = g.now + o.due + o.stretch*s.work/float64(o.threads)
	g.asks = min(asksSaved, g.asks+asksPerTake)
	if g.dirty = true; ev.Blocked { // a repeat of it could not be told after a crash
		i, _ := g.slab.find(ev.Request)
		g.request(i, hopeless)
	}
}

// stop makes a planned end the hard limit of all in hand and to come: the rest is denied, or failed.
func (g *Scheduler) stop(by float64) {
	g.closing, g.dirty = by, true
	for i := range g.slab.places {
		g.slab.places[i].until = min(g.slab.places[i].until, by)
	}
}

// maySend is the one place that decides whether an attempt at s may go to executor x. notHere: this one
// won't do; notNow: none will at this moment; never: none will any more.
func (g *Scheduler) maySend(s *request, x int) verdict {
	o, e := &g.offerings[s.offering], &g.executors[x]
	if s.state != waiting || s.out > 0 || g.now >= s.until-closingMS || g.now < s.again {
		return notNow // a second attempt beside the first is never sent
	}
	if !g.attemptsLeft(s) {
		return never
	}
	for first := range g.doubts(s) { // what may have run, under this mark
		if o.effect != Keyed || g.now > g.latest(s) {
			return never
		}
		if o.scope == DedupZone && first.Zone != e.place || o.scope == DedupCell && first.Cell != e.cell {
			return notHere
		}
	}
	if s.begun() > 0 && !g.rationLeft(0) || s.key != "" && (g.now < g.rests[s.key] || g.earlier(s)) {
		return notNow
	}
	if !among(o.kinds, e.kind) || !among(o.places, e.place) || e.standing != Active || e.state == aside ||
		g.now < e.coldUntil && !g.warmEnough(o, e) || g.beyond(s, o, e.place) || g.now > g.openUntil(e) {
		return notHere
	}
	return yes
}

// latest is the clock by which an attempt of s must have begun, wherever it waits before: later its client
// has its answer, or what drops its repeats may have forgotten it.
func (g *Scheduler) latest(s *request) float64 {
	by := s.until - closingMS
	for first := range g.doubts(s) {
		by = min(by, first.At+g.offerings[s.offering].window-closingMS)
	}
	return by
}

// beyond tells whether a place is too far for a request: no room left there, too little gain, too long a
// way.
func (g *Scheduler) beyond(s *request, o *offering, place string) bool {
	r := g.far(o, place)
	return r != nil && (float64(r.out+o.threads) > r.Capacity || s.earns < r.MinDensity ||
		g.now+r.LatencyMS+s.work/float64(o.threads) > s.until-closingMS)
}

// mayDeny is the one place that decides whether a request may be denied: a new try must do no harm.
func (g *Scheduler) mayDeny(s *request) bool {
	o := &g.offerings[s.offering]
	return o.effect == Idempotent || o.effect == Keyed && o.scope == DedupAll || !s.mayHaveRun()
}

// placeNow tells whether to go through what waits: a crowd once a tick, not at each event.
func (g *Scheduler) placeNow() bool { return g.now > g.placedAt || len(g.waiting) < crowd }

// place sends what waits, the most gain for its work first, and gives up what can't earn any more.
func (g *Scheduler) place() {
	g.gather()
	slices.SortFunc(g.waiting, func(a, b int) int {
		s, t := &g.slab.places[a], &g.slab.places[b]
		return cmp.Or(cmp.Compare(t.earns, s.earns), cmp.Compare(s.seq, t.seq))
	})
	for _, i := range g.waiting {
		s := &g.slab.places[i]
		again := s.fired > 0 || s.prior.At != 0 && len(g.executors) > 0
		if s.earns == 0 || again && g.maySend(s, 0) == never ||
			s.begun() > 0 && g.mayDeny(s) && !g.rationLeft(0) {
			g.request(i, hopeless)
		} else if g.full && !s.now {
			continue // no executor has room for a single thread, so nobody need ask again in this pass
		} else if x := g.choose(s); x >= 0 {
			g.target = x
			g.request(i, placed)
		} else if s.now {
			g.do(Action{Kind: ReturnRequest, Request: s.id})
			g.slab.drop(i)
		} else if o := &g.offerings[s.offering]; o.late < lateLeast && g.now+s.work/float64(o.threads) > s.due {
			g.request(i, hopeless) // sure to be late, and then worth little: it would only fill the line
		}
	}
	g.dirty = false
}

// density is the gain that a request can still earn, for its work.
func (g *Scheduler) density(s *request) float64 {
	o := &g.offerings[s.offering]
	least := s.work / float64(o.threads)
	switch {
	case g.now+least > s.until-closingMS || s.erred >= errorsMost:
		return 0
	case g.now+least > s.due:
		return o.gain * o.late / s.work
	}
	return o.gain / s.work
}

func (g *Scheduler) answer(i int) {
	s := &g.slab.places[i]
	if g.mayDeny(s) {
		a := Action{Kind: Reject, Request: s.id}
		if g.settings.NamesRetryAfter {
			a.AfterMS = g.settings.MaxRetryAfterMS * (0.5 + 0.5*g.chance())
		}
		g.do(a)
	} else {
		g.do(Action{Kind: Fail, Request: s.id})
	}
	g.callOff(i)
}
