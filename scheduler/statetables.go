package scheduler

// The state tables of requests and executors. A request is finished exactly once: no input takes a request out of
// requestDone or runs an action on it, so its client never gets a second answer.

var (
	requestTransitions  []transition[requestState, requestInput]
	executorTransitions []transition[executorState, executorInput]
)

// init fills the tables. A variable initializer can't, because the actions refer back to the tables, which the compiler
// rejects as an initialization cycle.
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
