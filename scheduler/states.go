package scheduler

// requestState is the state of a request.
type requestState uint8

const (
	requestQueued     requestState = iota // the request waits in the scheduler for an executor
	requestRunning                        // an attempt is in flight
	requestCancelling                     // the latest attempt was cancelled and has not reported its outcome yet
	requestDone                           // the final answer has been decided
	requestAnyState                       // wildcard in a state table: matches every state
)

// String returns the name of the state.
func (s requestState) String() string {
	return nameOf(s, "queued", "running", "cancelling", "done", "any state")
}

// requestInput is an input of the state machine of a request.
type requestInput uint8

const (
	inputAssigned         requestInput = iota // an executor was selected for the request
	inputAttemptFailed                        // the attempt ended without an answer
	inputAttemptAbandoned                     // the attempt was given up, so that the request can be sent again
	inputUnservable                           // the request can't be answered any more, or must not run
	inputFinished                             // the request was answered, or its client disconnected
)

// String returns the name of the input.
func (i requestInput) String() string {
	return nameOf(i, "assigned", "attempt failed", "attempt abandoned", "unservable", "finished")
}

// executorState is the health state of an executor.
type executorState uint8

const (
	executorHealthy   executorState = iota
	executorEjected                 // gets no attempts until it has passed health checks
	executorWarmingUp               // gets attempts only within its warm-up budget
	executorAnyState                // wildcard in a state table: matches every state
)

// String returns the name of the state.
func (s executorState) String() string {
	return nameOf(s, "healthy", "ejected", "warming up", "any state")
}

// executorInput is an input of the health state machine of an executor.
type executorInput uint8

const (
	inputUnresponsive   executorInput = iota // the executor shows no activity, or its attempts keep failing
	inputProbesAnswered                      // the executor has passed enough health checks
	inputRestarted                           // the endpoint list names a new start time
	inputWarmedUp                            // the warm-up time is over
)

// String returns the name of the input.
func (i executorInput) String() string {
	return nameOf(i, "unresponsive", "probes answered", "restarted", "warmed up")
}

// sendVerdict says whether an attempt at a request may be sent to an executor.
type sendVerdict uint8

const (
	sendAllowed   sendVerdict = iota
	sendElsewhere             // not to this executor, perhaps to another one
	sendLater                 // to no executor at present
	sendNever                 // to no executor, now or later
)

// String returns the name of the verdict.
func (v sendVerdict) String() string {
	return nameOf(v, "allowed", "elsewhere", "later", "never")
}

// transition is a row of a state table: in state from, an input leads to state to and then runs the action, if any.
// The index passed to the action is the slot of the request or the index of the executor.
type transition[State, Input comparable] struct {
	from   State
	input  Input
	to     State
	action func(s *Scheduler, index int)
}

// findTransition returns the first row that matches a state and an input. It returns nil if there is none, which means
// that the input has no effect in that state.
func findTransition[State, Input comparable](
	table []transition[State, Input], state, anyState State, input Input,
) *transition[State, Input] {
	for i := range table {
		row := &table[i]
		if row.input == input && (row.from == state || row.from == anyState) {
			return row
		}
	}
	return nil
}

// applyInput updates state as the table says for an input, and runs the action of the matching row on the request or
// executor at an index.
func applyInput[State, Input comparable](
	s *Scheduler, table []transition[State, Input], state *State, anyState State, input Input, index int,
) {
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
	applyInput(s, requestTransitions, &s.requests.at(slot).state, requestAnyState, input, slot)
}

// applyToExecutor applies an input to the executor at an index.
func (s *Scheduler) applyToExecutor(index int, input executorInput) {
	applyInput(s, executorTransitions, &s.executors[index].state, executorAnyState, input, index)
}

// nameOf returns the name of an enumerated value: the entry of names at that position, or "unknown".
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
