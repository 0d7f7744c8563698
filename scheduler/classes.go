package scheduler

import (
	"math"
)

// classState is what is known of one request class: its settings, and what was learned from its requests.
type classState struct {
	name                string
	effect              Effect
	dedupScope          DedupScope
	dedupWindowMS       float64
	softDeadlineMS      float64
	softDeadlineStretch float64
	value               float64
	lateShare           float64
	inOrder             bool
	holdsGroup          bool // holds its table group on its executor while it runs
	blockedByHolders    bool // stands still behind a request that holds its table group
	threads             int
	kinds               []string
	zones               []string

	usualWorkMS     float64
	arrivals        float64 // requests that the usual work was learned from
	slowdown        float64 // recent running time over work per thread
	memoryFactor    float64 // memory to grant for each MB estimated
	actualWorkMS    float64 // work that answers named, a fading mean
	estimatedWorkMS float64 // the estimates of the same requests, a fading mean
}

func newClassState(c *RequestClass) classState {
	return classState{
		name:                c.Name,
		effect:              c.Effect,
		dedupScope:          c.DedupScope,
		dedupWindowMS:       c.DedupWindowMS,
		softDeadlineMS:      c.SoftDeadlineMS,
		softDeadlineStretch: c.SoftDeadlineStretch,
		value:               c.Value,
		lateShare:           c.LateShare,
		inOrder:             c.InOrder,
		holdsGroup:          c.HoldsTableGroup,
		blockedByHolders:    c.BlockedByHolders,
		threads:             c.Threads,
		kinds:               c.Kinds,
		zones:               c.Zones,
		slowdown:            1,
		memoryFactor:        initialMemoryFactor,
	}
}

// classIndex returns the index of the class of a name, or -1.
func (s *Scheduler) classIndex(name string) int {
	for i := range s.classes {
		if s.classes[i].name == name {
			return i
		}
	}
	return -1
}

// minRunMS returns the least running time of a request: its work, spread over its threads.
func (c *classState) minRunMS(r *request) float64 { return r.workMS / float64(c.threads) }

// dropsRepeat reports whether an executor drops a repeat of an attempt that may have run.
func (c *classState) dropsRepeat(prior PriorAttempt, e *executor) bool {
	switch c.dedupScope {
	case DedupZone:
		return prior.Zone == e.zone
	case DedupCell:
		return prior.Cell == e.cell
	}
	return true
}

// meanWork returns the mean work of a request, in ms, over all classes; that of one class where nothing has arrived.
func (s *Scheduler) meanWork(class *classState) float64 {
	work := 0.0
	arrivals := 0.0
	for i := range s.classes {
		c := &s.classes[i]
		work += c.usualWorkMS * c.arrivals
		arrivals += c.arrivals
	}
	if work <= 0 {
		return max(1, class.usualWorkMS)
	}
	return work / arrivals
}

// usualWorkRange returns the usual work of the smallest and of the largest class that has any.
func (s *Scheduler) usualWorkRange() (smallest, largest float64) {
	smallest = math.Inf(1)
	for i := range s.classes {
		usual := s.classes[i].usualWorkMS
		if usual > 0 {
			smallest = min(smallest, usual)
			largest = max(largest, usual)
		}
	}
	return smallest, largest
}
