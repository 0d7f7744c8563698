package ledger

import (
	"math"
	"slices"

	"liftshift/scheduler"
)

// trust is what is remembered of an executor.
type trust struct {
	id        uint32
	place     string
	cell      int64
	coldUntil float64 // log time
	aside     bool
	strikes   int
	drain     uint64 // version of the list that told of a drain, 0: none
	upSince   float64
	told      float64
	drained   bool // told in this life
}

// list takes over where executors stand, and drains.
func (l *Ledger) list(ev *Event) {
	seen := map[uint32]bool{}
	for _, e := range ev.Endpoints {
		t := l.trusts[e.Executor]
		if e.Availability == scheduler.Removed {
			l.gone(e.Executor)
			continue
		}
		if t == nil {
			t = &trust{id: e.Executor}
			l.trusts[e.Executor] = t
		}
		seen[e.Executor] = true
		leaving := e.Availability == scheduler.Draining
		// A list of the start that is older than a drain on record does not end that drain.
		older := ev.Restored && t.drain > 0 && (ev.ListVersion == 0 || ev.ListVersion < t.drain) && e.StartedAt <= t.upSince
		drain := t.drain
		if leaving {
			drain = max(1, ev.ListVersion)
		} else if !older {
			drain = 0
		}
		changed := drain != t.drain || t.place != e.Zone || t.cell != e.Cell || t.upSince != e.StartedAt
		t.place, t.cell, t.upSince, t.drain = e.Zone, e.Cell, e.StartedAt, drain
		if t.drained = leaving; changed {
			l.keepTrust(t)
		}
	}
	if ev.Complete {
		for _, id := range l.trustIDs() {
			if !seen[id] {
				l.gone(id)
			}
		}
	}
	if ev.Restored && ev.Complete && !l.recalled {
		l.recalled = true
		l.recallTrusts()
	}
}

func (l *Ledger) gone(id uint32) {
	if t := l.trusts[id]; t != nil {
		delete(l.trusts, id)
		l.do(Effect{Kind: Delete, Key: t.key()})
	}
}

func (l *Ledger) trustIDs() []uint32 {
	ids := make([]uint32, 0, len(l.trusts))
	for id := range l.trusts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// believe puts on record what the module holds of executors, where that changed.
func (l *Ledger) believe(beliefs []scheduler.ExecutorView) {
	for _, b := range beliefs {
		t := l.trusts[b.Executor]
		if t == nil {
			continue
		}
		cold := 0.0
		if b.WarmingUp {
			cold = b.WarmupUntil + l.offset
		}
		if t.aside != b.Ejected || b.Ejected && t.strikes != b.Ejections || math.Abs(t.coldUntil-cold) > coldStepMS ||
			(t.aside || cold > 0 || t.drain > 0) && l.now > t.told+trustAgain*trustMS {
			t.aside, t.strikes, t.coldUntil = b.Ejected, b.Ejections, cold
			l.keepTrust(t)
		}
	}
}

// recallTrusts tells the module what it held of executors: those that were aside stay so until they have answered
// probes, cold ones stay cold, and drains that the list of the start did not know hold.
func (l *Ledger) recallTrusts() {
	ev := scheduler.Event{Kind: scheduler.StateRestored}
	for _, id := range l.trustIDs() {
		t := l.trusts[id]
		if t.aside || t.coldUntil > l.now || t.drain > 0 {
			ev.ExecutorStates = append(ev.ExecutorStates, scheduler.ExecutorState{Executor: id, WarmupUntil: t.coldUntil - l.offset, Ejected: t.aside,
				Ejections: t.strikes, Draining: t.drain > 0 && !t.drained})
		}
	}
	l.do(Effect{Kind: RestoreState, SchedulerEvent: ev})
}

func (l *Ledger) readTrust(r fields) {
	t := &trust{id: uint32(r.num(fieldExecutor)), place: r.text(fieldPlace), cell: int64(r.num(fieldCell)),
		coldUntil: r.num(fieldCold), aside: r.num(fieldAside) != 0, strikes: int(r.num(fieldStrikes)),
		drain: uint64(r.num(fieldDrain)), upSince: r.num(fieldUpSince), told: r.num(fieldAt)}
	l.trusts[t.id] = t
}
