package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// mostTold is the size of the longest message to another controller.
const mostTold = 256

// pack appends to the mail what is out at an executor: 12 bits of its id, 6 of threads, 6 of memory as a
// share, rounded by chance so that sums are right.
func (g *Scheduler) pack(e *executor, threads int) {
	if threads > 0 && len(g.mail)+3 <= mostTold {
		share := math.Floor(64*e.memory/e.ram + g.chance())
		n := e.tag()<<12 | uint32(min(63, threads))<<6 | uint32(min(63, share))
		g.mail = append(g.mail, byte(n>>16), byte(n>>8), byte(n))
	}
}

// fitsTelling tells whether the level of each executor that is listed fits a message.
func (g *Scheduler) fitsTelling() bool {
	active := 0
	for x := range g.executors {
		active += count(g.executors[x].standing == Active)
	}
	return 2+(active+1)/2 <= mostTold
}

func (e *executor) tag() uint32 { return e.id * 0x9E3779B1 >> 20 }

// post sends the mail to the first n controllers and tells whether this is one of them.
func (g *Scheduler) post(n int) (here bool) {
	for p := range min(n, g.settings.Controllers) {
		if p == g.settings.Slot {
			here = true
			g.heard(p, g.mail)
		} else {
			g.do(Action{Kind: SendPeer, Peer: p, Payload: g.mail})
		}
	}
	return here
}

// addUp sums what the controllers told of each executor after since.
func (g *Scheduler) addUp(since float64) {
	for x := range g.executors {
		g.executors[x].sum, g.executors[x].sumMemory = 0, 0
	}
	for p := range g.told {
		for mail := g.told[p].mail; g.told[p].at > since && len(mail) >= 3; mail = mail[3:] {
			n := uint32(mail[0])<<16 | uint32(mail[1])<<8 | uint32(mail[2])
			for x := range g.executors {
				if e := &g.executors[x]; e.tag() == n>>12 {
					e.sum += float64(n >> 6 & 63)
					e.sumMemory += float64(n&63) / 64
				}
			}
		}
	}
}

// byID gives the active executors in the order of their ids, and a check on which they are.
func (g *Scheduler) byID() (ordered []int, check byte) {
	for x := range g.executors {
		if g.executors[x].standing == Active {
			ordered = append(ordered, x)
			check += byte(g.executors[x].tag())
		}
	}
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(g.executors[a].id, g.executors[b].id) })
	return ordered, check
}

// publish sends the level of each executor to all, in four bits.
func (g *Scheduler) publish() {
	ordered, check := g.byID()
	g.levels = append(g.levels[:0], 1, check)
	for k, x := range ordered {
		level := byte(min(15, g.executors[x].level))
		if k%2 == 0 {
			g.levels = append(g.levels, level)
		} else {
			g.levels[len(g.levels)-1] |= level << 4
		}
	}
	g.do(Action{Kind: SendPeer, Peer: -1, Payload: g.levels})
	g.heard(g.settings.Slot, g.levels)
}

// unpublish files a mail, or reads levels that are of the executors listed here and tells so.
func (g *Scheduler) unpublish(from int, data []byte) bool {
	ordered, check := g.byID()
	switch {
	case from >= 0 && from < g.settings.Controllers && len(data) > 0 && data[0] == 0:
		for from >= len(g.told) {
			g.told = append(g.told, telling{})
		}
		g.told[from].at, g.told[from].mail = g.now, append(g.told[from].mail[:0], data[1:]...)
	case len(data) == 2+(len(ordered)+1)/2 && data[0] == 1 && data[1] == check:
		for k, x := range ordered {
			g.executors[x].level = float64(data[2+k/2] >> (k % 2 * 4) & 15)
		}
		return true
	}
	return false
}
