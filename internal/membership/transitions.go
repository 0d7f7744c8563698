package membership

// input is an input of the state machine of a member.
type input uint8

// Inputs of the state machine. The announcements Joining and Alive apply only if their refutation number is greater
// than the known one. The announcements Leaving and Left, and reports by other members, apply also if it is equal.
const (
	announcedJoining input = iota
	announcedAlive
	announcedLeaving
	announcedLeft
	reportedSuspect  // another member got no answer from the member
	reportedDead     // the suspicion of another member expired
	probeTimedOut    // a probe of this controller and the indirect probes on its behalf got no answer
	suspicionExpired // the member did not refute a suspicion of this view in time
)

// transition is a row of the transition table.
type transition struct {
	state  State
	input  input
	next   State
	action func(*View, *member, *Member)
}

// transitions is the transition table. An input without a row for the current state has no effect.
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
	{Alive, reportedDead, Suspect, (*View).startExpeditedSuspicion}, // the member may still refute
	{Suspect, announcedJoining, Joining, (*View).clearSuspicion},
	{Suspect, announcedAlive, Alive, (*View).clearSuspicion},
	{Suspect, reportedSuspect, Suspect, (*View).confirmSuspicion},
	{Suspect, probeTimedOut, Suspect, (*View).confirmSuspicion},
	{Suspect, reportedDead, Dead, (*View).recordDeath},
	{Suspect, suspicionExpired, Dead, (*View).recordDeath},
	{Dead, announcedJoining, Joining, (*View).recordRefutation},
	{Dead, announcedAlive, Alive, (*View).recordRefutation},
	{Leaving, probeTimedOut, Left, nil}, // the member has announced its shutdown
	{Leaving, reportedSuspect, Leaving, nil},
	{Leaving, reportedDead, Left, nil},
	{Left, announcedLeft, Left, nil},
	{anyState, announcedLeaving, Leaving, (*View).clearSuspicion},
	{anyState, announcedLeft, Left, (*View).clearSuspicion},
}

// findTransition returns the row for a state and an input, or nil. The wildcard rows are last in the table and do not
// apply to Left.
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

// inputFor maps the state in a received record to an input.
var inputFor = [...]input{Joining: announcedJoining, Alive: announcedAlive, Suspect: reportedSuspect,
	Dead: reportedDead, Leaving: announcedLeaving, Left: announcedLeft}
