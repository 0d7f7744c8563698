package dispatch

import "time"

// Clock is the one time base: Unix milliseconds, read once at the start and monotonic from then on.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time in milliseconds.
func (c Clock) Now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start))/float64(time.Millisecond)
}

// until is how long it is to a time of the clock; never below 0.
func (c Clock) until(at float64) time.Duration {
	return max(0, time.Duration((at-c.Now())*float64(time.Millisecond)))
}

type alarm uint8

const (
	wakes    alarm = iota // the module asked for it
	limits                // the hard limit of a request
	probes                // an unanswered probe counts as missed
	releases              // an attempt held back goes out
	tallies               // counters are due in the log
	ticks                 // the memory looks at its own
)

type timer struct {
	at       float64
	what     alarm
	token    uint64
	request  string
	executor uint32
	run      RunningAttempt
}

// timers is a heap, the earliest first.
type timers []timer

func (h *timers) push(t timer) {
	s := append(*h, t)
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > t.at {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i], *h = t, s
}

func (h *timers) pop() timer {
	s := *h
	first, last, n := s[0], s[len(s)-1], len(s)-1
	s[n] = timer{}
	i := 0
	for k := 1; k < n; k = 2*i + 1 {
		if k+1 < n && s[k+1].at < s[k].at {
			k++
		}
		if s[k].at >= last.at {
			break
		}
		s[i] = s[k]
		i = k
	}
	if n > 0 {
		s[i] = last
	}
	*h = s[:n]
	return first
}
