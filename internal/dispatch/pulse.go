package dispatch

import (
	"math"
	"sync/atomic"
)

// caughtUpMS is for how long after a stand-still what is read may still have come during it.
const caughtUpMS = 50

// pulse tells where this process stood still: it was stopped, or had no processor, or did one thing for long. The desk's goroutine
// beats it at each turn, 20 ms apart at most by the module's own wakes; anybody may ask.
type pulse struct{ last, stoodFrom, stoodTill clockCell }

// clockCell is a clock that one goroutine writes and others read.
type clockCell struct{ bits atomic.Uint64 }

func (c *clockCell) set(at float64) { c.bits.Store(math.Float64bits(at)) }
func (c *clockCell) get() float64   { return math.Float64frombits(c.bits.Load()) }

// beat notes a turn.
func (p *pulse) beat(now float64) {
	if last := p.last.get(); last > 0 && now-last > stoodMS {
		p.stoodFrom.set(last)
		p.stoodTill.set(now)
	}
	p.last.set(now)
}

// arrival is the earliest clock at which what is read now may have come.
func (p *pulse) arrival(now float64) float64 {
	if last := p.last.get(); last > 0 && now-last > stoodMS {
		return last
	}
	if till := p.stoodTill.get(); now >= till && now-till < caughtUpMS {
		return p.stoodFrom.get()
	}
	return now
}
