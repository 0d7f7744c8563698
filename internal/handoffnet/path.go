package handoffnet

const (
	maxUnanswered        = 3    // consecutive unanswered datagrams after which only calls are made
	callsOnlyMS          = 3000 // time for which only calls are made, until one datagram is sent as a probe
	maxDatagramsInFlight = 64   // unanswered datagrams per member; while there are as many, batches go by calls
)

// pathState is the state of a transportPath.
type pathState uint8

const (
	pathDatagrams pathState = iota // short batches go as datagrams
	pathProbing                    // one datagram is in flight as a probe; other batches go by calls
	pathCallsOnly                  // all batches go by calls
)

var pathStateNames = [...]string{"datagrams", "probing", "calls only"}

// String returns the name of the state.
func (s pathState) String() string { return pathStateNames[s] }

// pathInput is an input of the state machine of a transportPath.
type pathInput uint8

const (
	inputAnswered   pathInput = iota // a datagram was answered
	inputUnanswered                  // a datagram was not answered in time
	inputRetryDue                    // a datagram is to be sent as a probe
)

var pathInputNames = [...]string{"answered", "unanswered", "retry due"}

// String returns the name of the input.
func (i pathInput) String() string { return pathInputNames[i] }

// transportPath decides whether batches go to a member as datagrams or by calls, by the outcomes of earlier datagrams.
// A datagram takes half the time of a call but may be lost, and members of earlier versions do not answer datagrams. It
// does not read the clock.
type transportPath struct {
	state          pathState
	unanswered     int // consecutive unanswered datagrams
	callsOnlySince float64
}

// pathTransitions lists all transitions. Inputs that are not listed for a state leave the state unchanged.
var pathTransitions = []struct {
	state pathState
	input pathInput
	next  pathState
}{
	{pathDatagrams, inputUnanswered, pathCallsOnly}, // only after maxUnanswered in a row; see handle
	{pathCallsOnly, inputRetryDue, pathProbing},
	{pathCallsOnly, inputAnswered, pathDatagrams}, // the answer was late
	{pathProbing, inputAnswered, pathDatagrams},
	{pathProbing, inputUnanswered, pathCallsOnly},
}

// handle counts consecutive unanswered datagrams and applies the transition for an input.
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

// allowDatagram reports whether the next batch may go as a datagram, given the number of datagrams in flight. When a
// retry is due, it allows one datagram as a probe.
func (p *transportPath) allowDatagram(now float64, inFlight int) bool {
	if p.state == pathCallsOnly && now >= p.callsOnlySince+callsOnlyMS && inFlight == 0 {
		p.handle(now, inputRetryDue)
		return true
	}
	return p.state == pathDatagrams && inFlight < maxDatagramsInFlight
}
