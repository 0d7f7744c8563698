package dispatch

import "time"

// Clock is the time base of a controller: Unix milliseconds, read once at the start and monotonic from then on.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in Unix milliseconds.
func (c Clock) Now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start))/float64(time.Millisecond)
}

// until returns how long it is to a time of the clock, at least 0.
func (c Clock) until(at float64) time.Duration {
	return max(0, time.Duration((at-c.Now())*float64(time.Millisecond)))
}

type timerKind uint8

const (
	schedulerTimer   timerKind = iota // the scheduler set it
	deadlineTimer                     // the deadline of a request
	healthCheckTimer                  // an unanswered health check counts as missed
	releaseTimer                      // a delayed attempt leaves
	countersTimer                     // counters are logged
	tickTimer                         // extensions get their Ticked
)

var timerKindNames = [...]string{schedulerTimer: "scheduler", deadlineTimer: "deadline", healthCheckTimer: "health check",
	releaseTimer: "release", countersTimer: "counters", tickTimer: "tick"}

// String returns the name of the kind.
func (k timerKind) String() string { return timerKindNames[k] }

type timer struct {
	at       float64
	kind     timerKind
	token    uint64         // schedulerTimer, healthCheckTimer
	request  string         // deadlineTimer
	executor uint32         // healthCheckTimer
	running  RunningAttempt // releaseTimer
}

// timers is a binary heap, the earliest first.
type timers []timer

func (h *timers) push(t timer) {
	list := append(*h, t)
	i := len(list) - 1
	for i > 0 && list[(i-1)/2].at > t.at {
		list[i] = list[(i-1)/2]
		i = (i - 1) / 2
	}
	list[i] = t
	*h = list
}

func (h *timers) pop() timer {
	list := *h
	n := len(list) - 1
	first, last := list[0], list[n]
	list[n] = timer{} // keeps nothing alive
	i := 0
	for k := 1; k < n; k = 2*i + 1 {
		if k+1 < n && list[k+1].at < list[k].at {
			k++
		}
		if list[k].at >= last.at {
			break
		}
		list[i] = list[k]
		i = k
	}
	if n > 0 {
		list[i] = last
	}
	*h = list[:n]
	return first
}
