package quota

const (
	schedulerSlots   = 4  // requests that the scheduler has at hand and has not sent; it takes the next at each send
	maxAtScheduler   = 16 // requests that wait at the scheduler, stuck ones included
	stuckAfter       = 2  // later requests sent before one that waits at the scheduler counts as stuck and gives its slot to another
	agedLookahead    = 16 // of the oldest requests that are looked at for one that may be offered
	deadlineMarginMS = 25 // before its deadline by which the scheduler has answered a request
	recentArrivalMS  = 1000

	overShareStartPriority = 500 // of a request of a team over its share, while others are active
	overShareMemory        = 0.7 // share of the memory asked for that it is granted
)

// enqueue takes a request into its team's queue.
func (t *Tree) enqueue(ev *Event) {
	class := t.classIndex(ev.Class)
	leaf := t.leafOf(ev.Team)
	n := &t.nodes[leaf]
	full := n.team.MaxQueued > 0 && n.queued >= n.team.MaxQueued
	if class < 0 || t.shuttingDown || full || t.slab.find(ev.ID) != none { // nothing to order here: the scheduler decides
		if full {
			t.counts.Overflow++
		}
		t.emit(Effect{Kind: Offer, ID: ev.ID, QueueFull: full})
		return
	}
	p := t.slab.add(ev.ID)
	r := t.slab.at(p)
	r.leaf, r.class = leaf, int16(class)
	r.queuedAt, r.deadline = t.now, ev.Deadline
	r.memoryMB = ev.MemoryMB
	r.estimateMS = ev.WorkMS
	r.costMS = t.expectedCost(n, class, ev.WorkMS)
	t.noteArrival(leaf)
	r.enqueuedBeforeMS = n.enqueuedMS
	n.enqueuedMS += r.costMS
	t.addWaiting(p)
	if ev.Ordered && t.classes[class].inOrder {
		t.offer(p, false)
		return
	}
	// Where it can't be done in time any more, it is offered whoever else waits, so that its answer comes at once.
	t.deadlines.push(ev.Deadline-deadlineMarginMS-r.costMS/t.classes[class].threads, p, r.generation)
}

// classIndex returns the index of a request class, -1 for an unknown one.
func (t *Tree) classIndex(name string) int {
	found := -1
	for i := range t.classes {
		if t.classes[i].name == name {
			found = i
		}
	}
	return found
}

// leafOf returns the node that takes the requests of a team, the default where there is none.
func (t *Tree) leafOf(team string) int32 {
	leaf, known := t.byName[team]
	if known && len(t.nodes[leaf].children) == 0 {
		return leaf
	}
	if team != "" && !known {
		t.counts.Unknown++
	}
	return t.defaultLeaf
}

// expectedCost is what a request will take, in ms of one thread: its estimate, corrected by what estimates of this team came to.
func (t *Tree) expectedCost(n *node, class int, estimateMS float64) float64 {
	if estimateMS <= 0 {
		estimateMS = defaultWorkMS
	}
	if n.ratios[class] > 0 {
		estimateMS *= n.ratios[class]
	}
	return estimateMS
}

// offerNext offers whose turn it is while the scheduler has slots. Without one, what waits there may be waiting for few
// executors: then a request of each class that has none there is tried, to be sent at once or not at all, so that it takes no slot from
// others. A team over its share gets such a try only where all at the scheduler are stuck.
func (t *Tree) offerNext() {
	for t.queue.first != none && t.freeSlots > 0 {
		p := t.next()
		if p == none {
			return
		}
		t.offer(p, true)
	}
	if t.queue.first == none {
		return
	}
	for i := range t.classes {
		class := &t.classes[i]
		if class.atScheduler > 0 || class.trying {
			continue
		}
		p := t.pick(i)
		if p == none {
			continue
		}
		r := t.slab.at(p)
		if t.advancing == 0 || !t.overShare(r.leaf) {
			class.trying, r.trying = true, true
			t.emit(Effect{Kind: Offer, ID: r.id, Immediate: true})
		}
	}
}

// next returns the request that is to be offered now, or none.
func (t *Tree) next() int32 {
	if t.agedWorkMS > 0 {
		if p := t.oldest(); p != none {
			t.agedWorkMS -= t.slab.at(p).costMS
			t.counts.Aged++
			return p
		}
	}
	return t.pick(-1)
}

// oldest returns the request that has waited longest past the age and may be offered, or none.
func (t *Tree) oldest() int32 {
	p := t.queue.first
	for range agedLookahead {
		if p == none || t.now-t.slab.at(p).queuedAt < t.ageMS {
			return none
		}
		if t.mayOffer(p) {
			return p
		}
		p = t.slab.at(p).links[listAll].next
	}
	return none
}

func (t *Tree) mayOffer(p int32) bool { return !t.slab.at(p).trying && t.blockedBy(p) == "" }

// blockedBy says which limit keeps a request from being offered, empty for none.
func (t *Tree) blockedBy(p int32) string {
	for i := t.slab.at(p).leaf; i > 0; i = t.nodes[i].parent {
		if reason := t.nodes[i].blocked; reason != notBlocked {
			return reason.String() + " of " + t.nodes[i].team.Name
		}
	}
	return ""
}

// offerOverdue offers the requests that can wait no longer.
func (t *Tree) offerOverdue() {
	for len(t.deadlines) > 0 && t.deadlines[0].at <= t.now {
		d := t.deadlines.pop()
		r := t.slab.at(d.place)
		switch {
		case r.generation != d.generation || r.state != queued:
		case r.trying: // RequestReturned, or AttemptStarted, is on its way
			t.deadlines.push(t.now+1, d.place, d.generation)
		default:
			t.counts.Overdue++
			t.offer(d.place, false)
		}
	}
}

// offer hands a request to the scheduler.
func (t *Tree) offer(p int32, takesSlot bool) {
	r := t.slab.at(p)
	offer := Effect{Kind: Offer, ID: r.id}
	if t.overShare(r.leaf) && t.othersActive(r.leaf) {
		offer.PriorityCap, offer.MemoryShare = overShareStartPriority, overShareMemory
	}
	t.admit(p)
	r.state, r.takesSlot = offered, takesSlot
	t.classes[r.class].atScheduler++
	t.atScheduler++
	if takesSlot {
		t.freeSlots--
		t.advancing++
	}
	t.slab.pushBack(&t.offered, listOffered, p)
	t.emit(offer)
}

// admit takes a request out of its queue and charges it to its team.
func (t *Tree) admit(p int32) {
	r := t.slab.at(p)
	t.removeWaiting(p)
	class := &t.classes[r.class]
	if r.trying {
		class.trying, r.trying = false, false
	}
	t.counts.Offered++
	t.counts.LongestMS = max(t.counts.LongestMS, t.now-r.queuedAt)
	t.agedWorkMS = min(t.agedWorkMS+agedShare*r.costMS, maxAgedWorkMS)
	t.charge(r.leaf, r.costMS)
	r.chargedMS = r.costMS
	for i := r.leaf; i > 0; i = t.nodes[i].parent {
		n := &t.nodes[i]
		n.inFlight++
		n.threads += class.threads
		n.memoryMB += r.memoryMB
		t.updateBlocked(i)
	}
}

// attemptStarted records an attempt that was sent. Requests that it overtook at the scheduler may be stuck there.
func (t *Tree) attemptStarted(ev *Event) {
	p := t.slab.find(ev.ID)
	if p == none {
		return
	}
	r := t.slab.at(p)
	if r.state == queued { // it was tried
		t.admit(p)
	}
	if r.inFlight == 0 {
		r.usedUntil = t.now
	}
	r.inFlight++
	if r.state == running {
		return
	}
	t.slab.pushBack(&t.running, listRunning, p)
	t.countOvertaken(p)
	if r.state == offered {
		t.leaveScheduler(p)
	}
	r.state = running
}

// countOvertaken counts the requests that one overtook at the scheduler. Those that are stuck give their slots to others.
func (t *Tree) countOvertaken(by int32) {
	q := t.offered.first
	for range maxAtScheduler + schedulerSlots {
		if q == by || q == none {
			return
		}
		other := t.slab.at(q)
		if other.overtakenBy < stuckAfter {
			other.overtakenBy++
			if other.overtakenBy == stuckAfter && other.takesSlot {
				t.advancing--
			}
		}
		if other.overtakenBy >= stuckAfter && other.takesSlot && t.atScheduler < maxAtScheduler {
			other.takesSlot = false
			t.freeSlots++
		}
		q = other.links[listOffered].next
	}
}

// leaveScheduler ends a request's wait at the scheduler.
func (t *Tree) leaveScheduler(p int32) {
	r := t.slab.at(p)
	t.slab.unlink(&t.offered, listOffered, p)
	t.classes[r.class].atScheduler--
	t.atScheduler--
	if !r.takesSlot {
		return
	}
	r.takesSlot = false
	t.freeSlots++
	if r.overtakenBy < stuckAfter {
		t.advancing--
	}
}

// attemptEnded counts what a request has used of executors.
func (t *Tree) attemptEnded(ev *Event) {
	p := t.slab.find(ev.ID)
	if p == none {
		return
	}
	if r := t.slab.at(p); r.inFlight > 0 {
		t.countUse(r)
		r.inFlight--
	}
}

// countUse counts the time that a request has been on executors, and charges what goes beyond its estimate as it comes: a team
// gains nothing by estimates that are too low.
func (t *Tree) countUse(r *request) {
	if r.inFlight == 0 {
		return
	}
	r.usedMS += (t.now - r.usedUntil) * t.classes[r.class].threads
	r.usedUntil = t.now
	if r.usedMS > r.chargedMS {
		t.charge(r.leaf, r.usedMS-r.chargedMS)
		r.chargedMS = r.usedMS
	}
}

// closeRequest settles a request: what it was charged beyond what it used is given back.
func (t *Tree) closeRequest(ev *Event) {
	p := t.slab.find(ev.ID)
	if p == none {
		return
	}
	r := t.slab.at(p)
	if r.state == queued {
		if r.trying {
			t.classes[r.class].trying = false
		}
		t.removeWaiting(p)
		t.slab.remove(p)
		return
	}
	t.countUse(r)
	if r.state == offered {
		t.leaveScheduler(p)
	} else {
		t.slab.unlink(&t.running, listRunning, p)
	}
	if r.cap == capped {
		t.nodes[r.leaf].capped--
	}
	took := r.usedMS
	if ev.CostMS > 0 {
		took = ev.CostMS
	}
	t.charge(r.leaf, took-r.chargedMS)
	if r.usedMS > 0 {
		t.nodes[r.leaf].learnRatio(int(r.class), took, r.estimateMS)
	}
	threads := t.classes[r.class].threads
	for i := r.leaf; i > 0; i = t.nodes[i].parent {
		n := &t.nodes[i]
		n.inFlight--
		n.threads -= threads
		n.memoryMB -= r.memoryMB
		n.workMS += took
		t.updateBlocked(i)
	}
	t.slab.remove(p)
}

// learnRatio takes in what a request took over its estimate.
func (n *node) learnRatio(class int, took, estimateMS float64) {
	ratio := min(maxRatio, took/max(1, estimateMS))
	if estimateMS <= 0 {
		ratio = min(maxRatio, max(1.0/maxRatio, took/defaultWorkMS))
	}
	if n.ratios[class] == 0 {
		n.ratios[class] = ratio
	}
	n.ratios[class] += meanWeight * (ratio - n.ratios[class])
}

// othersActive tells whether another team waits, or has had an arrival lately: it will have the next one soon.
func (t *Tree) othersActive(leaf int32) bool {
	if t.slab.queued > t.nodes[leaf].queued {
		return true
	}
	for _, a := range t.lastArrivals {
		if a.leaf != leaf && a.leaf > 0 && t.now-a.at < recentArrivalMS {
			return true
		}
	}
	return false
}

// noteArrival notes that a request of a team has arrived. The last two teams are known.
func (t *Tree) noteArrival(leaf int32) {
	if t.lastArrivals[0].leaf != leaf {
		t.lastArrivals[1] = t.lastArrivals[0]
	}
	t.lastArrivals[0] = arrival{leaf, t.now}
}

// addWaiting puts a request in its team's queue.
func (t *Tree) addWaiting(p int32) {
	r := t.slab.at(p)
	class := int(r.class)
	t.slab.pushBack(&t.queue, listAll, p)
	first := t.nodes[r.leaf].queues[class].first == none
	t.slab.pushBack(&t.nodes[r.leaf].queues[class], listOfTeam, p)
	t.slab.queued++
	t.backlogMS += r.costMS
	for i := r.leaf; i > 0; i = t.nodes[i].parent {
		t.nodes[i].queued++
	}
	if first {
		t.activate(r.leaf, class)
	}
}

// removeWaiting takes a request out of its team's queue.
func (t *Tree) removeWaiting(p int32) {
	r := t.slab.at(p)
	class := int(r.class)
	t.slab.unlink(&t.queue, listAll, p)
	t.slab.unlink(&t.nodes[r.leaf].queues[class], listOfTeam, p)
	t.slab.queued--
	t.backlogMS = max(0, t.backlogMS-r.costMS)
	t.nodes[r.leaf].dequeuedMS += r.costMS
	for i := r.leaf; i > 0; i = t.nodes[i].parent {
		t.nodes[i].queued--
	}
	if t.nodes[r.leaf].queues[class].first == none {
		t.deactivate(r.leaf, class)
	}
}
