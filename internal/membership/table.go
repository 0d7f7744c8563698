package membership

// input is what a member's phase goes by.
type input uint8

// Inputs. What a member says of itself counts if its incarnation is later than the one held; what others say, if it is not
// earlier; what it says on leaving, if it is not earlier either.
const (
	saysJoining input = iota
	saysHere
	saysLeaving
	saysLeft
	accused   // somebody had no answer from it
	condemned // somebody waited in vain for it to say that it is here
	silent    // no answer to this controller, nor by way of others
	expired   // the time in which it could have said that it is here is over
)

type row struct {
	phase State
	input input
	next  State
	do    func(*View, *member, *Member)
}

// table has for each phase and input the next phase and what is done besides. What is not in it changes nothing.
var table = []row{
	{Unknown, saysJoining, Joining, nil},
	{Unknown, saysHere, Alive, nil},
	{Unknown, saysLeaving, Leaving, nil},
	{Unknown, saysLeft, Left, nil},
	{Unknown, accused, Suspect, (*View).accuse},
	{Unknown, condemned, Dead, nil},
	{Joining, saysHere, Alive, nil},
	{Joining, accused, Suspect, (*View).accuse},
	{Joining, silent, Suspect, (*View).accuse},
	{Joining, condemned, Suspect, (*View).hasten},
	{Alive, saysHere, Alive, nil},
	{Alive, accused, Suspect, (*View).accuse},
	{Alive, silent, Suspect, (*View).accuse},
	{Alive, condemned, Suspect, (*View).hasten}, // it may say that it is here before this view, too, gives it up
	{Suspect, saysJoining, Joining, (*View).acquit},
	{Suspect, saysHere, Alive, (*View).acquit},
	{Suspect, accused, Suspect, (*View).confirm},
	{Suspect, silent, Suspect, (*View).confirm},
	{Suspect, condemned, Dead, (*View).bury},
	{Suspect, expired, Dead, (*View).bury},
	{Dead, saysJoining, Joining, (*View).welcome},
	{Dead, saysHere, Alive, (*View).welcome},
	{Leaving, silent, Left, nil}, // it said that it would go
	{Leaving, accused, Leaving, nil},
	{Leaving, condemned, Left, nil},
	{Left, saysLeft, Left, nil},
	{anyPhase, saysLeaving, Leaving, (*View).acquit},
	{anyPhase, saysLeft, Left, (*View).acquit},
}

// find gives the row for a phase and an input, or nil. A row for its own phase goes before one for any.
func find(p State, in input) *row {
	for k := range table {
		if r := &table[k]; r.input == in && (r.phase == p || r.phase == anyPhase && p != Left) {
			return r
		}
	}
	return nil
}

// inputs gives the input that news of a member in some phase is.
var inputs = [...]input{Joining: saysJoining, Alive: saysHere, Suspect: accused, Dead: condemned, Leaving: saysLeaving, Left: saysLeft}
