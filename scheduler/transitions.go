package scheduler

type transition struct {
	from   state
	input  input
	to     state
	action func(*Scheduler, int)
}

// apply plays an input to what stands at i, by the table, and tells whether a row was found.
func (s *Scheduler) apply(table []transition, st *state, in input, slot int) bool {
	for k := range table {
		if t := &table[k]; t.input == in && (t.from == *st || t.from == anyState) {
			*st = t.to
			if t.action != nil {
				t.action(s, slot)
			}
			s.dispatchNeeded = true
			return true
		}
	}
	return false
}

// applyToRequest plays an input to a request, judge to an executor; do adds an action.
func (s *Scheduler) applyToRequest(slot int, in input) {
	s.apply(requestTransitions, &s.requests.entries[slot].state, in, slot)
}

func (s *Scheduler) applyToExecutor(index int, in input) {
	s.apply(executorTransitions, &s.executors[index].state, in, index)
}
