package testservers

import (
	"sync"
	"time"
)

// Run is one run of a request at an executor.
type Run struct {
	ID, IdempotencyKey, Executor string
	At                           time.Time
	WaitLimit                    time.Duration // the limit that the controller gave for it
}

// RunLog records the runs of all executors that share it and recognizes repeats of an idempotency key.
type RunLog struct {
	mu      sync.Mutex
	runs    []Run
	lastRun map[dedupKey]time.Time
}

// dedupKey is an idempotency key within the group of executors that drops its repeats.
type dedupKey struct{ key, group string }

// Runs returns all runs so far.
func (m *RunLog) Runs() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Run(nil), m.runs...)
}

// record adds a run unless it repeats one of its group within the deduplication window.
func (m *RunLog) record(run Run, group string, window time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastRun == nil {
		m.lastRun = map[dedupKey]time.Time{}
	}
	key := dedupKey{run.IdempotencyKey, group}
	last, known := m.lastRun[key]
	if run.IdempotencyKey != "" && known && window > 0 && run.At.Sub(last) < window {
		return
	}
	m.lastRun[key] = run.At
	m.runs = append(m.runs, run)
}
