package assembly

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxEventLines    = 40 // lines for events of members, in each span
	eventLinesSpan   = 10 * time.Second
	eventLinesSpanMS = float64(eventLinesSpan / time.Millisecond)
)

// eventLog bounds the lines that a cluster in trouble costs. One goroutine uses it.
type eventLog struct {
	log     logrus.FieldLogger
	lines   int
	since   float64 // when the span began
	skipped uint64
}

// always returns the log for a line that is not bounded.
func (l *eventLog) always() logrus.FieldLogger { return l.log }

// bounded returns the log for one more line, or one that discards it.
func (l *eventLog) bounded(now float64) logrus.FieldLogger {
	if now > l.since+eventLinesSpanMS {
		if l.skipped > 0 {
			l.log.WithField("lines", l.skipped).Warn("cluster: further changes were not logged one by one")
		}
		l.lines, l.since, l.skipped = 0, now, 0
	}
	l.lines++
	if l.lines > maxEventLines {
		l.skipped++
		return discarded
	}
	return l.log
}

// discarded is a log that discards its lines.
var discarded = newDiscarded()

func newDiscarded() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
