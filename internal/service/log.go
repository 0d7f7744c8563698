package service

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// lines writes log lines from a goroutine of its own: who logs never waits for the reader of the log. What
// doesn't fit is dropped and counted.
type lines struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

func (l *lines) Write(b []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

func (l *lines) run() {
	defer close(l.done)
	for b := range l.queue {
		_, _ = l.out.Write(b)
	}
}

// lastLines is the longest that the end waits for the log's reader: well within what a planned stop has left.
const lastLines = 100 * time.Millisecond

// NewLog returns a log on out, and what writes the rest of it at the end.
func NewLog(out io.Writer) (*logrus.Logger, func()) {
	l := &lines{out: out, queue: make(chan []byte, logRoom), done: make(chan struct{})}
	go l.run()
	log := logrus.New()
	log.SetOutput(l)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	return log, func() {
		log.SetOutput(io.Discard)
		close(l.queue)
		select {
		case <-l.done:
		case <-time.After(lastLines): // nobody reads them: the process ends all the same
		}
	}
}
