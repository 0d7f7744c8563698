package scheduler

// requestState is where a request stands.
type requestState uint8

const (
	requestQueued     requestState = iota // it waits here for an executor
	requestRunning                        // an attempt is in flight
	requestCancelling                     // its attempt was cancelled and has no outcome yet
	requestDone                           // it has its final answer
	requestAnyState                       // in a table: every state
)

// String returns the name of the state.
func (s requestState) String() string {
	return nameOf(s, "queued", "running", "cancelling", "done", "any state")
}

// requestInput is what happens to a request.
type requestInput uint8

const (
	inputAssigned         requestInput = iota // an executor was found for it
	inputAttemptFailed                        // its attempt ended without an answer
	inputAttemptAbandoned                     // its attempt is lost or has a bad plan
	inputUnservable                           // it can't be answered any more, or must not run
	inputFinished                             // it was answered, or its client left
)

// String returns the name of the input.
func (i requestInput) String() string {
	return nameOf(i, "assigned", "attempt failed", "attempt abandoned", "unservable", "finished")
}

// executorState is how an executor is judged.
type executorState uint8

const (
	executorHealthy   executorState = iota
	executorEjected                 // gets nothing until it has answered health checks
	executorWarmingUp               // gets its share of a warm-up budget
	executorAnyState                // in a table: every state
)

// String returns the name of the state.
func (s executorState) String() string {
	return nameOf(s, "healthy", "ejected", "warming up", "any state")
}

// executorInput is what happens to an executor.
type executorInput uint8

const (
	inputUnresponsive   executorInput = iota // it shows no sign of work, or only failures
	inputProbesAnswered                      // it has answered enough health checks
	inputRestarted                           // the endpoint list names a new start
	inputWarmedUp                            // its warm-up is over
)

// String returns the name of the input.
func (i executorInput) String() string {
	return nameOf(i, "unresponsive", "probes answered", "restarted", "warmed up")
}

// sendVerdict says whether an attempt at a request may go to an executor.
type sendVerdict uint8

const (
	sendAllowed   sendVerdict = iota
	sendElsewhere             // not to this executor
	sendLater                 // to no executor at this moment
	sendNever                 // to no executor any more
)

// String returns the name of the verdict.
func (v sendVerdict) String() string {
	return nameOf(v, "allowed", "elsewhere", "later", "never")
}

// transition is a row of a state table: in a state, an input leads to another state and then to an action on the request or
// executor at an index.
type transition[State, Input comparable] struct {
	from   State
	input  Input
	to     State
	action func(s *Scheduler, index int)
}

// findTransition returns the first row for an input in a state, or nil: then the input changes nothing.
func findTransition[State, Input comparable](table []transition[State, Input], state, anyState State, input Input) *transition[State, Input] {
	for i := range table {
		row := &table[i]
		if row.input == input && (row.from == state || row.from == anyState) {
			return row
		}
	}
	return nil
}

// apply applies an input to the request or executor at an index, of which state is the state.
func apply[State, Input comparable](s *Scheduler, table []transition[State, Input], state *State, anyState State, input Input, index int) {
	row := findTransition(table, *state, anyState, input)
	if row == nil {
		return
	}
	*state = row.to
	if row.action != nil {
		row.action(s, index)
	}
	s.dispatchNeeded = true
}

// applyToRequest applies an input to the request in a slot.
func (s *Scheduler) applyToRequest(slot int, input requestInput) {
	apply(s, requestTransitions, &s.requests.at(slot).state, requestAnyState, input, slot)
}

// applyToExecutor applies an input to the executor at an index.
func (s *Scheduler) applyToExecutor(index int, input executorInput) {
	apply(s, executorTransitions, &s.executors[index].state, executorAnyState, input, index)
}

// nameOf returns the name of a numbered value.
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
