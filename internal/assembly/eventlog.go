package assembly

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxEventLines      = 40 // lines about cluster events in each interval
	eventLogInterval   = 10 * time.Second
	eventLogIntervalMS = float64(eventLogInterval / time.Millisecond)
)

// eventLog limits the rate of log lines about cluster events, such as state changes of many members at once. It is not
// safe for concurrent use.
type eventLog struct {
	log           logrus.FieldLogger
	lines         int     // lines requested in the current interval
	intervalStart float64 // in ms of the transport's clock
	suppressed    uint64  // lines discarded in the current interval
}

// unlimited returns the log for a line that is always written.
func (l *eventLog) unlimited() logrus.FieldLogger { return l.log }

// rateLimited returns the log for one more line, or discardLog if the interval's limit is reached.
func (l *eventLog) rateLimited(now float64) logrus.FieldLogger {
	if now > l.intervalStart+eventLogIntervalMS {
		if l.suppressed > 0 {
			l.log.WithField("lines", l.suppressed).Warn("cluster: further changes were not logged one by one")
		}
		l.lines, l.intervalStart, l.suppressed = 0, now, 0
	}
	l.lines++
	if l.lines > maxEventLines {
		l.suppressed++
		return discardLog
	}
	return l.log
}

// discardLog is a log that discards its lines.
var discardLog = newDiscardLog()

func newDiscardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
