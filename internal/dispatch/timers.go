package dispatch

import "time"

// Clock is the time base of a controller in Unix milliseconds. It reads the wall clock once, in NewClock, and is
// monotonic from then on.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in Unix milliseconds.
func (c Clock) Now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start))/float64(time.Millisecond)
}

// until returns the duration until a time of the clock, or 0 if that has passed.
func (c Clock) until(at float64) time.Duration {
	return max(0, time.Duration((at-c.Now())*float64(time.Millisecond)))
}

// timerKind tells what happens when a timer fires.
type timerKind uint8

const (
	schedulerTimer   timerKind = iota // the scheduler gets its TimerFired event
	deadlineTimer                     // the deadline of a request has passed
	healthCheckTimer                  // an unanswered health check times out
	releaseTimer                      // a delayed attempt is released
	countersTimer                     // the counters are logged
	tickTimer                         // the extensions get Ticked
)

var timerKindNames = [...]string{
	schedulerTimer:   "scheduler",
	deadlineTimer:    "deadline",
	healthCheckTimer: "health check",
	releaseTimer:     "release",
	countersTimer:    "counters",
	tickTimer:        "tick",
}

// String returns the name of the kind.
func (k timerKind) String() string { return timerKindNames[k] }

// timer is a timer of the loop. Only the fields of its kind are set.
type timer struct {
	at       float64
	kind     timerKind
	token    uint64         // schedulerTimer, healthCheckTimer
	request  string         // deadlineTimer: the id of the request
	executor uint32         // healthCheckTimer
	running  RunningAttempt // releaseTimer
}

// timers is a binary min-heap by time.
type timers []timer

// push adds a timer.
func (h *timers) push(added timer) {
	heap := append(*h, added)
	i := len(heap) - 1
	for i > 0 && heap[(i-1)/2].at > added.at {
		heap[i] = heap[(i-1)/2]
		i = (i - 1) / 2
	}
	heap[i] = added
	*h = heap
}

// pop removes the earliest timer and returns it. The heap must not be empty.
func (h *timers) pop() timer {
	heap := *h
	length := len(heap) - 1 // after the removal
	first, last := heap[0], heap[length]
	heap[length] = timer{} // drops the references that the slot holds
	i := 0
	for child := 1; child < length; child = 2*i + 1 {
		if child+1 < length && heap[child+1].at < heap[child].at {
			child++
		}
		if heap[child].at >= last.at {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	if length > 0 {
		heap[i] = last
	}
	*h = heap[:length]
	return first
}
