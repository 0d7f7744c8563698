package scheduler

import "math"

const (
	seenMS    = 2000 // ms that a load met once is taken to go on: a part of what loads take
	badPlan   = 4.0  // times the expected running time at which a plan counts as bad; more tells no pace
	badPlanMS = 400  // ms that an attempt runs before its plan is judged
)

// fire sends the attempt placed, at the top level.
func (g *Scheduler) fire(i int) {
	s, e := &g.slab.places[i], &g.executors[g.target]
	o, by := &g.offerings[s.offering], min(g.latest(s), g.openUntil(e))
	s.p, s.quanta, s.level = pTop, 0, topLevel
	if s.start > 0 && !o.holds { // past its budget while others wait: the paper's static p0 (3.2)
		s.p, s.level = min(s.start, pTop), levelOf(min(s.start, pTop))
	}
	g.lend(s, g.target, g.grant(s, e))
	e.owed, e.owedAt = g.owed(e)+s.work, g.now
	e.seen, e.seenMemory = e.seen+float64(o.threads), e.seenMemory+g.grant(s, e)
	if g.now < e.coldUntil {
		e.coldSent.add(g.now, o.usual)
	}
	if o.holds {
		g.held = append(g.held, holding{s.group, g.target, math.Inf(1)})
	}
	g.terms(s)
	g.do(Action{Kind: Send, Request: s.id, Executor: e.id, LatestStart: by})
}

func (g *Scheduler) callOff(i int) {
	s := &g.slab.places[i]
	for k := range s.fired {
		if s.attempts[k].out && g.settings.MayCancel {
			g.do(Action{Kind: Cancel, Request: s.id, Attempt: k})
		}
	}
	g.release(i)
}

func (g *Scheduler) note(i int, h *attempt, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	e.heard, e.missed, h.noted, e.tookAt = g.now, false, g.now, max(e.tookAt, h.sent)
	switch ev.Progress {
	case Waiting:
		g.line(h, true)
		g.dirty = true
		// A reader that stands behind a load goes elsewhere at once: all it loses is the attempt that it uses up.
		if ev.Value == 2 {
			g.seen = append(g.seen, holding{s.group, h.executor, g.now + seenMS})
			if s.state == running && o.effect == Idempotent && h.share == 0 && g.mayFollow(s) {
				g.request(i, doomed)
			}
		}
	case Spilling:
		if s.need > 0 {
			o.memory = max(o.memory, o.memory+fade*((h.grant+ev.Value)/s.need*memorySpare-o.memory))
		}
	case Progress:
		if ev.Value > h.share { // an attempt that stands still goes on telling the share that it has
			h.share = ev.Value
			g.line(h, false)
		}
		e.proven = e.proven || ev.Value > 0
		least := s.work / float64(o.threads)
		expected := least * max(1, o.slow) * max(1, e.pace)
		projected := h.ran / max(h.share, 0.01)
		// A bad plan, told by a pace far under that of offering and executor, or an attempt that was forgotten
		// there. It harms when an estimate is far too low, hence the limit on what is left.
		if s.state == running && h.ran > badPlanMS && projected > badPlan*expected &&
			projected-h.ran > 2*expected && o.effect == Idempotent && g.mayFollow(s) {
			g.request(i, doomed)
		}
	}
}

func (g *Scheduler) ended(i int, h *attempt, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	g.settle(s, h, !ev.Outcome.NeverRan())
	g.dirty = true
	switch ev.Outcome {
	case Succeeded:
		e.heard, e.missed, e.proven, e.bad, e.tookAt = g.now, false, true, 0, max(e.tookAt, h.sent)
		g.learn(s, o, e, h, ev)
	case Overloaded:
		e.restUntil = g.now + restMS
	case LocalFailure:
		e.restUntil = g.now + restMS // others may have a connection already
		g.neverLeft(s, h)
	case Errored, ConnectFailed, ConnectionLost:
		s.erred += count(ev.Outcome == Errored)
		if e.bad++; e.bad > 1 || ev.Outcome == ConnectFailed {
			e.restUntil = g.now + restMS
		}
		if e.bad >= badInARow || !e.proven || ev.Outcome == ConnectFailed && g.blind(e) {
			g.suspect(h.executor)
		}
	}
	if rest := g.settings.OrderKeyRestMS; s.key != "" && rest > 0 &&
		(ev.Outcome == TimedOut || ev.Outcome == ConnectionLost || ev.Outcome == Cancelled) {
		g.rests[s.key] = g.now + rest
	}
	if ev.Final {
		g.request(i, finished)
	} else if ev.Blocked {
		g.request(i, hopeless)
	} else if s.state != over && s.out == 0 {
		g.request(i, missed)
	}
	g.release(i)
}
