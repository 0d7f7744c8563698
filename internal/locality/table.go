package locality

import "slices"

// input is what a look at a zone comes to.
type input uint8

const (
	fine    input = iota // those that use it reach it
	thin                 // they reach a part of it
	doubt                // they don't agree
	gone                 // they, and others, or the list, or the view say that it is gone
	ordered              // an operator wants it empty
	open                 // that order is over
	due                  // the time of a stage, or of the wait for the return, is over, with good signs all along
	done                 // the last stage is over
)

// table says what becomes of a zone; what has no row changes nothing.
var table = []struct {
	state  State
	input  input
	next   State
	effect func(*looked)
}{
	{Healthy, thin, Degraded, nil},
	{Healthy, doubt, Suspected, nil},
	{Healthy, gone, Lost, (*looked).lose},
	{Degraded, fine, Healthy, nil},
	{Degraded, doubt, Suspected, nil},
	{Degraded, gone, Lost, (*looked).lose},
	{Suspected, fine, Healthy, nil},
	{Suspected, thin, Degraded, nil},
	{Suspected, gone, Lost, (*looked).lose},
	{Lost, due, Recovering, (*looked).begin},
	{Recovering, thin, Recovering, (*looked).fall},
	{Recovering, doubt, Recovering, (*looked).fall},
	{Recovering, gone, Lost, (*looked).lose},
	{Recovering, due, Recovering, (*looked).rise},
	{Recovering, done, Healthy, (*looked).whole},
	{Evacuated, open, Recovering, (*looked).begin},
	{Healthy, ordered, Evacuated, (*looked).empty},
	{Degraded, ordered, Evacuated, (*looked).empty},
	{Suspected, ordered, Evacuated, (*looked).empty},
	{Lost, ordered, Evacuated, (*looked).empty},
	{Recovering, ordered, Evacuated, (*looked).empty},
}

// looked is a zone under a look, with what the one who leads remembers of it.
type looked struct {
	zone *Zone
	memo *memo
	now  float64
}

// memo is what the leader remembers of a zone besides the plan. A new leader begins with nothing: times begin anew, which is later.
type memo struct {
	since  float64     // of the state, or the stage
	good   float64     // since when there have been good signs alone; 0: there are none
	lostAt float64     // of the last loss
	last   input       // what the last looks said
	times  int         // how often in a row
	wants  float64     // of its controllers, smoothed
	peaks  [60]float64 // most of that, by the minute
	minute int
	fixed  bool // what it wants is given, and not seen
}

// note keeps the most that was wanted in each of the last sixty minutes.
func (m *memo) note(now float64) {
	for minute := int(now / 60e3); m.minute < minute; {
		m.minute = max(m.minute+1, minute-len(m.peaks)+1)
		m.peaks[m.minute%len(m.peaks)] = 0
	}
	k := m.minute % len(m.peaks)
	m.peaks[k] = max(m.peaks[k], m.wants)
}

// peak is the most that was wanted in the last hour, as far as this leader has led.
func (m *memo) peak() float64 { return slices.Max(m.peaks[:]) }

func (l *looked) play(in input) bool {
	for _, r := range table {
		if r.state == l.zone.State && r.input == in {
			if l.zone.State != r.next || r.effect != nil {
				l.memo.since = l.now
			}
			if l.zone.State = r.next; r.effect != nil {
				r.effect(l)
			}
			return true
		}
	}
	return false
}

// lose counts a loss soon after another as one more of the same.
func (l *looked) lose() {
	if l.memo.lostAt > 0 && l.now < l.memo.lostAt+flapMS+longWait {
		l.zone.Flaps++
	} else {
		l.zone.Flaps = 0
	}
	l.memo.lostAt, l.memo.good, l.zone.Stage = l.now, 0, 0
}

func (l *looked) begin() { l.zone.Stage = 0 }
func (l *looked) empty() { l.zone.Stage, l.memo.good = 0, 0 }
func (l *looked) rise()  { l.zone.Stage++ }
func (l *looked) whole() { l.zone.Stage = 0 }

// fall gives a stage back at each bad look: faster than it was gained.
func (l *looked) fall() { l.zone.Stage, l.memo.good = max(0, l.zone.Stage-1), 0 }

// waits is how long a lost zone must be in reach before its return begins.
func (z *Zone) waits(b *Settings) float64 {
	wait := b.RecoveryWaitMS
	for range min(z.Flaps, 16) {
		wait = min(longWait, 2*wait)
	}
	return wait
}

// share is what of a zone's room is open to its own searches, and whether that is all.
func (z *Zone) share() (share float64, all bool) {
	switch z.State {
	case Lost, Evacuated:
		return 0, false
	case Recovering:
		return stages[min(z.Stage, len(stages)-1)], false
	}
	return 1, true
}
