package quota

// blockReason is why a node's requests may not be offered.
type blockReason uint8

const (
	notBlocked blockReason = iota
	inFlightLimit
	threadLimit
	memoryLimit
	ceilingLimit
)

// blockNames are shown by the control socket.
var blockNames = [...]string{notBlocked: "", inFlightLimit: "the limit of requests in flight", threadLimit: "the limit of threads",
	memoryLimit: "the limit of memory", ceilingLimit: "the ceiling"}

// String returns the reason as it is shown to operators, empty for none.
func (b blockReason) String() string { return blockNames[b] }

// node is the quota of one team. Siblings are ordered by start time: the virtual time at which a node's next request would begin if
// each sibling had its share to itself. A node that was idle comes back at the present virtual time: nothing is saved up.
type node struct {
	team              Team
	index             int32
	parent            int32
	children          []int32
	share, totalShare float64 // of the parent's, of the installation's
	startTime         float64
	virtualTime       float64   // of its children
	waitingChildren   []heap    // by class: the children that wait, by start time
	heapPlaces        []int32   // by class: its place + 1 in its parent's heap
	queues            []list    // by class: the requests of a leaf
	ratios            []float64 // by class: of what requests took to their estimates; 0: not known
	queued, inFlight  int
	threads           float64
	memoryMB          float64
	workMS            float64 // done so far, of one thread
	enqueuedMS        float64 // work that has entered a leaf's queues
	dequeuedMS        float64 // and left them
	blocked           blockReason
	tokens            float64 // of its ceiling, ms of one thread
	refilledAt        float64
	throttled         bool // it is in Tree.throttled
	capped            int  // requests
}

func (n *node) init(classes int) {
	n.waitingChildren = make([]heap, classes)
	n.heapPlaces = make([]int32, classes)
	n.queues = make([]list, classes)
	n.ratios = make([]float64, classes)
	for i := range n.queues {
		n.queues[i] = empty
	}
}

func (n *node) weight() float64 {
	if n.team.Weight > 0 {
		return n.team.Weight
	}
	return 1
}

// hasCeiling tells whether the node has a ceiling below the whole installation.
func (n *node) hasCeiling() bool { return n.team.Ceiling > 0 && n.team.Ceiling < 1 }

// ceilingThreads is what a node's ceiling allows, in threads.
func (n *node) ceilingThreads(t *Tree) float64 {
	return n.team.Ceiling * t.totalThreads * t.ceilingShare
}

// refill adds the tokens of the time since the last refill, up to a burst.
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

// charge charges work to a leaf and all nodes above it. Work that is given back is below 0.
func (t *Tree) charge(leaf int32, workMS float64) {
	if workMS == 0 {
		return
	}
	for i := leaf; i > 0; i = t.nodes[i].parent {
		n := &t.nodes[i]
		parent := &t.nodes[n.parent]
		if workMS > 0 {
			parent.virtualTime = max(parent.virtualTime, n.startTime)
		}
		n.startTime += workMS / n.share
		for class, place := range n.heapPlaces {
			if place != 0 {
				parent.waitingChildren[class].fix(t, class, place-1)
			}
		}
		if n.hasCeiling() {
			n.refill(t)
			n.tokens -= workMS
			t.updateBlocked(i)
		}
	}
}

// updateBlocked blocks a node that is at a limit, and opens one that no longer is.
func (t *Tree) updateBlocked(i int32) {
	n := &t.nodes[i]
	before := n.blocked
	n.blocked = n.limitReached()
	if n.blocked == ceilingLimit && !n.throttled {
		n.throttled = true
		t.throttled = append(t.throttled, i)
	}
	for class := range t.classes {
		if before == notBlocked && n.blocked != notBlocked {
			t.deactivate(i, class)
		} else if before != notBlocked && n.blocked == notBlocked && t.hasWaiting(i, class) {
			t.activate(i, class)
		}
	}
}

// limitReached returns the limit that a node is at.
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

// hasWaiting tells whether anything under a node waits that its children's limits let through.
func (t *Tree) hasWaiting(i int32, class int) bool {
	n := &t.nodes[i]
	if len(n.children) > 0 {
		return len(n.waitingChildren[class]) > 0
	}
	return n.queues[class].first != none
}

// activate puts a node among its parent's waiting children, and so on up.
func (t *Tree) activate(i int32, class int) {
	for i > 0 {
		n := &t.nodes[i]
		if n.blocked != notBlocked || n.heapPlaces[class] != 0 {
			return
		}
		parent := &t.nodes[n.parent]
		if !n.active() {
			n.startTime = max(n.startTime, parent.virtualTime)
		}
		parent.waitingChildren[class].push(t, class, i)
		i = n.parent
	}
}

func (n *node) active() bool {
	for _, place := range n.heapPlaces {
		if place != 0 {
			return true
		}
	}
	return false
}

// deactivate takes a node out of its parent's waiting children, and the parent too where none is left.
func (t *Tree) deactivate(i int32, class int) {
	for i > 0 {
		n := &t.nodes[i]
		if n.heapPlaces[class] == 0 {
			return
		}
		waiting := &t.nodes[n.parent].waitingChildren[class]
		waiting.remove(t, class, n.heapPlaces[class]-1)
		if len(*waiting) > 0 {
			return
		}
		i = n.parent
	}
}

// pick returns the request that is next by the fair order, of one class or, below 0, of all; none where there is none, or where it
// is being tried.
func (t *Tree) pick(class int) int32 {
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
		if p := queue.first; p != none && (oldest == none || t.slab.at(p).queuedAt < t.slab.at(oldest).queuedAt) {
			oldest = p
		}
	}
	if oldest != none && t.slab.at(oldest).trying {
		return none
	}
	return oldest
}

// nextChild returns the waiting child of a node that is next, among some classes; none where there is none.
func (t *Tree) nextChild(i int32, from, to int) int32 {
	next := none
	for _, h := range t.nodes[i].waitingChildren[from:to] {
		if len(h) > 0 && (next == none || t.before(h[0], next)) {
			next = h[0]
		}
	}
	return next
}

// before is the order among siblings.
func (t *Tree) before(a, b int32) bool {
	m, n := &t.nodes[a], &t.nodes[b]
	return m.startTime < n.startTime || m.startTime == n.startTime && a < b
}
