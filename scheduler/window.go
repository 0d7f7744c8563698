package scheduler

import "slices"

// compactAfter is the number of evicted values above which a window may reclaim their space.
const compactAfter = 64

// slidingWindow is a queue of timestamped values, oldest first, from which old values are evicted.
type slidingWindow struct {
	timestamps []float64
	values     []float64
	head       int       // index of the oldest value that is not evicted
	sum        float64   // of the values from head on
	sortBuffer []float64 // reused by sorted
}

// add appends a value. Timestamps must not decrease.
func (w *slidingWindow) add(now, value float64) {
	if w.head > compactAfter && w.head*2 > len(w.timestamps) {
		w.timestamps = w.timestamps[:copy(w.timestamps, w.timestamps[w.head:])]
		w.values = w.values[:copy(w.values, w.values[w.head:])]
		w.head = 0
	}
	w.timestamps = append(w.timestamps, now)
	w.values = append(w.values, value)
	w.sum += value
}

// remove drops the latest value with a timestamp, if there is one.
func (w *slidingWindow) remove(timestamp float64) {
	for i := len(w.timestamps) - 1; i >= w.head; i-- {
		if w.timestamps[i] == timestamp {
			w.sum -= w.values[i]
			w.timestamps = slices.Delete(w.timestamps, i, i+1)
			w.values = slices.Delete(w.values, i, i+1)
			return
		}
	}
}

// evictBefore drops the values from before a time, but keeps at least the last few.
func (w *slidingWindow) evictBefore(before float64, keep int) {
	for w.head < len(w.timestamps)-keep && w.timestamps[w.head] < before {
		w.sum -= w.values[w.head]
		w.head++
	}
	if w.head == len(w.timestamps) {
		w.timestamps = w.timestamps[:0]
		w.values = w.values[:0]
		w.head = 0
		w.sum = 0
	}
}

// sorted returns the values in increasing order. The slice is valid until the next call.
func (w *slidingWindow) sorted() []float64 {
	w.sortBuffer = append(w.sortBuffer[:0], w.live()...)
	slices.Sort(w.sortBuffer)
	return w.sortBuffer
}

// countSince returns the number of values with the given timestamp or a later one.
func (w *slidingWindow) countSince(from float64) int {
	before, _ := slices.BinarySearch(w.timestamps[w.head:], from)
	return w.count() - before
}

// count returns the number of values that are not evicted.
func (w *slidingWindow) count() int { return len(w.timestamps) - w.head }

// live returns the values that are not evicted, oldest first.
func (w *slidingWindow) live() []float64 { return w.values[w.head:] }

// total returns the sum of the values that are not evicted.
func (w *slidingWindow) total() float64 { return w.sum }
