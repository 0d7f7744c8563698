package quota

import (
	"fmt"
	"math"
)

// Counts are counters since the start of the tree, and what waits now.
type Counts struct {
	Offered, Aged, Capped, Uncapped, Overdue, Overflow, Unknown uint64
	Queued                                                      int
	LongestMS                                                   float64 // of all waits so far
}

// Counts returns the counters.
func (t *Tree) Counts() Counts {
	c := t.counts
	c.Queued = t.slab.queued
	return c
}

// TeamStatus is how one team stands.
type TeamStatus struct {
	Team                         Team
	Queued, InFlight             int
	Threads, FairShare, MemoryMB float64
	WorkMS                       float64 // done so far, ms of one thread
	Blocked                      string
	OldestMS, BoundMS            float64
	Borrows, Lends               float64 // threads
	Capped                       int
}

// Statuses returns how all teams stand, in their order.
func (t *Tree) Statuses() []TeamStatus {
	list := make([]TeamStatus, 0, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		n := &t.nodes[i]
		fair := t.fairThreads(n)
		status := TeamStatus{
			Team: n.team, Queued: n.queued, InFlight: n.inFlight, Threads: n.threads, FairShare: fair, MemoryMB: n.memoryMB, WorkMS: n.workMS,
			Blocked: n.blocked.String(), BoundMS: t.MaxWaitMS(), Borrows: max(0, n.threads-fair), Capped: n.capped,
		}
		if n.queued == 0 {
			status.Lends = max(0, fair-n.threads)
		}
		for _, queue := range n.queues {
			if queue.first != none {
				status.OldestMS = max(status.OldestMS, t.now-t.slab.at(queue.first).queuedAt)
			}
		}
		list = append(list, status)
	}
	return list
}

// MaxWaitMS returns the longest that a request which arrives now waits for its offer, as long as it may be offered at all and the
// executors do their work: past the age, a share of all work goes to the oldest.
func (t *Tree) MaxWaitMS() float64 {
	if t.slab.queued == 0 {
		return 0
	}
	return t.ageMS + t.backlogMS/(agedShare*t.totalThreads*t.ownShare)
}

// CeilingUse returns which share of its ceiling the busiest team uses, and whether a team waits at its ceiling.
func (t *Tree) CeilingUse() (used float64, waits bool) {
	for i := 1; i < len(t.nodes); i++ {
		if n := &t.nodes[i]; n.hasCeiling() {
			used = max(used, n.threads/max(1e-9, n.ceilingThreads(t)))
			waits = waits || n.queued > 0 && n.blocked == ceilingLimit
		}
	}
	return used, waits
}

// Teams returns all teams as they are set now.
func (t *Tree) Teams() []Team {
	list := make([]Team, 0, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		list = append(list, t.nodes[i].team)
	}
	return list
}

// WaitQueue returns what is ahead of a request that waits: the work of its team, and the threads that do such work. The third is how long
// it will run itself.
func (t *Tree) WaitQueue(id string) (aheadMS, threads, runMS float64) {
	p := t.slab.find(id)
	if p == none {
		return 0, 1, 0
	}
	r := t.slab.at(p)
	n := &t.nodes[r.leaf]
	threads = max(t.fairThreads(n), n.threads)
	runMS = r.costMS / t.classes[r.class].threads
	if r.state == queued {
		aheadMS = max(0, r.enqueuedBeforeMS-n.dequeuedMS)
	}
	if t.slab.queued > 0 || t.freeSlots <= 0 { // what is at the scheduler and does not run yet, for all teams
		aheadMS += float64(t.atScheduler) * r.costMS * n.totalShare
	}
	return aheadMS, threads, runMS
}

// Explain says why a request waits; empty if it does not.
func (t *Tree) Explain(id string) string {
	p := t.slab.find(id)
	if p == none {
		return ""
	}
	r := t.slab.at(p)
	switch r.state {
	case offered:
		return "the scheduler has it and finds no executor with capacity, or one that it should wait for"
	case running:
		return ""
	}
	n := &t.nodes[r.leaf]
	why := t.blockedBy(p)
	switch {
	case why != "":
	case t.freeSlots <= 0:
		why = "no executor has room for more"
	default:
		why = "others are due before it"
	}
	ahead := 0
	for q := n.queues[r.class].first; q != p && q != none; q = t.slab.at(q).links[listOfTeam].next {
		ahead++
	}
	return fmt.Sprintf("%s; %d of %s are ahead of it, %d in all; %.0f ms so far, at most %.0f", why, ahead, n.team.Name,
		t.slab.queued-1, t.now-r.queuedAt, math.Ceil(t.MaxWaitMS()))
}
