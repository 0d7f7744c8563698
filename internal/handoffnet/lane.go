package handoffnet

// Words to a member go by one of two ways: a datagram is half as long on its way as a call, but may be lost, and a member of a version
// before knows none. A lane decides which, by what came of the ones before. It reads no clock.

const (
	overMS     = 30   // until words whose datagram was not answered go again, by a call
	silences   = 3    // unanswered datagrams one after the other, until only calls are made
	secludedMS = 3000 // for which only calls are made; then one datagram is tried
	mostUnder  = 64   // datagrams to one member that wait for their answers; past it words wait, and go together
)

type laneState uint8

const (
	swift    laneState = iota // words go as datagrams
	trying                    // one datagram is out, to see whether they get through again; the others go by calls
	secluded                  // only calls are made
)

type laneInput uint8

const (
	answered laneInput = iota // a datagram was
	silent                    // one was not
	worn                      // time to try again
)

// lane is the way to one member.
type lane struct {
	state laneState
	quiet int     // datagrams that were not answered, one after the other
	since float64 // secluded since
}

var lanes = []struct {
	state laneState
	input laneInput
	next  laneState
}{
	{swift, silent, secluded}, // once there were so many
	{secluded, worn, trying},
	{secluded, answered, swift}, // a late answer is one, too
	{trying, answered, swift},
	{trying, silent, secluded},
}

func (l *lane) play(now float64, in laneInput) {
	switch in {
	case answered:
		l.quiet = 0
	case silent:
		if l.quiet++; l.state == swift && l.quiet < silences {
			return
		}
	}
	for _, r := range lanes {
		if r.state == l.state && r.input == in {
			if l.state = r.next; l.state == secluded {
				l.since = now
			}
			return
		}
	}
}

// takes tells whether the next words may go as a datagram, with so many under way.
func (l *lane) takes(now float64, under int) bool {
	if l.state == secluded && now >= l.since+secludedMS && under == 0 {
		l.play(now, worn)
		return true
	}
	return l.state == swift && under < mostUnder
}
