package scheduler

import "slices"

// compactAfter is the number of forgotten amounts from which a window may move the others down.
const compactAfter = 64

// window is a queue of dated amounts, oldest first, that forgets what is older than its caller needs.
type window struct {
	times   []float64
	amounts []float64
	head    int // index of the oldest amount that is not forgotten
	sum     float64
	scratch []float64 // of sorted
}

// add appends an amount.
func (w *window) add(now, amount float64) {
	if w.head > compactAfter && w.head*2 > len(w.times) {
		w.times = w.times[:copy(w.times, w.times[w.head:])]
		w.amounts = w.amounts[:copy(w.amounts, w.amounts[w.head:])]
		w.head = 0
	}
	w.times = append(w.times, now)
	w.amounts = append(w.amounts, amount)
	w.sum += amount
}

// remove drops the latest amount with a date.
func (w *window) remove(at float64) {
	for i := len(w.times) - 1; i >= w.head; i-- {
		if w.times[i] == at {
			w.sum -= w.amounts[i]
			w.times = slices.Delete(w.times, i, i+1)
			w.amounts = slices.Delete(w.amounts, i, i+1)
			return
		}
	}
}

// forget drops what is dated before a time, but keeps the last few amounts.
func (w *window) forget(before float64, keep int) {
	for w.head < len(w.times)-keep && w.times[w.head] < before {
		w.sum -= w.amounts[w.head]
		w.head++
	}
	if w.head == len(w.times) {
		w.times = w.times[:0]
		w.amounts = w.amounts[:0]
		w.head = 0
		w.sum = 0
	}
}

// sorted returns the amounts in increasing order. The next call uses the slice again.
func (w *window) sorted() []float64 {
	w.scratch = append(w.scratch[:0], w.live()...)
	slices.Sort(w.scratch)
	return w.scratch
}

// countSince returns the number of amounts dated at a time or later.
func (w *window) countSince(from float64) int {
	before, _ := slices.BinarySearch(w.times[w.head:], from)
	return w.count() - before
}

// count returns the number of amounts.
func (w *window) count() int { return len(w.times) - w.head }

// live returns the amounts, oldest first.
func (w *window) live() []float64 { return w.amounts[w.head:] }

// total returns the sum of the amounts.
func (w *window) total() float64 { return w.sum }
