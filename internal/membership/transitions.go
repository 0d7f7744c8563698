package membership

// input is what moves a member from one state to another.
type input uint8

// Inputs. An announcement of a member counts if its refutation number is later than the known one, a report by others if it is not
// earlier, and an announcement of a shutdown if it is not earlier either.
const (
	announcedJoining input = iota
	announcedAlive
	announcedLeaving
	announcedLeft
	reportedSuspect  // another member had no answer from it
	reportedDead     // another member's suspicion expired
	probeTimedOut    // neither this controller nor others on its behalf had an answer
	suspicionExpired // the time for a refutation is over
)

// transition is a row of the transition table.
type transition struct {
	state  State
	input  input
	next   State
	action func(*View, *member, *Member)
}

// transitions gives for a state and an input the next state and an action. Inputs without a row change nothing.
var transitions = []transition{
	{Unknown, announcedJoining, Joining, nil},
	{Unknown, announcedAlive, Alive, nil},
	{Unknown, announcedLeaving, Leaving, nil},
	{Unknown, announcedLeft, Left, nil},
	{Unknown, reportedSuspect, Suspect, (*View).startSuspicion},
	{Unknown, reportedDead, Dead, nil},
	{Joining, announcedAlive, Alive, nil},
	{Joining, reportedSuspect, Suspect, (*View).startSuspicion},
	{Joining, probeTimedOut, Suspect, (*View).startSuspicion},
	{Joining, reportedDead, Suspect, (*View).startExpeditedSuspicion},
	{Alive, announcedAlive, Alive, nil},
	{Alive, reportedSuspect, Suspect, (*View).startSuspicion},
	{Alive, probeTimedOut, Suspect, (*View).startSuspicion},
	{Alive, reportedDead, Suspect, (*View).startExpeditedSuspicion}, // it may still refute before this view gives it up, too
	{Suspect, announcedJoining, Joining, (*View).clearSuspicion},
	{Suspect, announcedAlive, Alive, (*View).clearSuspicion},
	{Suspect, reportedSuspect, Suspect, (*View).confirmSuspicion},
	{Suspect, probeTimedOut, Suspect, (*View).confirmSuspicion},
	{Suspect, reportedDead, Dead, (*View).recordDeath},
	{Suspect, suspicionExpired, Dead, (*View).recordDeath},
	{Dead, announcedJoining, Joining, (*View).recordReturn},
	{Dead, announcedAlive, Alive, (*View).recordReturn},
	{Leaving, probeTimedOut, Left, nil}, // it had announced its shutdown
	{Leaving, reportedSuspect, Leaving, nil},
	{Leaving, reportedDead, Left, nil},
	{Left, announcedLeft, Left, nil},
	{anyState, announcedLeaving, Leaving, (*View).clearSuspicion},
	{anyState, announcedLeft, Left, (*View).clearSuspicion},
}

// findTransition returns the row for a state and an input, or nil. A row for the state itself comes before a wildcard.
func findTransition(state State, in input) *transition {
	for k := range transitions {
		t := &transitions[k]
		if t.input != in {
			continue
		}
		if t.state == state || t.state == anyState && state != Left {
			return t
		}
	}
	return nil
}

// inputFor maps the state in a received record to the input that it is.
var inputFor = [...]input{Joining: announcedJoining, Alive: announcedAlive, Suspect: reportedSuspect, Dead: reportedDead,
	Leaving: announcedLeaving, Left: announcedLeft}
