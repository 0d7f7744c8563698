package scheduler

import (
	"cmp"
	"math"
)

const (
	noteLate   = 1.5 // note intervals until a running attempt must have been told of: one, and its phase
	noteMany   = 3.0 // note intervals without any sign though probes are answered
	slackMS    = 100 // ms on top of both, for notes on their way
	probeMS    = 500 // ms between probes of an executor under suspicion: two probe time-outs
	probesBack = 2   // probes in a row that bring an executor back: one may be luck
	badInARow  = 5   // failures in a row that set aside, as breaks hit good ones too; one, after a return
	restMS     = 300 // ms that an executor is left alone after it refused
)

// evict calls off the attempts at an executor set aside, but irreversible ones: it may only be cut off.
func (g *Scheduler) evict(x int) {
	e := &g.executors[x]
	e.asideAt, e.answers, e.strikes = g.now, 0, e.strikes+1
	g.lost(x, g.now, false)
}

// lost calls off the attempts at x that went out before; unless surely gone, only those another may follow.
func (g *Scheduler) lost(x int, before float64, surely bool) {
	for i := range g.slab.places {
		s := &g.slab.places[i]
		if s.used && s.state == running && s.last().executor == x && s.last().sent < before &&
			(surely || g.offerings[s.offering].effect != NonIdempotent && g.mayFollow(s)) {
			g.request(i, doomed)
		}
	}
}

// suspect sets an executor aside, unless half of all look bad: then it is something they share.
func (g *Scheduler) suspect(x int) {
	bad, all := 1, 0
	for y := range g.executors {
		if e := &g.executors[y]; e.standing == Active {
			all++
			bad += count(y != x && (e.state == aside || g.quiet(e) > g.notesMS()))
		}
	}
	if 2*bad <= all {
		g.judge(x, silent)
	}
}

func (g *Scheduler) notesMS() float64 { return cmp.Or(g.settings.ProgressEveryMS, blindMS) }

func (g *Scheduler) probed(ev *Event) {
	x := g.at(ev.Executor)
	if x < 0 {
		return
	}
	e := &g.executors[x]
	if ev.Outcome == LocalFailure {
		e.probeOut = false
		return
	}
	e.probeOut, e.missed = false, ev.Outcome != Succeeded
	if g.dirty = true; len(ev.LoadReport) > 0 {
		e.seenAt, g.reportedAt = g.now, g.now
		e.seenMemory = g.reported(ev, ReportMemoryShare) * e.ram
		e.seen = g.reported(ev, ReportInFlight) + g.reported(ev, ReportDiskShare)*busyThreads*e.cores
		if g.reported(ev, ReportQueued) > 0.5 { // what comes now stands in line
			e.seen += shortPerCore * e.cores
		}
	}
	if e.answers++; e.missed {
		e.answers, e.restUntil = 0, g.now+restMS
	} else if e.state == aside && e.answers >= probesBack*e.strikes {
		g.judge(x, answered)
	}
}

// forgotten tells whether an attempt has missed a note while its executor goes on working: lost replies, cut
// streams, dropped attempts. It harms where notes alone are lost; one in line for memory sends none.
func (g *Scheduler) forgotten(s *request, h *attempt) bool {
	every := g.settings.ProgressEveryMS
	e := &g.executors[h.executor]
	return every > 0 && g.now-h.noted > noteLate*every+slackMS && h.waits == 0 && e.heard > h.noted &&
		e.state != aside && g.offerings[s.offering].effect != NonIdempotent && g.mayFollow(s)
}

// watch probes an executor that is aside or shows no sign of work, and sets it aside when that goes on.
func (g *Scheduler) watch(x int) {
	e := &g.executors[x]
	if e.state == chilled && g.now >= e.coldUntil {
		e.strikes = 0
		g.judge(x, warmed)
	}
	if e.standing != Active {
		return
	}
	quiet, every := g.quiet(e), g.notesMS()
	look := e.state == aside || quiet > min(every, probeMS)
	if look && !g.settings.MayHealthCheck {
		if e.state == aside && g.now > e.asideAt+every*float64(e.strikes) {
			g.judge(x, answered)
		}
	} else if look && !e.probeOut && g.now >= e.probed+probeMS/math.Sqrt(g.share()) {
		e.probeOut, e.probed = true, g.now
		g.do(Action{Kind: HealthCheck, Executor: e.id})
	}
	// An attempt in line for memory sends no notes: where all of ours are, silence needs a missed probe too.
	slack := noteMany
	if e.missed && e.lined < e.out {
		slack = noteLate
	}
	if e.state != aside && quiet > slack*every+slackMS && (e.missed || e.lined < e.out) {
		g.suspect(x)
	}
}
