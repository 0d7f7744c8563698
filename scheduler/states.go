package scheduler

// States of a request, then of an executor.
const (
	requestQueued state = iota
	requestRunning
	requestCancelling
	requestDone
	executorHealthy
	executorEjected
	executorWarmingUp
	anyState
)

// Inputs of a request, then of an executor.
const (
	inputAssigned         input = iota // an executor was found for it
	inputAttemptFailed                 // its attempt ended unhandled
	inputAttemptAbandoned              // its attempt is lost or has a bad plan
	inputUnservable                    // it can't be handled any more
	inputFinished                      // it was handled, or its client left
	inputUnresponsive                  // no sign of work, or only bad ones
	inputProbesAnswered                // probes were answered
	inputRestarted                     // the list tells of a new start
	inputWarmedUp                      // the time to warm up is over
)

var requestTransitions, executorTransitions []transition

func init() {
	requestTransitions = []transition{
		{requestQueued, inputAssigned, requestRunning, (*Scheduler).startAttempt},
		{requestRunning, inputAttemptFailed, requestQueued, nil},
		{requestCancelling, inputAttemptFailed, requestQueued, nil},
		{requestRunning, inputAttemptAbandoned, requestCancelling, (*Scheduler).cancelAttempts},
		{requestDone, inputUnservable, requestDone, nil},
		{requestDone, inputFinished, requestDone, nil},
		{anyState, inputUnservable, requestDone, (*Scheduler).rejectOrFail},
		{anyState, inputFinished, requestDone, (*Scheduler).cancelAttempts},
	}
	executorTransitions = []transition{
		{executorHealthy, inputUnresponsive, executorEjected, (*Scheduler).eject},
		{executorWarmingUp, inputUnresponsive, executorEjected, (*Scheduler).eject},
		{executorEjected, inputProbesAnswered, executorWarmingUp, (*Scheduler).startWarmup},
		{executorEjected, inputRestarted, executorEjected, (*Scheduler).startWarmup},
		{anyState, inputRestarted, executorWarmingUp, (*Scheduler).startWarmup},
		{executorWarmingUp, inputWarmedUp, executorHealthy, nil},
	}
}

// state is where a request or an executor stands, input what happens to it; a row of a table in states.go
// says what follows.
type (
	state uint8
	input uint8
)

// sendVerdict is the answer to whether an attempt may be sent.
type sendVerdict uint8

const (
	sendAllowed sendVerdict = iota
	sendElsewhere
	sendLater
	sendNever
)
