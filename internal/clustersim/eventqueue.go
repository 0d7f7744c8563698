package clustersim

import "container/heap"

// scheduled is an item of an eventQueue with its time and its position in the scheduling order.
type scheduled[T any] struct {
	at       float64
	sequence uint64
	item     T
}

// eventQueue is a priority queue of items by time. Items with the same time are returned in the order in which they
// were scheduled, so that a seed always replays the same history.
type eventQueue[T any] struct {
	items    eventHeap[T]
	sequence uint64
}

func (q *eventQueue[T]) schedule(at float64, item T) {
	q.sequence++
	heap.Push(&q.items, scheduled[T]{at: at, sequence: q.sequence, item: item})
}

// popDue removes and returns the earliest item if it is due at or before the time until.
func (q *eventQueue[T]) popDue(until float64) (at float64, item T, due bool) {
	if len(q.items) == 0 || q.items[0].at > until {
		return 0, item, false
	}
	next := heap.Pop(&q.items).(scheduled[T])
	return next.at, next.item, true
}

// eventHeap implements heap.Interface for eventQueue.
type eventHeap[T any] []scheduled[T]

func (h eventHeap[T]) Len() int { return len(h) }
func (h eventHeap[T]) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h eventHeap[T]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap[T]) Push(x any)   { *h = append(*h, x.(scheduled[T])) }
func (h *eventHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduled[T]{}
	*h = old[:len(old)-1]
	return last
}
