package ledger

import (
	"math"

	"liftshift/scheduler"
)

// slot is a part of the ration's span: searches taken and further shots sent in it.
type slot struct {
	n             int64 // of the slot, by log time
	takes, extras int
}

// ration counts what the ration of further shots is reckoned from, in slots: its size does not grow with the traffic.
type ration struct {
	span  float64
	slots []slot
	dirty bool
}

func (r *ration) slot(now float64) *slot {
	n := int64(now) / rationMS
	if k := len(r.slots) - 1; k >= 0 && r.slots[k].n >= n {
		return &r.slots[k]
	}
	r.forget(now)
	r.slots = append(r.slots, slot{n: n})
	return &r.slots[len(r.slots)-1]
}

func (r *ration) forget(now float64) {
	k := 0
	for k < len(r.slots) && float64(r.slots[k].n+1)*rationMS < now-r.span {
		k++
	}
	r.slots = r.slots[:copy(r.slots, r.slots[k:])]
}

func (r *ration) take(now float64) {
	if r.span > 0 {
		r.slot(now).takes++
		r.dirty = true
	}
}

func (r *ration) extra(now float64) {
	if r.span > 0 {
		r.slot(now).extras++
		r.dirty = true
	}
}

// recall tells the module what is used up of the ration. Further shots are dated as late as they can have been, searches
// as early. After a crash, all counts as used that the ration on record had left for the time since: what was sent last may
// not have reached the disk. Searches taken in that time, also lost, earned a share at most of what is counted here.
func (r *ration) recall(l *Ledger, ev *scheduler.Event, gone Interval, crashed bool) {
	if r.span <= 0 {
		return
	}
	earned, used := l.settings.RetryBudget.Floor, 0
	for _, s := range r.slots {
		earned += l.settings.RetryBudget.Share * float64(s.takes)
		if float64(s.n)*rationMS >= l.now-r.span {
			used += s.extras
		}
	}
	r.forget(l.now)
	for _, s := range r.slots {
		early, late := float64(s.n)*rationMS-l.offset, min(float64(s.n+1)*rationMS-l.offset, l.desk)
		for range s.extras {
			ev.Retries = append(ev.Retries, late)
		}
		for range s.takes {
			if gone.Max == gone.Min {
				ev.Arrivals = append(ev.Arrivals, early)
			}
		}
	}
	if crashed && l.life.at != 0 {
		for range int(max(0, math.Ceil(earned-float64(used)))) {
			ev.Retries = append(ev.Retries, l.desk)
			r.extra(l.now)
		}
	}
}
