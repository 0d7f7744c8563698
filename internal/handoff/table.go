package handoff

// state is where a search stands in the eyes of one that keeps a copy.
type state uint8

const (
	held     state = iota // its owner has it in hand
	orphaned              // its owner is lost
	claimed               // an heir has claimed it
	adopted               // the heir has it in hand
	settled               // it has ended
	dropped               // nobody needs to know it any more
	stateEnd
)

var stateNames = [stateEnd]string{"held", "orphaned", "claimed", "adopted", "settled", "dropped"}

func (s state) open() bool { return s <= adopted }

// input is what happens to a copy.
type input uint8

const (
	loses   input = iota // its owner is declared lost
	claims               // the council gives it to an heir
	lapses               // the heir is lost, too, or gives its claim back
	takes                // the heir says that it has it
	ends                 // its owner, or one that was, says what became of it
	retires              // nobody wants it any more: withdrawn, or its time is over
	returns              // a new search of its mark begins
)

// table says what becomes of a copy; what has no row changes nothing.
var table = []struct {
	state  state
	input  input
	next   state
	effect func(*Manager, *kept)
}{
	{held, loses, orphaned, nil},
	{adopted, loses, orphaned, nil},
	{orphaned, claims, claimed, nil},
	{claimed, lapses, orphaned, nil},
	{claimed, takes, adopted, (*Manager).countTaken},
	{orphaned, takes, adopted, (*Manager).countTaken}, // the claim was heard of only now
	{held, ends, settled, (*Manager).countEnd},
	{adopted, ends, settled, (*Manager).countEnd},
	{orphaned, ends, settled, (*Manager).countEnd}, // a late answer, before anybody went on with it
	{claimed, ends, settled, (*Manager).countEnd},
	{held, retires, dropped, (*Manager).drop},
	{orphaned, retires, dropped, (*Manager).drop},
	{claimed, retires, dropped, (*Manager).drop},
	{adopted, retires, dropped, (*Manager).drop},
	{settled, retires, dropped, (*Manager).drop},
	{settled, returns, held, (*Manager).begin},
}

// play plays an input to a copy and tells whether that changed it.
func (e *Manager) play(k *kept, in input) bool {
	for i := range table {
		if r := &table[i]; r.state == k.state && r.input == in {
			k.state = r.next
			if r.effect != nil {
				r.effect(e, k)
			}
			return true
		}
	}
	return false
}
