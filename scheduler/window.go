package scheduler

import "slices"

// span is a queue of dated amounts, oldest first, that forgets what is older than it is asked to keep.
type span struct {
	at     []float64
	amount []float64
	head   int
	sum    float64
	copy   []float64
}

func (s *span) add(now, amount float64) {
	if s.head > 64 && s.head*2 > len(s.at) {
		s.at = s.at[:copy(s.at, s.at[s.head:])]
		s.amount = s.amount[:copy(s.amount, s.amount[s.head:])]
		s.head = 0
	}
	s.at = append(s.at, now)
	s.amount = append(s.amount, amount)
	s.sum += amount
}

// remove drops the latest amount of that date.
func (s *span) remove(at float64) {
	for k := len(s.at) - 1; k >= s.head; k-- {
		if s.at[k] == at {
			s.sum -= s.amount[k]
			s.at, s.amount = slices.Delete(s.at, k, k+1), slices.Delete(s.amount, k, k+1)
			return
		}
	}
}

// forget drops what is dated before, but keeps the last few.
func (s *span) forget(before float64, keep int) {
	for s.head < len(s.at)-keep && s.at[s.head] < before {
		s.sum -= s.amount[s.head]
		s.head++
	}
	if s.head == len(s.at) {
		s.at, s.amount, s.head, s.sum = s.at[:0], s.amount[:0], 0, 0
	}
}

// sorted gives the live amounts in order; the next call reuses them.
func (s *span) sorted() []float64 {
	s.copy = append(s.copy[:0], s.live()...)
	slices.Sort(s.copy)
	return s.copy
}

// since counts what is dated from then on.
func (s *span) since(from float64) int {
	k, _ := slices.BinarySearch(s.at[s.head:], from)
	return s.count() - k
}

func (s *span) count() int { return len(s.at) - s.head }

func (s *span) live() []float64 { return s.amount[s.head:] }

func (s *span) total() float64 { return s.sum }
