package benchmark

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"
	"strconv"

	"liftshift/internal/quota"
)

// queueItem is a request in one of the queues that the quota tree is compared with.
type queueItem struct {
	start float64
	id    int
}

// sortedQueue is a queue of all waiting requests in one slice, sorted by start.
type sortedQueue struct{ items []queueItem }

func (q *sortedQueue) add(item queueItem) {
	place := sort.Search(len(q.items), func(k int) bool { return q.items[k].start > item.start })
	q.items = slices.Insert(q.items, place, item)
}

func (q *sortedQueue) removeFirst() { q.items = slices.Delete(q.items, 0, 1) }

// heapQueue is a queue of all waiting requests in one heap, ordered by start.
type heapQueue []queueItem

func (h heapQueue) Len() int { return len(h) }

func (h heapQueue) Less(a, b int) bool { return h[a].start < h[b].start }

func (h heapQueue) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *heapQueue) Push(x any) { *h = append(*h, x.(queueItem)) }

func (h *heapQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// queueOffer is a request that the tree offers for an attempt.
type queueOffer struct {
	id        string
	immediate bool // offered on arrival, ahead of the queue; the load declines it, so that the request is queued
}

// queueLoad keeps a number of requests waiting in a quota tree.
type queueLoad struct {
	tree       *quota.Tree
	teams, ids []string
	now        float64
	submitted  int
	offers     []queueOffer
}

func newQueueLoad(teams, waiting int) (*queueLoad, error) {
	list := []quota.Team{{Name: "other"}}
	names := make([]string, teams)
	for k := range names {
		names[k] = fmt.Sprint("t", k)
		list = append(list, quota.Team{Name: names[k]})
	}
	tree, err := quota.New(list, "other", lookupSettings(1e12))
	if err != nil {
		return nil, err
	}
	l := &queueLoad{tree: tree, teams: names, ids: make([]string, waiting+20_000), now: 1}
	for k := range l.ids {
		l.ids[k] = strconv.Itoa(k)
	}
	return l, nil
}

func (l *queueLoad) step(event *quota.Event) {
	for _, effect := range l.tree.Step(l.now, event) {
		if effect.Kind == quota.Offer || effect.Immediate {
			l.offers = append(l.offers, queueOffer{effect.ID, effect.Immediate})
		}
	}
}

// submit adds a request.
func (l *queueLoad) submit() {
	n := l.submitted
	l.submitted++
	l.step(&quota.Event{Kind: quota.RequestQueued, ID: l.ids[n%len(l.ids)], Team: l.teams[n*7919%len(l.teams)],
		Class: "look", WorkMS: 10, Deadline: 1e15})
}

// replaceOne adds a request, and runs and closes another.
func (l *queueLoad) replaceOne() {
	l.now++
	l.submit()
	for len(l.offers) > 0 {
		offer := l.offers[0]
		l.offers = l.offers[1:]
		if offer.immediate {
			l.step(&quota.Event{Kind: quota.RequestReturned, ID: offer.id})
			continue
		}
		l.step(&quota.Event{Kind: quota.AttemptStarted, ID: offer.id})
		l.step(&quota.Event{Kind: quota.AttemptEnded, ID: offer.id})
		l.step(&quota.Event{Kind: quota.RequestClosed, ID: offer.id})
		return
	}
}

// measureQueues measures the time per request in a quota tree with many waiting requests, compared with queues that
// have no quotas.
func measureQueues(string, string) (figures []Figure, err error) {
	for _, teams := range []int{10, 10_000} {
		for _, waiting := range []int{1e3, 1e5, 1e6} {
			measured, err := measureQueue(teams, waiting)
			if err != nil {
				return figures, err
			}
			figures = append(figures, measured...)
		}
	}
	return figures, nil
}

func measureQueue(teams, waiting int) ([]Figure, error) {
	load, err := newQueueLoad(teams, waiting)
	if err != nil {
		return nil, err
	}
	bytes, kept := heapBytes(func() any {
		for load.submitted < waiting {
			load.submit()
		}
		return load.tree
	})
	const rounds, sliceRounds = 2000, 200 // an insertion into the sorted slice takes far longer
	inSlice, inHeap := &sortedQueue{}, &heapQueue{}
	random := rand.New(rand.NewPCG(1, 1))
	for k := range waiting {
		inSlice.items = append(inSlice.items, queueItem{float64(k), k})
		heap.Push(inHeap, queueItem{float64(k), k})
	}
	randomItem := func() queueItem { return queueItem{random.Float64() * float64(waiting), 0} }
	ns := compareMedians(
		func() float64 { return nanoseconds(rounds, load.replaceOne) },
		func() float64 {
			return nanoseconds(sliceRounds, func() {
				inSlice.add(randomItem())
				inSlice.removeFirst()
			})
		},
		func() float64 {
			return nanoseconds(rounds, func() {
				heap.Push(inHeap, randomItem())
				heap.Pop(inHeap)
			})
		})
	runtime.KeepAlive(kept)
	suffix := fmt.Sprintf("%d_teams_%d", teams, waiting)
	return []Figure{
		{"budgets.ns_a_search_" + suffix, ns[0], "ns", "<=", 20_000},
		{"budgets.ns_against_sorted_slice_" + suffix, ns[0] / ns[1], "x", ">=", 0},
		{"budgets.ns_against_heap_" + suffix, ns[0] / ns[2], "x", ">=", 0},
		{"budgets.bytes_a_queued_search_" + suffix, bytes / float64(waiting), "B", "<=", 1000},
	}, nil
}

// nanoseconds returns the mean duration of n calls.
func nanoseconds(n int, call func()) float64 {
	return elapsedSeconds(func() {
		for range n {
			call()
		}
	}) / float64(n) * 1e9
}
