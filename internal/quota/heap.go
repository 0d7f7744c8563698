package quota

// childHeap is a binary heap of a node's waiting children, the earliest start time first. node.heapPositions holds
// the position of each child.
type childHeap []int32

func (h childHeap) set(t *Tree, class, position int, child int32) {
	h[position] = child
	t.nodes[child].heapPositions[class] = int32(position) + 1
}

func (h *childHeap) push(t *Tree, class int, child int32) {
	*h = append(*h, child)
	h.set(t, class, len(*h)-1, child)
	h.fix(t, class, int32(len(*h)-1))
}

// fix restores the heap order after the start time of the child at a position has changed.
func (h childHeap) fix(t *Tree, class int, position int32) {
	i, child := int(position), h[position]
	for i > 0 && t.startsBefore(child, h[(i-1)/2]) {
		h.set(t, class, i, h[(i-1)/2])
		i = (i - 1) / 2
	}
	for next := 2*i + 1; next < len(h); next = 2*i + 1 {
		if next+1 < len(h) && t.startsBefore(h[next+1], h[next]) {
			next++
		}
		if !t.startsBefore(h[next], child) {
			break
		}
		h.set(t, class, i, h[next])
		i = next
	}
	h.set(t, class, i, child)
}

func (h *childHeap) remove(t *Tree, class int, position int32) {
	s := *h
	t.nodes[s[position]].heapPositions[class] = 0
	last := s[len(s)-1]
	*h = s[:len(s)-1]
	if int(position) < len(*h) {
		h.set(t, class, int(position), last)
		h.fix(t, class, position)
	}
}

// deadlineHeap is a binary heap of the times at which waiting requests must be offered, the earliest first. The
// entry of a request that is closed or offered earlier stays until its time and is then dropped.
type deadlineHeap []deadline

// deadline is the time at which the request at an index of the slab must be offered.
type deadline struct {
	at         float64
	index      int32
	generation uint32 // of the request; the entry is stale if the slab has another generation at the index
}

func (h *deadlineHeap) push(at float64, index int32, generation uint32) {
	s := append(*h, deadline{at, index, generation})
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > at {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = deadline{at, index, generation}
	*h = s
}

func (h *deadlineHeap) pop() deadline {
	s := *h
	first, last := s[0], s[len(s)-1]
	s = s[:len(s)-1]
	i := 0
	for next := 1; next < len(s); next = 2*i + 1 {
		if next+1 < len(s) && s[next+1].at < s[next].at {
			next++
		}
		if s[next].at >= last.at {
			break
		}
		s[i] = s[next]
		i = next
	}
	if len(s) > 0 {
		s[i] = last
	}
	*h = s
	return first
}
