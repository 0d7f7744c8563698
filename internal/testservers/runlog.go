package testservers

import (
	"sync"
	"time"
)

// Run is one run of a request at an executor.
type Run struct {
	ID, IdempotencyKey, Executor string
	At                           time.Time
	WaitLimit                    time.Duration // the limit that the controller sent with the request
}

// RunLog records the runs of all executors that share it and recognizes repeats of an idempotency key.
type RunLog struct {
	mu      sync.Mutex
	runs    []Run
	lastRun map[dedupKey]time.Time
}

// dedupKey is an idempotency key within the group of executors that drops its repeats.
type dedupKey struct{ key, group string }

// Runs returns a copy of all runs so far.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// record adds a run, unless its key ran in the same group within the deduplication window.
func (l *RunLog) record(run Run, group string, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastRun == nil {
		l.lastRun = map[dedupKey]time.Time{}
	}
	key := dedupKey{run.IdempotencyKey, group}
	last, known := l.lastRun[key]
	if run.IdempotencyKey != "" && known && window > 0 && run.At.Sub(last) < window {
		return
	}
	l.lastRun[key] = run.At
	l.runs = append(l.runs, run)
}
