package scheduler

// State tables: what follows from each input in each state. Each request ends once: whatever happens to one
// that is done, its client gets no second answer.

var (
	requestTransitions  []transition[requestState, requestInput]
	executorTransitions []transition[executorState, executorInput]
)

// The tables are filled here, since their actions use them in turn, which an initializer may not.
func init() {
	requestTransitions = []transition[requestState, requestInput]{
		{requestQueued, inputAssigned, requestRunning, (*Scheduler).startAttempt},
		{requestRunning, inputAttemptFailed, requestQueued, nil},
		{requestCancelling, inputAttemptFailed, requestQueued, nil},
		{requestRunning, inputAttemptAbandoned, requestCancelling, (*Scheduler).cancelAttempts},
		{requestDone, inputUnservable, requestDone, nil},
		{requestDone, inputFinished, requestDone, nil},
		{requestAnyState, inputUnservable, requestDone, (*Scheduler).rejectOrFail},
		{requestAnyState, inputFinished, requestDone, (*Scheduler).cancelAttempts},
	}
	executorTransitions = []transition[executorState, executorInput]{
		{executorHealthy, inputUnresponsive, executorEjected, (*Scheduler).eject},
		{executorWarmingUp, inputUnresponsive, executorEjected, (*Scheduler).eject},
		{executorEjected, inputProbesAnswered, executorWarmingUp, (*Scheduler).startWarmup},
		{executorEjected, inputRestarted, executorEjected, (*Scheduler).startWarmup},
		{executorAnyState, inputRestarted, executorWarmingUp, (*Scheduler).startWarmup},
		{executorWarmingUp, inputWarmedUp, executorHealthy, nil},
	}
}
