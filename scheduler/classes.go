package scheduler

import "math"

// classState holds the settings of a request class and the estimates learned from its requests.
type classState struct {
	name                   string
	idempotency            Idempotency
	dedupScope             DedupScope
	dedupWindowMS          float64
	softDeadlineMS         float64
	softDeadlineWorkFactor float64
	value                  float64
	lateValueShare         float64
	inOrder                bool
	holdsGroup             bool // see RequestClass.HoldsTableGroup
	blockedByHolders       bool // see RequestClass.BlockedByHolders
	threads                int
	kinds                  []string
	zones                  []string

	meanWorkMS      float64 // moving average of the expected work of a request
	workSamples     float64 // number of samples in meanWorkMS
	slowdown        float64 // moving average of the running time divided by the work per thread
	memoryFactor    float64 // memory to grant per MB of the client's estimate
	actualWorkMS    float64 // moving average of the work that answers reported
	estimatedWorkMS float64 // moving average of the clients' estimates for the same requests
}

// newClassState returns the state of a class from which nothing has been learned yet.
func newClassState(c *RequestClass) classState {
	return classState{
		name:                   c.Name,
		idempotency:            c.Idempotency,
		dedupScope:             c.DedupScope,
		dedupWindowMS:          c.DedupWindowMS,
		softDeadlineMS:         c.SoftDeadlineMS,
		softDeadlineWorkFactor: c.SoftDeadlineWorkFactor,
		value:                  c.Value,
		lateValueShare:         c.LateValueShare,
		inOrder:                c.InOrder,
		holdsGroup:             c.HoldsTableGroup,
		blockedByHolders:       c.BlockedByHolders,
		threads:                c.Threads,
		kinds:                  c.Kinds,
		zones:                  c.Zones,
		slowdown:               1,
		memoryFactor:           initialMemoryFactor,
	}
}

// classIndex returns the index of the class with a name, or -1.
func (s *Scheduler) classIndex(name string) int {
	for i := range s.classes {
		if s.classes[i].name == name {
			return i
		}
	}
	return -1
}

// minRunMS returns the shortest possible running time of a request: its work, divided by its threads.
func (c *classState) minRunMS(r *request) float64 { return r.workMS / float64(c.threads) }

// deduplicatesByLocation reports whether repeats are dropped only by the executors of one zone or cell.
func (c *classState) deduplicatesByLocation() bool {
	return c.idempotency == Keyed && c.dedupScope != DedupAll
}

// deduplicates reports whether an executor is in the deduplication scope of a prior attempt, so that it drops a repeat.
func (c *classState) deduplicates(prior PriorAttempt, e *executor) bool {
	switch c.dedupScope {
	case DedupZone:
		return prior.Zone == e.zone
	case DedupCell:
		return prior.Cell == e.cell
	}
	return true
}

// overallMeanWork returns the mean work of a request over all classes, in ms. If no request has arrived yet, it returns
// the mean work of the given class.
func (s *Scheduler) overallMeanWork(class *classState) float64 {
	work := 0.0
	samples := 0.0
	for i := range s.classes {
		c := &s.classes[i]
		work += c.meanWorkMS * c.workSamples
		samples += c.workSamples
	}
	if work <= 0 {
		return max(1, class.meanWorkMS)
	}
	return work / samples
}

// meanWorkRange returns the smallest and the largest mean work of the classes whose mean work is positive. It returns
// +Inf and 0 if there are none.
func (s *Scheduler) meanWorkRange() (smallest, largest float64) {
	smallest = math.Inf(1)
	for i := range s.classes {
		meanWorkMS := s.classes[i].meanWorkMS
		if meanWorkMS > 0 {
			smallest = min(smallest, meanWorkMS)
			largest = max(largest, meanWorkMS)
		}
	}
	return smallest, largest
}
