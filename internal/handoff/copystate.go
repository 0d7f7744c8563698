package handoff

// copyState is the state of a stored copy of a request.
type copyState uint8

const (
	stateHeld     copyState = iota // the owner is live
	stateOrphaned                  // the owner is lost
	stateClaimed                   // the owner is lost, and a successor has claimed its partition
	stateAdopted                   // a successor owns the request
	stateSettled                   // the request has ended
	stateDropped                   // the copy is withdrawn or expired and no longer stored
	copyStateCount
)

// copyStateNames has the names by state. They are shown by operators' tools and must not change.
var copyStateNames = [copyStateCount]string{"held", "orphaned", "claimed", "adopted", "settled", "dropped"}

// String returns the name of the state.
func (s copyState) String() string { return copyStateNames[s] }

// open reports whether the request has not ended.
func (s copyState) open() bool { return s <= stateAdopted }

// awaitsAdoption reports whether the owner is lost and no successor has adopted the request.
func (s copyState) awaitsAdoption() bool { return s == stateOrphaned || s == stateClaimed }

// copyInput is an event in the life of a stored copy.
type copyInput uint8

const (
	inputOwnerLost copyInput = iota // the owner is declared lost
	inputClaimed                    // a successor's claim is agreed
	inputUnclaimed                  // there is no claim: the successor is lost too, or its claim is settled
	inputAdopted                    // the successor has adopted the request
	inputClosed                     // the owner, or a former one, has reported the outcome
	inputRetired                    // the copy is withdrawn or expired
	inputReopened                   // a new request with the same key is registered
	copyInputCount
)

var copyInputNames = [copyInputCount]string{
	"owner lost", "claimed", "unclaimed", "adopted", "closed", "retired", "reopened",
}

// String returns the name of the input.
func (i copyInput) String() string { return copyInputNames[i] }

// copyTransition is one transition of the state machine of stored copies.
type copyTransition struct {
	state  copyState
	input  copyInput
	next   copyState
	action func(*Manager, *storedCopy) // nil: none
}

// copyTransitions lists all transitions. An input without one in the current state is ignored.
var copyTransitions = []copyTransition{
	{stateHeld, inputOwnerLost, stateOrphaned, nil},
	{stateAdopted, inputOwnerLost, stateOrphaned, nil},
	{stateOrphaned, inputClaimed, stateClaimed, nil},
	{stateClaimed, inputUnclaimed, stateOrphaned, nil},
	{stateClaimed, inputAdopted, stateAdopted, (*Manager).countAdopted},
	{stateOrphaned, inputAdopted, stateAdopted, (*Manager).countAdopted}, // the claim is not known here yet
	{stateHeld, inputClosed, stateSettled, (*Manager).countClosed},
	{stateAdopted, inputClosed, stateSettled, (*Manager).countClosed},
	{stateOrphaned, inputClosed, stateSettled, (*Manager).countClosed}, // a late report of the lost owner
	{stateClaimed, inputClosed, stateSettled, (*Manager).countClosed},
	{stateHeld, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateOrphaned, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateClaimed, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateAdopted, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateSettled, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateSettled, inputReopened, stateHeld, (*Manager).openCopy},
}

// transition applies an input to the state of a copy and runs the action of the transition.
func (m *Manager) transition(stored *storedCopy, input copyInput) {
	for i := range copyTransitions {
		transition := &copyTransitions[i]
		if transition.state != stored.state || transition.input != input {
			continue
		}
		stored.state = transition.next
		if transition.action != nil {
			transition.action(m, stored)
		}
		return
	}
}

// countClosed counts an ended request by its outcome.
func (m *Manager) countClosed(stored *storedCopy) {
	if stored.Outcome == Failed {
		m.counts.Failed++
	} else {
		m.counts.Settled++
	}
}

// countAdopted counts the copy of the lost owner as adopted, and that of the successor as a new one.
func (m *Manager) countAdopted(*storedCopy) {
	m.counts.Adopted++
	m.counts.CopiesReceived++
}
