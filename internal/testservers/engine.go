// Package testservers plays the outside of a controller for tests and measurements, on loopback: one kind of engine, the list of
// engines, and a client. All of it is written from the pages on the protocols. The daemon never uses it.
package testservers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Rows is what every engine answers.
const ResultRows = "a\tb\tc\n"

// Executor is one engine. It counts each run of a mark and of an id.
type Executor struct {
	Name         string
	Zone         string
	DedupWindow  time.Duration // for how long it drops repeats of a mark: it answers, and nothing runs; 0: it drops none
	Work         time.Duration
	WorkByClass  map[string]time.Duration // by offering, where that differs
	Cores        int                      // that searches share by their priorities, 1 : 4 : 8 : 16; 0: any number
	Memory       *Memory                  // what it and others of its group remember
	MaxInFlight  int                      // searches at a time, past which it answers that it is full, where it has Cores; 0: any number
	RejectedFull atomic.Uint64            // such answers
	Hangs        atomic.Bool              // it takes searches, and answers nothing but probes
	peakJobs     int
	unreachable  bool

	jobs              map[*job]struct{}
	stopped           chan struct{}
	listener          net.Listener
	secondListener    net.Listener // another address of it, which can be cut by itself
	secondUnreachable bool
	mu                sync.Mutex
	conns             map[net.Conn]bool // whether they came by the second address
}

// Run is one run of a search.
type Run struct {
	ID, IdempotencyKey, Executor string
	At                           time.Time
	WaitLimit                    time.Duration // how long its controller said to wait
}

// Memory counts runs, and knows repeats, for all engines that share it.
type Memory struct {
	mu   sync.Mutex
	runs []Run
	last map[string]time.Time // by mark and group
}

// Runs gives all runs so far.
func (m *Memory) Runs() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Run(nil), m.runs...)
}

// record books a run unless it is a repeat that the group drops.
func (m *Memory) record(r Run, group string, drops time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last == nil {
		m.last = map[string]time.Time{}
	}
	at, known := m.last[r.IdempotencyKey+"\x00"+group]
	if r.IdempotencyKey != "" && known && drops > 0 && r.At.Sub(at) < drops {
		return
	}
	m.last[r.IdempotencyKey+"\x00"+group] = r.At
	m.runs = append(m.runs, r)
}

// Start listens on a loopback address.
func (e *Executor) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if e.Memory == nil {
		e.Memory = &Memory{}
	}
	e.stopped = make(chan struct{})
	if e.Cores > 0 {
		e.jobs = map[*job]struct{}{}
		go e.runJobs()
	}
	if e.secondListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	e.listener, e.conns = l, map[net.Conn]bool{}
	go e.accept(l, false)
	go e.accept(e.secondListener, true)
	return nil
}

// accept takes connections; while that way is cut they end at once.
func (e *Executor) accept(l net.Listener, second bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		cut := e.unreachable || e.secondUnreachable && second
		if !cut {
			e.conns[c] = second
		}
		e.mu.Unlock()
		if cut {
			_ = c.Close()
			continue
		}
		go e.serve(c)
	}
}

// Address is where it listens.
func (e *Executor) Address() string { return e.listener.Addr().String() }

// SecondAddress is its other address.
func (e *Executor) SecondAddress() string { return e.secondListener.Addr().String() }

// SetSecondUnreachable has it out of reach by its other address alone, or in reach again.
func (e *Executor) SetSecondUnreachable(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.secondUnreachable = cut
	for c, second := range e.conns {
		if cut && second {
			_ = c.Close()
			delete(e.conns, c)
		}
	}
}

// SetUnreachable has it out of reach, or in reach again: connections end, and new ones end at once. What runs there goes on.
func (e *Executor) SetUnreachable(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable = cut; cut {
		for c := range e.conns {
			_ = c.Close()
		}
		clear(e.conns)
	}
}

// Stop ends it and its connections.
func (e *Executor) Stop() {
	_ = e.listener.Close()
	_ = e.secondListener.Close()
	e.mu.Lock()
	if e.stopped != nil {
		close(e.stopped)
		e.stopped = nil
	}
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// serve answers one connection. What is given up, or whose connection ends, has run all the same.
func (e *Executor) serve(c net.Conn) {
	defer c.Close()
	var out sync.Mutex
	say := func(words ...string) {
		out.Lock()
		defer out.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write(encodeArray(words))
	}
	given, mine := map[string]bool{}, map[string]*job{}
	var mu sync.Mutex
	for r := bufio.NewReader(c); ; {
		w, err := readArray(r)
		if err != nil || len(w) < 2 {
			return
		}
		switch w[0] {
		case "alive", "stats":
			say(w[1], "well", "-")
		case "abort":
			mu.Lock()
			given[w[1]] = true
			e.endJob(mine[w[1]])
			mu.Unlock()
		case "renice":
			if len(w) > 2 {
				mu.Lock()
				e.renice(mine[w[1]], w[2])
				mu.Unlock()
			}
		case "more":
			say(w[1], "failed", "-")
		case "fetch":
			mark, work, level, most := "", e.Work, "1", 0
			for _, f := range strings.Split(w[2], ",") {
				if v, ok := strings.CutPrefix(f, "replay="); ok {
					mark = v
				}
				if v, ok := strings.CutPrefix(f, "max="); ok {
					most, _ = strconv.Atoi(v)
				}
				if v, ok := strings.CutPrefix(f, "nice="); ok {
					level = v
				}
				if v, ok := strings.CutPrefix(f, "profile="); ok && e.WorkByClass[v] > 0 {
					work = e.WorkByClass[v]
				}
			}
			if e.rejectsForSpace() {
				say(w[1], "full", "-")
				break
			}
			e.Memory.record(Run{w[1], mark, e.Name, time.Now(), time.Duration(most) * time.Millisecond}, e.Zone, e.DedupWindow)
			if e.Hangs.Load() {
				break
			}
			done := func() {
				mu.Lock()
				gone := given[w[1]]
				delete(mine, w[1])
				mu.Unlock()
				if !gone {
					say(w[1], "data", "batches=1", ResultRows)
				}
			}
			if e.Cores == 0 {
				time.AfterFunc(work, done)
				break
			}
			mu.Lock()
			mine[w[1]] = e.startJob(work, level, done)
			mu.Unlock()
		}
	}
}

func encodeArray(words []string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func readArray(r *bufio.Reader) ([]string, error) {
	count := func(sign byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if line[0] != sign {
			return 0, fmt.Errorf("%q instead of %q", line[0], sign)
		}
		n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err == nil && (n < 0 || n > 1<<20) {
			err = fmt.Errorf("a length of %d", n)
		}
		return n, err
	}
	n, err := count('*')
	if err != nil || n > 16 {
		return nil, fmt.Errorf("%d words: %w", n, err)
	}
	words := make([]string, n)
	for k := range words {
		size, err := count('$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[k] = string(b[:size])
	}
	return words, nil
}

// job is a search that runs on an engine with cores.
type job struct {
	remainingMS float64 // ms of one core
	weight      float64
	done        func()
}

var priorityWeights = map[string]float64{"0": 1, "1": 4, "2": 8, "3": 16}

func (e *Executor) startJob(work time.Duration, level string, done func()) *job {
	j := &job{float64(work) / float64(time.Millisecond), max(1, priorityWeights[level]), done}
	e.mu.Lock()
	e.jobs[j] = struct{}{}
	e.mu.Unlock()
	return j
}

// rejectsForSpace tells whether there is no room for one more.
func (e *Executor) rejectsForSpace() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peakJobs = max(e.peakJobs, len(e.jobs)); e.MaxInFlight == 0 || len(e.jobs) < e.MaxInFlight {
		return false
	}
	e.RejectedFull.Add(1)
	return true
}

// TakePeakInFlight gives how many searches it had at a time at most, since it was asked last.
func (e *Executor) TakePeakInFlight() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, e.peakJobs = e.peakJobs, len(e.jobs)
	return n
}

func (e *Executor) endJob(j *job) {
	e.mu.Lock()
	delete(e.jobs, j)
	e.mu.Unlock()
}

func (e *Executor) renice(j *job, level string) {
	e.mu.Lock()
	if j != nil {
		j.weight = max(1, priorityWeights[level])
	}
	e.mu.Unlock()
}

// runJobs gives each job its part of the cores, by weight and one core at most, as time goes by.
func (e *Executor) runJobs() {
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-stopped:
			return
		case now := <-tick.C:
			ms := float64(now.Sub(last)) / float64(time.Millisecond)
			last = now
			for _, done := range e.advance(ms) {
				done()
			}
		}
	}
}

// advance lets the jobs run for a time and gives those that end.
func (e *Executor) advance(ms float64) (ended []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cores, weight := float64(e.Cores), 0.0
	for j := range e.jobs {
		weight += j.weight
	}
	whole := map[*job]bool{} // those whose part is a core: what they leave goes to the others
	for again := true; again; {
		again = false
		for j := range e.jobs {
			if !whole[j] && weight > 0 && cores*j.weight >= weight {
				whole[j], again = true, true
				cores, weight = cores-1, weight-j.weight
			}
		}
	}
	for j := range e.jobs {
		part := 1.0
		if !whole[j] {
			part = cores * j.weight / weight
		}
		if j.remainingMS -= ms * part; j.remainingMS <= 0 {
			delete(e.jobs, j)
			ended = append(ended, j.done)
		}
	}
	return ended
}
