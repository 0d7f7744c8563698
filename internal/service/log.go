package service

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	logQueueCapacity = 1024 // lines
	logFlushTimeout  = 100 * time.Millisecond
)

// asyncWriter writes log lines on its own goroutine, so that logging never blocks on a slow reader of the log. It drops
// and counts the lines that do not fit into its queue.
type asyncWriter struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// Write queues a copy of the line or drops it. It never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the queue is closed.
func (w *asyncWriter) run() {
	defer close(w.done)
	for line := range w.queue {
		_, _ = w.out.Write(line)
	}
}

// NewLog returns a log that writes to out, and a function that writes the queued lines and closes the log.
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
		case <-time.After(logFlushTimeout): // the process must end even if nobody reads its log
		}
	}
}
