package ledger

// state is where a search stands. Its number stands in records on disks: it does not change.
type state uint8

const (
	waiting    state = 0 // no shot of it may have run, none is out
	out        state = 1 // a shot is out
	doubted    state = 2 // none is out, one may have run
	handled    state = 3 // the rest are ends
	denied     state = 4
	writtenOff state = 5
	left       state = 6
	stateEnd   state = 7
)

var outcomes = [stateEnd]Outcome{waiting: Open, out: Open, doubted: Open, handled: Succeeded, denied: Rejected,
	writtenOff: Failed, left: Abandoned}

func (s state) outcome() Outcome { return outcomes[s] }
func (s state) open() bool       { return s <= doubted }

// input is what happens to a search.
type input uint8

const (
	fires   input = iota
	clears        // its last shot out has ended, and none may have run
	spoils        // its last shot out has ended, and one may have run
	answers       // it was handled
	denies
	writesOff
	leaves
	crashes // the controller ended; what it recorded of shots is whole
	blanks  // the same, where shots are not recorded before they leave
)

// searchTable says what becomes of a search; what has no row changes nothing.
var searchTable = []struct {
	state  state
	input  input
	next   state
	effect func(*Ledger, Key, *search)
}{
	{waiting, fires, out, nil},
	{doubted, fires, out, nil},
	{out, fires, out, nil},
	{out, clears, waiting, nil},
	{out, spoils, doubted, nil},
	{waiting, answers, handled, (*Ledger).closes},
	{out, answers, handled, (*Ledger).closes},
	{doubted, answers, handled, (*Ledger).closes},
	{waiting, denies, denied, (*Ledger).closes},
	{out, denies, denied, (*Ledger).closes},
	{doubted, denies, denied, (*Ledger).closes},
	{waiting, writesOff, writtenOff, (*Ledger).closes},
	{out, writesOff, writtenOff, (*Ledger).closes},
	{doubted, writesOff, writtenOff, (*Ledger).closes},
	{waiting, leaves, left, (*Ledger).closes},
	{out, leaves, left, (*Ledger).closes},
	{doubted, leaves, left, (*Ledger).closes},
	// A crash: denied only where no shot can have run.
	{waiting, crashes, denied, (*Ledger).closes},
	{out, crashes, writtenOff, (*Ledger).closes},
	{doubted, crashes, writtenOff, (*Ledger).closes},
	{waiting, blanks, writtenOff, (*Ledger).closes},
	{out, blanks, writtenOff, (*Ledger).closes},
	{doubted, blanks, writtenOff, (*Ledger).closes},
}

// play plays an input to a search and tells whether that changed it.
func (l *Ledger) play(k Key, s *search, in input) bool {
	for i := range searchTable {
		if r := &searchTable[i]; r.state == s.state && r.input == in {
			s.state = r.next
			if r.effect != nil {
				r.effect(l, k, s)
			}
			return true
		}
	}
	return false
}

// standing is what a mark has come to.
type standing uint8

const (
	clear    standing = iota // no shot of it can have run
	inDoubt                  // one may have
	ran                      // it was handled, and the answer is kept
	ranBlank                 // it was handled, and the answer was not kept
)

// verdict is what becomes of a search whose mark is known.
type verdict uint8

const (
	fresh    verdict = iota // as any other
	again                   // where it is known as a repeat
	tellBody                // the answer on record is its answer
	tellRan                 // it ran; its answer is gone
	tellOff                 // it may have run, and no executor remembers it
)

// markTable says whether a mark may be sent: inside is within the time for which its group drops repeats.
var markTable = []struct {
	standing standing
	inside   bool
	verdict  verdict
}{
	{clear, true, fresh},
	{clear, false, fresh},
	{inDoubt, true, again},
	{inDoubt, false, tellOff},
	{ran, true, tellBody},
	{ran, false, tellBody},
	{ranBlank, true, again},
	{ranBlank, false, tellRan},
}

func judge(st standing, inside bool) verdict {
	for _, r := range markTable {
		if r.standing == st && r.inside == inside {
			return r.verdict
		}
	}
	return tellOff
}

// diskInput is what is heard of the disk.
type diskInput uint8

const (
	kept diskInput = iota
	lost           // a record could not be made to last
	slow           // it takes longer than a shot may be held
)

var diskTable = []struct {
	health health
	input  diskInput
	next   health
	say    string
}{
	{sound, lost, sick, "what must last can't be written: labelled and irreversible searches are denied, the others go on"},
	{sound, slow, sick, "the disk is slower than a shot may wait: labelled and irreversible searches are denied, the others go on"},
	{sick, kept, sound, "what must last is written again"},
}

func (l *Ledger) turn(in diskInput) {
	for _, r := range diskTable {
		if r.health == l.health && r.input == in {
			l.health, l.trialAt = r.next, l.now+trialMS
			l.do(Effect{Kind: LogMessage, Text: r.say})
			return
		}
	}
}
