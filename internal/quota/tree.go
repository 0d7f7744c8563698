package quota

// why a node's searches may not be offered.
type why uint8

const (
	open why = iota
	fullHand
	fullThreads
	fullMemory
	atCeiling
)

var blockedNames = [...]string{open: "", fullHand: "the limit of searches in hand", fullThreads: "the limit of threads",
	fullMemory: "the limit of memory", atCeiling: "the ceiling"}

// node is one budget. Its start is its place in its parent's order: the virtual time at which its next search would begin
// if each sibling had its share to itself. Who pauses comes back at the present time: nothing is saved up.
type node struct {
	team         Team
	at           int32 // its own place
	parent       int32
	kids         []int32
	share, whole float64 // of the parent's, of the installation's
	start        float64
	virtual      float64 // of its children
	heaps        []heap  // by offering: the children that wait, by start
	places       []int32 // by offering: its place + 1 in its parent's heap
	lines        []list  // by offering: the searches of a leaf
	ratio        []float64
	queued, hand int
	threads      float64
	memory       float64
	work         float64
	came, went   float64 // work that has come into a leaf's lines, and gone out
	blocked      why
	tokens       float64 // of its ceiling, ms of one thread
	filledAt     float64
	throttled    bool
	pressed      int // searches
}

func (n *node) weight() float64 {
	if n.team.Weight > 0 {
		return n.team.Weight
	}
	return 1
}

// rate is what a node's ceiling allows, in threads.
func (n *node) rate(t *Tree) float64 { return n.team.Ceiling * t.total * t.part }

// refill lets a ceiling's tokens grow with the time.
func (n *node) refill(t *Tree) {
	burst := n.team.BurstMS
	if burst <= 0 {
		burst = usualBurst
	}
	full := burst * n.rate(t)
	if n.filledAt == 0 {
		n.tokens = full
	} else {
		n.tokens = min(full, n.tokens+(t.now-n.filledAt)*n.rate(t))
	}
	n.filledAt = t.now
}

// charge books work on a leaf and all above it. Work given back is below 0.
func (t *Tree) charge(leaf int32, work float64) {
	if work == 0 {
		return
	}
	for k := leaf; k > 0; k = t.nodes[k].parent {
		n := &t.nodes[k]
		p := &t.nodes[n.parent]
		if work > 0 {
			p.virtual = max(p.virtual, n.start)
		}
		n.start += work / n.share
		for o := range n.places {
			if n.places[o] != 0 {
				p.heaps[o].fix(t, o, n.places[o]-1)
			}
		}
		if n.team.Ceiling > 0 && n.team.Ceiling < 1 {
			n.refill(t)
			n.tokens -= work
			t.check(k)
		}
	}
}

// check blocks a node that is at a limit, and opens one that is no more.
func (t *Tree) check(k int32) {
	n := &t.nodes[k]
	now := open
	switch {
	case n.team.MaxInFlight > 0 && n.hand >= n.team.MaxInFlight:
		now = fullHand
	case n.team.Threads > 0 && n.threads >= n.team.Threads:
		now = fullThreads
	case n.team.MemoryMB > 0 && n.memory >= n.team.MemoryMB:
		now = fullMemory
	case n.team.Ceiling > 0 && n.team.Ceiling < 1 && n.filledAt > 0 && n.tokens <= 0:
		now = atCeiling
		if !n.throttled {
			n.throttled = true
			t.throttled = append(t.throttled, k)
		}
	}
	was := n.blocked
	n.blocked = now
	for o := range t.offerings {
		if was == open && now != open {
			t.leave(k, o)
		} else if was != open && now == open && t.waits(k, o) {
			t.join(k, o)
		}
	}
}

// waits tells whether anything under a node waits that could be offered as far as its children go.
func (t *Tree) waits(k int32, o int) bool {
	n := &t.nodes[k]
	if len(n.kids) > 0 {
		return len(n.heaps[o]) > 0
	}
	return n.lines[o].first != none
}

// join puts a node in its parent's order, and so on up.
func (t *Tree) join(k int32, o int) {
	for k > 0 {
		n := &t.nodes[k]
		if n.blocked != open || n.places[o] != 0 {
			return
		}
		p := &t.nodes[n.parent]
		if !n.active() {
			n.start = max(n.start, p.virtual)
		}
		p.heaps[o].push(t, o, k)
		k = n.parent
	}
}

func (n *node) active() bool {
	for _, at := range n.places {
		if at != 0 {
			return true
		}
	}
	return false
}

// leave takes a node out of its parent's order, and the parent too where nothing is left in it.
func (t *Tree) leave(k int32, o int) {
	for k > 0 {
		n := &t.nodes[k]
		if n.places[o] == 0 {
			return
		}
		p := &t.nodes[n.parent]
		p.heaps[o].remove(t, o, n.places[o]-1)
		if len(p.heaps[o]) > 0 {
			return
		}
		k = n.parent
	}
}

// pick is the search of who is next by the fair order, of one offering or of all (below 0).
func (t *Tree) pick(only int) int32 {
	from, to := 0, len(t.offerings)
	if only >= 0 {
		from, to = only, only+1
	}
	k := int32(0)
	for len(t.nodes[k].kids) > 0 {
		best := none
		for o := from; o < to; o++ {
			if h := t.nodes[k].heaps[o]; len(h) > 0 && (best == none || t.before(h[0], best)) {
				best = h[0]
			}
		}
		if best == none {
			return none
		}
		k = best
	}
	best := none
	for o := from; o < to; o++ {
		if p := t.nodes[k].lines[o].first; p != none && (best == none || t.slab.at(p).asked < t.slab.at(best).asked) {
			best = p
		}
	}
	if best != none && t.slab.at(best).trying {
		return none // it is on its way
	}
	return best
}

// before is the order among siblings.
func (t *Tree) before(a, b int32) bool {
	m, n := &t.nodes[a], &t.nodes[b]
	return m.start < n.start || m.start == n.start && a < b
}

// link puts a search in its team's line, unlink takes it out.
func (t *Tree) link(p int32) {
	s := t.slab.at(p)
	o := int(s.offering)
	t.slab.append(&t.queue, inQueue, p)
	first := t.nodes[s.leaf].lines[o].first == none
	t.slab.append(&t.nodes[s.leaf].lines[o], inLine, p)
	t.slab.queued++
	t.backlog += s.cost
	for k := s.leaf; k > 0; k = t.nodes[k].parent {
		t.nodes[k].queued++
	}
	if first {
		t.join(s.leaf, o)
	}
}

func (t *Tree) unlink(p int32) {
	s := t.slab.at(p)
	o := int(s.offering)
	t.slab.remove(&t.queue, inQueue, p)
	t.slab.remove(&t.nodes[s.leaf].lines[o], inLine, p)
	t.slab.queued--
	t.backlog = max(0, t.backlog-s.cost)
	t.nodes[s.leaf].went += s.cost
	for k := s.leaf; k > 0; k = t.nodes[k].parent {
		t.nodes[k].queued--
	}
	if t.nodes[s.leaf].lines[o].first == none {
		t.leave(s.leaf, o)
	}
}

// heap is children of a node in the order of their starts, the next first; each knows its place.
type heap []int32

func (h heap) set(t *Tree, o, i int, k int32) {
	h[i] = k
	t.nodes[k].places[o] = int32(i) + 1
}

func (h *heap) push(t *Tree, o int, k int32) {
	*h = append(*h, k)
	h.set(t, o, len(*h)-1, k)
	h.fix(t, o, int32(len(*h)-1))
}

// fix moves the one at a place to where it belongs.
func (h heap) fix(t *Tree, o int, at int32) {
	i, k := int(at), h[at]
	for i > 0 && t.before(k, h[(i-1)/2]) {
		h.set(t, o, i, h[(i-1)/2])
		i = (i - 1) / 2
	}
	for c := 2*i + 1; c < len(h); c = 2*i + 1 {
		if c+1 < len(h) && t.before(h[c+1], h[c]) {
			c++
		}
		if !t.before(h[c], k) {
			break
		}
		h.set(t, o, i, h[c])
		i = c
	}
	h.set(t, o, i, k)
}

func (h *heap) remove(t *Tree, o int, at int32) {
	s := *h
	t.nodes[s[at]].places[o] = 0
	last := s[len(s)-1]
	*h = s[:len(s)-1]
	if int(at) < len(*h) {
		(*h).set(t, o, int(at), last)
		h.fix(t, o, at)
	}
}

// times is a heap of moments at which searches can wait no longer. One that has gone stays in it until its time.
type times []moment

type moment struct {
	at    float64
	place int32
	turn  uint32
}

func (h *times) push(at float64, place int32, turn uint32) {
	s := append(*h, moment{at, place, turn})
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > at {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i], *h = moment{at, place, turn}, s
}

func (h *times) pop() moment {
	s := *h
	first, last := s[0], s[len(s)-1]
	s = s[:len(s)-1]
	i := 0
	for c := 1; c < len(s); c = 2*i + 1 {
		if c+1 < len(s) && s[c+1].at < s[c].at {
			c++
		}
		if s[c].at >= last.at {
			break
		}
		s[i] = s[c]
		i = c
	}
	if len(s) > 0 {
		s[i] = last
	}
	*h = s
	return first
}
