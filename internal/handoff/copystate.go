package handoff

// copyState is the state of a stored copy.
type copyState uint8

const (
	stateHeld     copyState = iota // its owner is live
	stateOrphaned                  // its owner is lost
	stateClaimed                   // a successor has claimed it
	stateAdopted                   // the successor owns it
	stateSettled                   // it has ended
	stateDropped                   // it is not needed any more
	copyStateCount
)

// The names go to operators' tools: they do not change.
var copyStateNames = [copyStateCount]string{"held", "orphaned", "claimed", "adopted", "settled", "dropped"}

// String returns the name of the state.
func (s copyState) String() string { return copyStateNames[s] }

func (s copyState) open() bool { return s <= stateAdopted }

// awaitsAdoption reports whether the owner is lost and no successor has adopted the request.
func (s copyState) awaitsAdoption() bool { return s == stateOrphaned || s == stateClaimed }

// copyInput is what happens to a stored copy.
type copyInput uint8

const (
	inputOwnerLost copyInput = iota // its owner is declared lost
	inputClaimed                    // a successor's claim is agreed
	inputUnclaimed                  // the successor is lost, too, or has given its claim back
	inputAdopted                    // the successor owns it
	inputClosed                     // its owner, or a former one, has reported its outcome
	inputRetired                    // it is withdrawn, or has expired
	inputReopened                   // a new request of its key begins
	copyInputCount
)

var copyInputNames = [copyInputCount]string{"owner lost", "claimed", "unclaimed", "adopted", "closed", "retired", "reopened"}

// String returns the name of the input.
func (i copyInput) String() string { return copyInputNames[i] }

// copyTransition is what becomes of a copy in a state at an input.
type copyTransition struct {
	state  copyState
	input  copyInput
	next   copyState
	action func(*Manager, *storedCopy)
}

// copyTransitions has all transitions; an input that has none changes nothing.
var copyTransitions = []copyTransition{
	{stateHeld, inputOwnerLost, stateOrphaned, nil},
	{stateAdopted, inputOwnerLost, stateOrphaned, nil},
	{stateOrphaned, inputClaimed, stateClaimed, nil},
	{stateClaimed, inputUnclaimed, stateOrphaned, nil},
	{stateClaimed, inputAdopted, stateAdopted, (*Manager).countAdopted},
	{stateOrphaned, inputAdopted, stateAdopted, (*Manager).countAdopted}, // the claim was not known here yet
	{stateHeld, inputClosed, stateSettled, (*Manager).countClosed},
	{stateAdopted, inputClosed, stateSettled, (*Manager).countClosed},
	{stateOrphaned, inputClosed, stateSettled, (*Manager).countClosed}, // a late answer, before anybody adopted it
	{stateClaimed, inputClosed, stateSettled, (*Manager).countClosed},
	{stateHeld, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateOrphaned, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateClaimed, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateAdopted, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateSettled, inputRetired, stateDropped, (*Manager).dropCopy},
	{stateSettled, inputReopened, stateHeld, (*Manager).openCopy},
}

// transition applies an input to a copy.
func (m *Manager) transition(stored *storedCopy, input copyInput) {
	for i := range copyTransitions {
		t := &copyTransitions[i]
		if t.state != stored.state || t.input != input {
			continue
		}
		stored.state = t.next
		if t.action != nil {
			t.action(m, stored)
		}
		return
	}
}

func (m *Manager) countClosed(stored *storedCopy) {
	if stored.Outcome == Failed {
		m.counts.Failed++
	} else {
		m.counts.Settled++
	}
}

func (m *Manager) countAdopted(*storedCopy) {
	m.counts.Adopted++
	m.counts.CopiesReceived++
}
