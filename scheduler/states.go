package scheduler

// States of a request, then of an executor.
const (
	waiting state = iota
	running
	recalling
	over
	fit
	aside
	chilled
	anyState
)

// Inputs of a request, then of an executor.
const (
	placed    input = iota // an executor was found for it
	missed                 // its attempt ended unhandled
	doomed                 // its attempt is lost or has a bad plan
	hopeless               // it can't be handled any more
	finished               // it was handled, or its client left
	silent                 // no sign of work, or only bad ones
	answered               // probes were answered
	restarted              // the list tells of a new start
	warmed                 // the time to warm up is over
)

var requestTable, executorTable []row

func init() {
	requestTable = []row{
		{waiting, placed, running, (*Scheduler).fire},
		{running, missed, waiting, nil},
		{recalling, missed, waiting, nil},
		{running, doomed, recalling, (*Scheduler).callOff},
		{over, hopeless, over, nil},
		{over, finished, over, nil},
		{anyState, hopeless, over, (*Scheduler).answer},
		{anyState, finished, over, (*Scheduler).callOff},
	}
	executorTable = []row{
		{fit, silent, aside, (*Scheduler).evict},
		{chilled, silent, aside, (*Scheduler).evict},
		{aside, answered, chilled, (*Scheduler).chill},
		{aside, restarted, aside, (*Scheduler).chill},
		{anyState, restarted, chilled, (*Scheduler).chill},
		{chilled, warmed, fit, nil},
	}
}

// state is where a request or an executor stands, input what happens to it; a row of a table in states.go
// says what follows.
type (
	state uint8
	input uint8
)

// verdict is the answer to whether an attempt may be sent.
type verdict uint8

const (
	yes verdict = iota
	notHere
	notNow
	never
)
