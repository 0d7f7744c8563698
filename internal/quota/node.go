package quota

// blockReason is the limit that keeps a node's requests from being offered.
type blockReason uint8

const (
	notBlocked blockReason = iota
	inFlightLimit
	threadLimit
	memoryLimit
	ceilingLimit
)

// blockNames are the texts that the control socket shows.
var blockNames = [...]string{
	notBlocked:    "",
	inFlightLimit: "the limit of requests in flight",
	threadLimit:   "the limit of threads",
	memoryLimit:   "the limit of memory",
	ceilingLimit:  "the ceiling",
}

// String returns the reason as it is shown to operators, empty for none.
func (b blockReason) String() string { return blockNames[b] }

// node is a team in the quota tree. Siblings are served in the order of their start times, as in start-time fair
// queueing: the start time is the virtual time at which the node's next request would begin if the node received
// exactly its share. A node that was idle resumes at its parent's current virtual time, so that an idle team
// accumulates no credit.
type node struct {
	team              Team
	index             int32 // in Tree.nodes
	parent            int32 // index in Tree.nodes; -1 for the root
	children          []int32
	share, totalShare float64 // fraction of the parent, and of the installation
	startTime         float64
	virtualTime       float64       // the clock of its children's start times
	waitingChildren   []childHeap   // by class: unblocked children with waiting requests
	heapPositions     []int32       // by class: position in the parent's heap plus 1; 0: not in it
	queues            []requestList // by class: the waiting requests of a leaf
	costRatios        []float64     // by class: moving average of work over estimate; 0: unknown
	queued, inFlight  int
	threads           float64
	memoryMB          float64
	workMS            float64 // work of closed requests in ms of one thread
	enqueuedMS        float64 // expected work of all requests that have entered a leaf's queues
	dequeuedMS        float64 // expected work of all requests that have left a leaf's queues
	blocked           blockReason
	tokens            float64 // token bucket of the ceiling in ms of one thread
	refilledAt        float64 // time of the last refill of tokens; 0: never
	throttled         bool    // it is listed in Tree.throttled
	capped            int     // requests whose priority is capped
}

func (n *node) init(classes int) {
	n.waitingChildren = make([]childHeap, classes)
	n.heapPositions = make([]int32, classes)
	n.queues = make([]requestList, classes)
	n.costRatios = make([]float64, classes)
	for i := range n.queues {
		n.queues[i] = emptyList
	}
}

func (n *node) weight() float64 {
	if n.team.Weight > 0 {
		return n.team.Weight
	}
	return 1
}

// hasCeiling reports whether the node has a ceiling below the whole installation.
func (n *node) hasCeiling() bool { return n.team.Ceiling > 0 && n.team.Ceiling < 1 }

// ceilingThreads returns the threads that this controller may use under the node's ceiling.
func (n *node) ceilingThreads(t *Tree) float64 {
	return n.team.Ceiling * t.totalThreads * t.ceilingShare
}

// refill adds the tokens earned since the last refill, up to the size of the burst.
func (n *node) refill(t *Tree) {
	burst := n.team.BurstMS
	if burst <= 0 {
		burst = defaultBurstMS
	}
	full := burst * n.ceilingThreads(t)
	if n.refilledAt == 0 {
		n.tokens = full
	} else {
		n.tokens = min(full, n.tokens+(t.now-n.refilledAt)*n.ceilingThreads(t))
	}
	n.refilledAt = t.now
}

// charge charges work to a leaf and its ancestors. Negative work is a refund.
func (t *Tree) charge(leaf int32, workMS float64) {
	if workMS == 0 {
		return
	}
	for i := leaf; i > 0; i = t.nodes[i].parent {
		node := &t.nodes[i]
		parent := &t.nodes[node.parent]
		if workMS > 0 {
			parent.virtualTime = max(parent.virtualTime, node.startTime)
		}
		node.startTime += workMS / node.share
		for class, position := range node.heapPositions {
			if position != 0 {
				parent.waitingChildren[class].fix(t, class, position-1)
			}
		}
		if node.hasCeiling() {
			node.refill(t)
			node.tokens -= workMS
			t.updateBlocked(i)
		}
	}
}

// updateBlocked blocks a node that has reached a limit, and unblocks it once it is below all of them.
func (t *Tree) updateBlocked(i int32) {
	node := &t.nodes[i]
	before := node.blocked
	node.blocked = node.limitReached()
	if node.blocked == ceilingLimit && !node.throttled {
		node.throttled = true
		t.throttled = append(t.throttled, i)
	}
	for class := range t.classes {
		if before == notBlocked && node.blocked != notBlocked {
			t.deactivate(i, class)
		} else if before != notBlocked && node.blocked == notBlocked && t.hasWaiting(i, class) {
			t.activate(i, class)
		}
	}
}

// limitReached returns the first limit that the node has reached.
func (n *node) limitReached() blockReason {
	switch {
	case n.team.MaxInFlight > 0 && n.inFlight >= n.team.MaxInFlight:
		return inFlightLimit
	case n.team.Threads > 0 && n.threads >= n.team.Threads:
		return threadLimit
	case n.team.MemoryMB > 0 && n.memoryMB >= n.team.MemoryMB:
		return memoryLimit
	case n.hasCeiling() && n.refilledAt > 0 && n.tokens <= 0:
		return ceilingLimit
	default:
		return notBlocked
	}
}

// hasWaiting reports whether requests of a class wait under a node, apart from those that limits of its descendants
// block.
func (t *Tree) hasWaiting(i int32, class int) bool {
	node := &t.nodes[i]
	if len(node.children) > 0 {
		return len(node.waitingChildren[class]) > 0
	}
	return node.queues[class].first != none
}

// activate adds a node to its parent's waiting children, and likewise its ancestors, up to the first that is blocked
// or already waits.
func (t *Tree) activate(i int32, class int) {
	for i > 0 {
		node := &t.nodes[i]
		if node.blocked != notBlocked || node.heapPositions[class] != 0 {
			return
		}
		parent := &t.nodes[node.parent]
		if !node.active() {
			node.startTime = max(node.startTime, parent.virtualTime)
		}
		parent.waitingChildren[class].push(t, class, i)
		i = node.parent
	}
}

// active reports whether the node is among its parent's waiting children for any class.
func (n *node) active() bool {
	for _, position := range n.heapPositions {
		if position != 0 {
			return true
		}
	}
	return false
}

// deactivate removes a node from its parent's waiting children, and the parent likewise if no waiting child is left.
func (t *Tree) deactivate(i int32, class int) {
	for i > 0 {
		node := &t.nodes[i]
		if node.heapPositions[class] == 0 {
			return
		}
		waiting := &t.nodes[node.parent].waitingChildren[class]
		waiting.remove(t, class, node.heapPositions[class]-1)
		if len(*waiting) > 0 {
			return
		}
		i = node.parent
	}
}

// allClasses has nextInFairOrder consider the requests of every class.
const allClasses = -1

// nextInFairOrder returns the next request of a class, or of allClasses, by the fair order. It returns none if no
// unblocked request waits, or if an immediate offer of the next one has not been answered.
func (t *Tree) nextInFairOrder(class int) int32 {
	from, to := 0, len(t.classes)
	if class >= 0 {
		from, to = class, class+1
	}
	i := int32(0)
	for len(t.nodes[i].children) > 0 {
		next := t.nextChild(i, from, to)
		if next == none {
			return none
		}
		i = next
	}
	oldest := none
	for _, queue := range t.nodes[i].queues[from:to] {
		first := queue.first
		if first != none && (oldest == none || t.slab.at(first).queuedAt < t.slab.at(oldest).queuedAt) {
			oldest = first
		}
	}
	if oldest != none && t.slab.at(oldest).immediatePending {
		return none
	}
	return oldest
}

// nextChild returns the waiting child of a node with the earliest start time, among the classes from up to but not
// including to. It returns none if no child waits.
func (t *Tree) nextChild(i int32, from, to int) int32 {
	next := none
	for _, heap := range t.nodes[i].waitingChildren[from:to] {
		if len(heap) > 0 && (next == none || t.startsBefore(heap[0], next)) {
			next = heap[0]
		}
	}
	return next
}

// startsBefore reports whether sibling a comes before sibling b: by start time, then by index.
func (t *Tree) startsBefore(a, b int32) bool {
	nodeA, nodeB := &t.nodes[a], &t.nodes[b]
	return nodeA.startTime < nodeB.startTime || nodeA.startTime == nodeB.startTime && a < b
}
