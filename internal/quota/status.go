package quota

import (
	"fmt"
	"math"
)

// Counts are counters since the start of the tree, and the requests that wait now.
type Counts struct {
	Offered, Aged, Capped, Uncapped, Overdue, Overflow, Unknown uint64
	Queued                                                      int
	LongestMS                                                   float64 // longest wait of any offered request
}

// Counts returns the current counters.
func (t *Tree) Counts() Counts {
	c := t.counts
	c.Queued = t.slab.queued
	return c
}

// TeamStatus describes the queue and the resource use of one team.
type TeamStatus struct {
	Team                         Team
	Queued, InFlight             int
	Threads, FairShare, MemoryMB float64
	WorkMS                       float64 // work of closed requests in ms of one thread
	Blocked                      string  // the limit that holds its requests back; empty: none
	OldestMS                     float64 // wait of the request that has waited longest
	MaxWaitMS                    float64 // see Tree.MaxWaitMS
	Borrows, Lends               float64 // threads above and, where no request of it waits, below its fair share
	Capped                       int     // requests whose priority is capped
}

// Statuses returns the status of every team, parents before their children.
func (t *Tree) Statuses() []TeamStatus {
	list := make([]TeamStatus, 0, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		node := &t.nodes[i]
		fair := t.fairThreads(node)
		status := TeamStatus{
			Team:      node.team,
			Queued:    node.queued,
			InFlight:  node.inFlight,
			Threads:   node.threads,
			FairShare: fair,
			MemoryMB:  node.memoryMB,
			WorkMS:    node.workMS,
			Blocked:   node.blocked.String(),
			MaxWaitMS: t.MaxWaitMS(),
			Borrows:   max(0, node.threads-fair),
			Capped:    node.capped,
		}
		if node.queued == 0 {
			status.Lends = max(0, fair-node.threads)
		}
		for _, queue := range node.queues {
			if queue.first != none {
				status.OldestMS = max(status.OldestMS, t.now-t.slab.at(queue.first).queuedAt)
			}
		}
		list = append(list, status)
	}
	return list
}

// MaxWaitMS returns the longest that a request which arrives now waits to be offered, provided that no limit of its
// team blocks it and the executors keep working: once it has waited ageMS, a fixed share of all work goes to the
// oldest requests.
func (t *Tree) MaxWaitMS() float64 {
	if t.slab.queued == 0 {
		return 0
	}
	return t.ageMS + t.backlogMS/(agedWorkShare*t.totalThreads*t.ownShare)
}

// CeilingUse returns the largest fraction that any team uses of its ceiling, and whether a team has requests waiting
// because of its ceiling.
func (t *Tree) CeilingUse() (used float64, waits bool) {
	for i := 1; i < len(t.nodes); i++ {
		if node := &t.nodes[i]; node.hasCeiling() {
			used = max(used, node.threads/max(1e-9, node.ceilingThreads(t)))
			waits = waits || node.queued > 0 && node.blocked == ceilingLimit
		}
	}
	return used, waits
}

// Teams returns the current quotas of all teams, parents before their children.
func (t *Tree) Teams() []Team {
	list := make([]Team, 0, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		list = append(list, t.nodes[i].team)
	}
	return list
}

// WorkAhead returns the work ahead of a request in ms of one thread, the threads that process it, and how long the
// request will run itself.
func (t *Tree) WorkAhead(id string) (aheadMS, threads, runMS float64) {
	index := t.slab.find(id)
	if index == none {
		return 0, 1, 0
	}
	req := t.slab.at(index)
	node := &t.nodes[req.leaf]
	threads = max(t.fairThreads(node), node.threads)
	runMS = req.costMS / t.classes[req.class].threads
	if req.state == queued {
		aheadMS = max(0, req.enqueuedBeforeMS-node.dequeuedMS)
	}
	if t.slab.queued > 0 || t.freeSlots <= 0 { // this team's share of the work that waits at the scheduler
		aheadMS += float64(t.atScheduler) * req.costMS * node.totalShare
	}
	return aheadMS, threads, runMS
}

// Explain returns why a request waits, for operators. It is empty if the request is unknown or has been sent.
func (t *Tree) Explain(id string) string {
	index := t.slab.find(id)
	if index == none {
		return ""
	}
	req := t.slab.at(index)
	switch req.state {
	case offered:
		return "the scheduler has it and finds no executor with capacity, or one that it should wait for"
	case running:
		return ""
	}
	node := &t.nodes[req.leaf]
	reason := t.blockedBy(index)
	switch {
	case reason != "":
	case t.freeSlots <= 0:
		reason = "no executor has room for more"
	default:
		reason = "others are due before it"
	}
	ahead := 0
	for q := node.queues[req.class].first; q != index && q != none; q = t.slab.at(q).links[listTeamQueue].next {
		ahead++
	}
	return fmt.Sprintf("%s; %d of %s are ahead of it, %d in all; %.0f ms so far, at most %.0f",
		reason, ahead, node.team.Name, t.slab.queued-1, t.now-req.queuedAt, math.Ceil(t.MaxWaitMS()))
}
