package scheduler

import "slices"

// window is a queue of dated amounts, oldest first, that forgets what is older than it is asked to keep.
type window struct {
	times   []float64
	amounts []float64
	head    int
	sum     float64
	scratch []float64
}

func (w *window) add(now, amount float64) {
	if w.head > 64 && w.head*2 > len(w.times) {
		w.times = w.times[:copy(w.times, w.times[w.head:])]
		w.amounts = w.amounts[:copy(w.amounts, w.amounts[w.head:])]
		w.head = 0
	}
	w.times = append(w.times, now)
	w.amounts = append(w.amounts, amount)
	w.sum += amount
}

// remove drops the latest amount of that date.
func (w *window) remove(at float64) {
	for k := len(w.times) - 1; k >= w.head; k-- {
		if w.times[k] == at {
			w.sum -= w.amounts[k]
			w.times, w.amounts = slices.Delete(w.times, k, k+1), slices.Delete(w.amounts, k, k+1)
			return
		}
	}
}

// forget drops what is dated before, but keeps the last few.
func (w *window) forget(before float64, keep int) {
	for w.head < len(w.times)-keep && w.times[w.head] < before {
		w.sum -= w.amounts[w.head]
		w.head++
	}
	if w.head == len(w.times) {
		w.times, w.amounts, w.head, w.sum = w.times[:0], w.amounts[:0], 0, 0
	}
}

// sorted gives the live amounts in order; the next call reuses them.
func (w *window) sorted() []float64 {
	w.scratch = append(w.scratch[:0], w.live()...)
	slices.Sort(w.scratch)
	return w.scratch
}

// countSince counts what is dated from then on.
func (w *window) countSince(from float64) int {
	k, _ := slices.BinarySearch(w.times[w.head:], from)
	return w.count() - k
}

func (w *window) count() int { return len(w.times) - w.head }

func (w *window) live() []float64 { return w.amounts[w.head:] }

func (w *window) total() float64 { return w.sum }
