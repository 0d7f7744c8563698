package quota

// heap holds children of a node in the order of their start times, the next first. Each child knows its place.
type heap []int32

func (h heap) set(t *Tree, class, place int, child int32) {
	h[place] = child
	t.nodes[child].heapPlaces[class] = int32(place) + 1
}

func (h *heap) push(t *Tree, class int, child int32) {
	*h = append(*h, child)
	h.set(t, class, len(*h)-1, child)
	h.fix(t, class, int32(len(*h)-1))
}

// fix moves the child at a place to where it belongs.
func (h heap) fix(t *Tree, class int, place int32) {
	i, child := int(place), h[place]
	for i > 0 && t.before(child, h[(i-1)/2]) {
		h.set(t, class, i, h[(i-1)/2])
		i = (i - 1) / 2
	}
	for next := 2*i + 1; next < len(h); next = 2*i + 1 {
		if next+1 < len(h) && t.before(h[next+1], h[next]) {
			next++
		}
		if !t.before(h[next], child) {
			break
		}
		h.set(t, class, i, h[next])
		i = next
	}
	h.set(t, class, i, child)
}

func (h *heap) remove(t *Tree, class int, place int32) {
	s := *h
	t.nodes[s[place]].heapPlaces[class] = 0
	last := s[len(s)-1]
	*h = s[:len(s)-1]
	if int(place) < len(*h) {
		h.set(t, class, int(place), last)
		h.fix(t, class, place)
	}
}

// deadlineHeap holds the times at which requests can wait no longer, the earliest first. One of a request that is gone stays in it
// until its time.
type deadlineHeap []deadline

type deadline struct {
	at         float64
	place      int32
	generation uint32
}

func (h *deadlineHeap) push(at float64, place int32, generation uint32) {
	s := append(*h, deadline{at, place, generation})
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > at {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = deadline{at, place, generation}
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
