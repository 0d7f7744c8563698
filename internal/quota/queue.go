package quota

const (
	schedulerSlots   = 4    // requests from offerNext that the scheduler may hold unsent; each send frees a slot
	maxAtScheduler   = 16   // a stuck request gives up its slot only while fewer requests wait at the scheduler
	stuckAfter       = 2    // a request at the scheduler is stuck once this many later ones were sent before it
	agedLookahead    = 16   // number of the oldest requests searched for one that may be offered
	deadlineMarginMS = 25   // time that the scheduler needs to answer a request before its deadline
	recentArrivalMS  = 1000 // time after an arrival during which its team counts as active

	overShareStartPriority = 500 // priority cap of a request of a team over its share, while other teams are active
	overShareMemory        = 0.7 // fraction of the requested memory that such a request is granted
)

// enqueue puts a request in its team's queue.
func (t *Tree) enqueue(event *Event) {
	class := t.classIndex(event.Class)
	leaf := t.leafOf(event.Team)
	node := &t.nodes[leaf]
	full := node.team.MaxQueued > 0 && node.queued >= node.team.MaxQueued
	if class < 0 || t.shuttingDown || full || t.slab.find(event.ID) != none { // cannot be queued: the scheduler decides
		if full {
			t.counts.Overflow++
		}
		t.emit(Effect{Kind: Offer, ID: event.ID, QueueFull: full})
		return
	}
	index := t.slab.add(event.ID)
	req := t.slab.at(index)
	req.leaf, req.class = leaf, int16(class)
	req.queuedAt, req.deadline = t.now, event.Deadline
	req.memoryMB = event.MemoryMB
	req.estimateMS = event.WorkMS
	req.costMS = t.expectedCost(node, class, event.WorkMS)
	t.recordArrival(leaf)
	req.enqueuedBeforeMS = node.enqueuedMS
	node.enqueuedMS += req.costMS
	t.addWaiting(index)
	if event.Ordered && t.classes[class].inOrder {
		t.offer(index, false)
		return
	}
	// Once the request can no longer finish in time, it is offered ahead of the others, so that it is answered at
	// once.
	t.deadlines.push(event.Deadline-deadlineMarginMS-req.costMS/t.classes[class].threads, index, req.generation)
}

// classIndex returns the index of a request class, or -1 for an unknown one.
func (t *Tree) classIndex(name string) int {
	found := -1
	for i := range t.classes {
		if t.classes[i].name == name {
			found = i
		}
	}
	return found
}

// leafOf returns the node that queues the requests of a team: its own, or the default where the team is unknown or
// has child teams.
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

// expectedCost returns the expected work of a request in ms of one thread: its estimate, corrected by how far the
// earlier estimates of its team and class were off.
func (t *Tree) expectedCost(n *node, class int, estimateMS float64) float64 {
	if estimateMS <= 0 {
		estimateMS = defaultWorkMS
	}
	if n.costRatios[class] > 0 {
		estimateMS *= n.costRatios[class]
	}
	return estimateMS
}

// offerNext offers requests while the scheduler has free slots. With no slot left, the requests at the scheduler may
// all be waiting for a few executors, so one request of each class that has none there is offered to be sent at once
// or not at all; it takes no slot from others. A team over its share gets such an offer only if all requests that
// hold a slot are stuck.
func (t *Tree) offerNext() {
	for t.waiting.first != none && t.freeSlots > 0 {
		index := t.nextToOffer()
		if index == none {
			return
		}
		t.offer(index, true)
	}
	if t.waiting.first == none {
		return
	}
	for i := range t.classes {
		class := &t.classes[i]
		if class.atScheduler > 0 || class.immediatePending {
			continue
		}
		index := t.nextInFairOrder(i)
		if index == none {
			continue
		}
		req := t.slab.at(index)
		if t.activeSlots == 0 || !t.isOverShare(req.leaf) {
			class.immediatePending, req.immediatePending = true, true
			t.emit(Effect{Kind: Offer, ID: req.id, Immediate: true})
		}
	}
}

// nextToOffer returns the request to offer now, or none.
func (t *Tree) nextToOffer() int32 {
	if t.agedCreditMS > 0 {
		if index := t.oldestAged(); index != none {
			t.agedCreditMS -= t.slab.at(index).costMS
			t.counts.Aged++
			return index
		}
	}
	return t.nextInFairOrder(allClasses)
}

// oldestAged returns the oldest request that has waited at least ageMS and may be offered, or none.
func (t *Tree) oldestAged() int32 {
	index := t.waiting.first
	for range agedLookahead {
		if index == none || t.now-t.slab.at(index).queuedAt < t.ageMS {
			return none
		}
		if t.mayOffer(index) {
			return index
		}
		index = t.slab.at(index).links[listWaiting].next
	}
	return none
}

func (t *Tree) mayOffer(index int32) bool {
	return !t.slab.at(index).immediatePending && t.blockedBy(index) == ""
}

// blockedBy returns the limit that keeps a request from being offered, with the name of its team; empty for none.
func (t *Tree) blockedBy(index int32) string {
	for i := t.slab.at(index).leaf; i > 0; i = t.nodes[i].parent {
		if reason := t.nodes[i].blocked; reason != notBlocked {
			return reason.String() + " of " + t.nodes[i].team.Name
		}
	}
	return ""
}

// offerOverdue offers the requests that can wait no longer.
func (t *Tree) offerOverdue() {
	for len(t.deadlines) > 0 && t.deadlines[0].at <= t.now {
		next := t.deadlines.pop()
		req := t.slab.at(next.index)
		switch {
		case req.generation != next.generation || req.state != queued:
		case req.immediatePending: // RequestReturned or AttemptStarted will answer the immediate offer
			t.deadlines.push(t.now+1, next.index, next.generation)
		default:
			t.counts.Overdue++
			t.offer(next.index, false)
		}
	}
}

// offer hands a request to the scheduler.
func (t *Tree) offer(index int32, holdsSlot bool) {
	req := t.slab.at(index)
	offer := Effect{Kind: Offer, ID: req.id}
	if t.isOverShare(req.leaf) && t.othersActive(req.leaf) {
		offer.PriorityCap, offer.MemoryShare = overShareStartPriority, overShareMemory
	}
	t.admit(index)
	req.state, req.holdsSlot = offered, holdsSlot
	t.classes[req.class].atScheduler++
	t.atScheduler++
	if holdsSlot {
		t.freeSlots--
		t.activeSlots++
	}
	t.slab.pushBack(&t.offered, listOffered, index)
	t.emit(offer)
}

// admit takes a request out of its queue and charges it to its team.
func (t *Tree) admit(index int32) {
	req := t.slab.at(index)
	t.removeWaiting(index)
	class := &t.classes[req.class]
	if req.immediatePending {
		class.immediatePending, req.immediatePending = false, false
	}
	t.counts.Offered++
	t.counts.LongestMS = max(t.counts.LongestMS, t.now-req.queuedAt)
	t.agedCreditMS = min(t.agedCreditMS+agedWorkShare*req.costMS, maxAgedCreditMS)
	t.charge(req.leaf, req.costMS)
	req.chargedMS = req.costMS
	for i := req.leaf; i > 0; i = t.nodes[i].parent {
		node := &t.nodes[i]
		node.inFlight++
		node.threads += class.threads
		node.memoryMB += req.memoryMB
		t.updateBlocked(i)
	}
}

// attemptStarted records that an attempt was sent. Earlier requests that still wait at the scheduler are overtaken
// by it.
func (t *Tree) attemptStarted(event *Event) {
	index := t.slab.find(event.ID)
	if index == none {
		return
	}
	req := t.slab.at(index)
	if req.state == queued { // it was an immediate offer
		t.admit(index)
	}
	if req.attemptsInFlight == 0 {
		req.usedUntil = t.now
	}
	req.attemptsInFlight++
	if req.state == running {
		return
	}
	t.slab.pushBack(&t.running, listRunning, index)
	t.countOvertaken(index)
	if req.state == offered {
		t.leaveScheduler(index)
	}
	req.state = running
}

// countOvertaken counts, for each earlier request at the scheduler, that the given request was sent before it.
// Requests that are stuck give up their slots.
func (t *Tree) countOvertaken(by int32) {
	index := t.offered.first
	for range maxAtScheduler + schedulerSlots {
		if index == by || index == none {
			return
		}
		other := t.slab.at(index)
		if other.overtakenCount < stuckAfter {
			other.overtakenCount++
			if other.overtakenCount == stuckAfter && other.holdsSlot {
				t.activeSlots--
			}
		}
		if other.overtakenCount >= stuckAfter && other.holdsSlot && t.atScheduler < maxAtScheduler {
			other.holdsSlot = false
			t.freeSlots++
		}
		index = other.links[listOffered].next
	}
}

// leaveScheduler removes a request from the offered list and frees its slot.
func (t *Tree) leaveScheduler(index int32) {
	req := t.slab.at(index)
	t.slab.unlink(&t.offered, listOffered, index)
	t.classes[req.class].atScheduler--
	t.atScheduler--
	if !req.holdsSlot {
		return
	}
	req.holdsSlot = false
	t.freeSlots++
	if req.overtakenCount < stuckAfter {
		t.activeSlots--
	}
}

// attemptEnded records the work that an attempt has done until its end.
func (t *Tree) attemptEnded(event *Event) {
	index := t.slab.find(event.ID)
	if index == none {
		return
	}
	if req := t.slab.at(index); req.attemptsInFlight > 0 {
		t.recordUsage(req)
		req.attemptsInFlight--
	}
}

// recordUsage adds the time since the last call to the work of a running request. Work beyond the expected cost is
// charged while the request runs, so that a team gains nothing from estimates that are too low.
func (t *Tree) recordUsage(req *request) {
	if req.attemptsInFlight == 0 {
		return
	}
	req.usedMS += (t.now - req.usedUntil) * t.classes[req.class].threads
	req.usedUntil = t.now
	if req.usedMS > req.chargedMS {
		t.charge(req.leaf, req.usedMS-req.chargedMS)
		req.chargedMS = req.usedMS
	}
}

// closeRequest removes a request and charges or refunds the difference between the work it was charged and the work
// it did.
func (t *Tree) closeRequest(event *Event) {
	index := t.slab.find(event.ID)
	if index == none {
		return
	}
	req := t.slab.at(index)
	if req.state == queued {
		if req.immediatePending {
			t.classes[req.class].immediatePending = false
		}
		t.removeWaiting(index)
		t.slab.remove(index)
		return
	}
	t.recordUsage(req)
	if req.state == offered {
		t.leaveScheduler(index)
	} else {
		t.slab.unlink(&t.running, listRunning, index)
	}
	if req.capState == capped {
		t.nodes[req.leaf].capped--
	}
	workMS := req.usedMS
	if event.CostMS > 0 {
		workMS = event.CostMS
	}
	t.charge(req.leaf, workMS-req.chargedMS)
	if req.usedMS > 0 {
		t.nodes[req.leaf].updateCostRatio(int(req.class), workMS, req.estimateMS)
	}
	threads := t.classes[req.class].threads
	for i := req.leaf; i > 0; i = t.nodes[i].parent {
		node := &t.nodes[i]
		node.inFlight--
		node.threads -= threads
		node.memoryMB -= req.memoryMB
		node.workMS += workMS
		t.updateBlocked(i)
	}
	t.slab.remove(index)
}

// updateCostRatio adds the ratio of a request's work to its estimate to the moving average of its class.
func (n *node) updateCostRatio(class int, workMS, estimateMS float64) {
	ratio := min(maxCostRatio, workMS/max(1, estimateMS))
	if estimateMS <= 0 {
		ratio = min(maxCostRatio, max(1.0/maxCostRatio, workMS/defaultWorkMS))
	}
	if n.costRatios[class] == 0 {
		n.costRatios[class] = ratio
	}
	n.costRatios[class] += ratioSmoothing * (ratio - n.costRatios[class])
}

// othersActive reports whether another team has waiting requests, or had an arrival within recentArrivalMS and is
// likely to have another one soon.
func (t *Tree) othersActive(leaf int32) bool {
	if t.slab.queued > t.nodes[leaf].queued {
		return true
	}
	for _, last := range t.lastArrivals {
		if last.leaf != leaf && last.leaf > 0 && t.now-last.at < recentArrivalMS {
			return true
		}
	}
	return false
}

// recordArrival records the time of a team's latest request. Only the last two teams are remembered.
func (t *Tree) recordArrival(leaf int32) {
	if t.lastArrivals[0].leaf != leaf {
		t.lastArrivals[1] = t.lastArrivals[0]
	}
	t.lastArrivals[0] = arrival{leaf, t.now}
}

// addWaiting appends a request to the waiting list and to its team's queue.
func (t *Tree) addWaiting(index int32) {
	req := t.slab.at(index)
	class := int(req.class)
	t.slab.pushBack(&t.waiting, listWaiting, index)
	first := t.nodes[req.leaf].queues[class].first == none
	t.slab.pushBack(&t.nodes[req.leaf].queues[class], listTeamQueue, index)
	t.slab.queued++
	t.backlogMS += req.costMS
	for i := req.leaf; i > 0; i = t.nodes[i].parent {
		t.nodes[i].queued++
	}
	if first {
		t.activate(req.leaf, class)
	}
}

// removeWaiting takes a request out of the waiting list and its team's queue.
func (t *Tree) removeWaiting(index int32) {
	req := t.slab.at(index)
	class := int(req.class)
	t.slab.unlink(&t.waiting, listWaiting, index)
	t.slab.unlink(&t.nodes[req.leaf].queues[class], listTeamQueue, index)
	t.slab.queued--
	t.backlogMS = max(0, t.backlogMS-req.costMS)
	t.nodes[req.leaf].dequeuedMS += req.costMS
	for i := req.leaf; i > 0; i = t.nodes[i].parent {
		t.nodes[i].queued--
	}
	if t.nodes[req.leaf].queues[class].first == none {
		t.deactivate(req.leaf, class)
	}
}
