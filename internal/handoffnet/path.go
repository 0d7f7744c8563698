package handoffnet

// A batch goes to a member as a datagram or by a call. A datagram takes half the time of a call, but may be lost, and members of earlier
// versions know none. A transportPath decides which way is taken by what became of earlier datagrams. It reads no clock.

const (
	maxUnanswered        = 3    // datagrams in a row, until only calls are made
	callsOnlyMS          = 3000 // until one datagram is tried again
	maxDatagramsInFlight = 64   // to one member; beyond it batches wait, and go together
)

// pathState is the state of a transportPath.
type pathState uint8

const (
	pathDatagrams pathState = iota // batches go as datagrams
	pathProbing                    // one datagram is out, to see whether they get through again; other batches go by calls
	pathCallsOnly                  // only calls are made
)

var pathStateNames = [...]string{"datagrams", "probing", "calls only"}

// String returns the name of the state.
func (s pathState) String() string { return pathStateNames[s] }

// pathInput is what happens to a transportPath.
type pathInput uint8

const (
	inputAnswered   pathInput = iota // a datagram was answered
	inputUnanswered                  // a datagram was not answered in time
	inputRetryDue                    // a datagram is to be tried again
)

var pathInputNames = [...]string{"answered", "unanswered", "retry due"}

// String returns the name of the input.
func (i pathInput) String() string { return pathInputNames[i] }

// transportPath is the way to one member.
type transportPath struct {
	state          pathState
	unanswered     int // datagrams in a row
	callsOnlySince float64
}

// pathTransitions has all transitions; an input that has none changes nothing.
var pathTransitions = []struct {
	state pathState
	input pathInput
	next  pathState
}{
	{pathDatagrams, inputUnanswered, pathCallsOnly}, // after maxUnanswered
	{pathCallsOnly, inputRetryDue, pathProbing},
	{pathCallsOnly, inputAnswered, pathDatagrams}, // a late answer is one, too
	{pathProbing, inputAnswered, pathDatagrams},
	{pathProbing, inputUnanswered, pathCallsOnly},
}

func (p *transportPath) handle(now float64, input pathInput) {
	switch input {
	case inputAnswered:
		p.unanswered = 0
	case inputUnanswered:
		p.unanswered++
		if p.state == pathDatagrams && p.unanswered < maxUnanswered {
			return
		}
	}
	for _, t := range pathTransitions {
		if t.state != p.state || t.input != input {
			continue
		}
		p.state = t.next
		if p.state == pathCallsOnly {
			p.callsOnlySince = now
		}
		return
	}
}

// takeDatagram reports whether the next batch may go as a datagram, with so many in flight.
func (p *transportPath) takeDatagram(now float64, inFlight int) bool {
	if p.state == pathCallsOnly && now >= p.callsOnlySince+callsOnlyMS && inFlight == 0 {
		p.handle(now, inputRetryDue)
		return true
	}
	return p.state == pathDatagrams && inFlight < maxDatagramsInFlight
}
