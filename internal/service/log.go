package service

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	logQueueCapacity = 1024                   // lines that may wait to be written
	flushTimeout     = 100 * time.Millisecond // for the log's reader at the end: well within what a shutdown has left
)

// asyncWriter writes log lines from a goroutine of its own, so that who logs never waits for the reader of the log. What does not
// fit into its queue is dropped and counted.
type asyncWriter struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

func (w *asyncWriter) Write(b []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for line := range w.queue {
		_, _ = w.out.Write(line)
	}
}

// NewLog returns a log that writes to out, and a function that writes what is queued and ends the log.
func NewLog(out io.Writer) (log *logrus.Logger, flush func()) {
	w := &asyncWriter{out: out, queue: make(chan []byte, logQueueCapacity), done: make(chan struct{})}
	go w.run()
	log = logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return log, func() {
		log.SetOutput(io.Discard)
		close(w.queue)
		select {
		case <-w.done:
		case <-time.After(flushTimeout): // nobody reads the lines: the process ends all the same
		}
	}
}
