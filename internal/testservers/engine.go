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
const Rows = "a\tb\tc\n"

// Executor is one engine. It counts each run of a mark and of an id.
type Executor struct {
	Name        string
	Zone        string
	DedupWindow time.Duration // for how long it drops repeats of a mark: it answers, and nothing runs; 0: it drops none
	Work        time.Duration
	WorkByClass map[string]time.Duration // by offering, where that differs
	Cores       int                      // that searches share by their priorities, 1 : 4 : 8 : 16; 0: any number
	Memory      *Memory                  // what it and others of its group remember
	MaxInFlight int                      // searches at a time, past which it answers that it is full, where it has Cores; 0: any number
	Full        atomic.Uint64            // such answers
	Hangs       atomic.Bool              // it takes searches, and answers nothing but probes
	most        int
	cut         bool

	jobs     map[*job]struct{}
	stopped  chan struct{}
	listener net.Listener
	second   net.Listener // another address of it, which can be cut by itself
	halfCut  bool
	mu       sync.Mutex
	conns    map[net.Conn]bool // whether they came by the second address
}

// Run is one run of a search.
type Run struct {
	ID, IdempotencyKey, Executor string
	At                           time.Time
	Max                          time.Duration // how long its controller said to wait
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

// run books a run unless it is a repeat that the group drops.
func (m *Memory) run(r Run, group string, drops time.Duration) {
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
		go e.share()
	}
	if e.second, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	e.listener, e.conns = l, map[net.Conn]bool{}
	go e.accept(l, false)
	go e.accept(e.second, true)
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
		cut := e.cut || e.halfCut && second
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

// Second is its other address.
func (e *Executor) Second() string { return e.second.Addr().String() }

// CutSecond has it out of reach by its other address alone, or in reach again.
func (e *Executor) CutSecond(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halfCut = cut
	for c, second := range e.conns {
		if cut && second {
			_ = c.Close()
			delete(e.conns, c)
		}
	}
}

// Cut has it out of reach, or in reach again: connections end, and new ones end at once. What runs there goes on.
func (e *Executor) Cut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut = cut; cut {
		for c := range e.conns {
			_ = c.Close()
		}
		clear(e.conns)
	}
}

// Stop ends it and its connections.
func (e *Executor) Stop() {
	_ = e.listener.Close()
	_ = e.second.Close()
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
		_, _ = c.Write(arrayOf(words))
	}
	given, mine := map[string]bool{}, map[string]*job{}
	var mu sync.Mutex
	for r := bufio.NewReader(c); ; {
		w, err := readWords(r)
		if err != nil || len(w) < 2 {
			return
		}
		switch w[0] {
		case "alive", "stats":
			say(w[1], "well", "-")
		case "abort":
			mu.Lock()
			given[w[1]] = true
			e.end(mine[w[1]])
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
			if e.filled() {
				say(w[1], "full", "-")
				break
			}
			e.Memory.run(Run{w[1], mark, e.Name, time.Now(), time.Duration(most) * time.Millisecond}, e.Zone, e.DedupWindow)
			if e.Hangs.Load() {
				break
			}
			done := func() {
				mu.Lock()
				gone := given[w[1]]
				delete(mine, w[1])
				mu.Unlock()
				if !gone {
					say(w[1], "data", "batches=1", Rows)
				}
			}
			if e.Cores == 0 {
				time.AfterFunc(work, done)
				break
			}
			mu.Lock()
			mine[w[1]] = e.enter(work, level, done)
			mu.Unlock()
		}
	}
}

func arrayOf(words []string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func readWords(r *bufio.Reader) ([]string, error) {
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
	left   float64 // ms of one core
	weight float64
	done   func()
}

var weights = map[string]float64{"0": 1, "1": 4, "2": 8, "3": 16}

func (e *Executor) enter(work time.Duration, level string, done func()) *job {
	j := &job{float64(work) / float64(time.Millisecond), max(1, weights[level]), done}
	e.mu.Lock()
	e.jobs[j] = struct{}{}
	e.mu.Unlock()
	return j
}

// filled tells whether there is no room for one more.
func (e *Executor) filled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.most = max(e.most, len(e.jobs)); e.MaxInFlight == 0 || len(e.jobs) < e.MaxInFlight {
		return false
	}
	e.Full.Add(1)
	return true
}

// MostInFlight gives how many searches it had at a time at most, since it was asked last.
func (e *Executor) MostInFlight() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, e.most = e.most, len(e.jobs)
	return n
}

func (e *Executor) end(j *job) {
	e.mu.Lock()
	delete(e.jobs, j)
	e.mu.Unlock()
}

func (e *Executor) renice(j *job, level string) {
	e.mu.Lock()
	if j != nil {
		j.weight = max(1, weights[level])
	}
	e.mu.Unlock()
}

// share gives each job its part of the cores, by weight and one core at most, as time goes by.
func (e *Executor) share() {
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
			for _, done := range e.spend(ms) {
				done()
			}
		}
	}
}

// spend lets the jobs run for a time and gives those that end.
func (e *Executor) spend(ms float64) (ended []func()) {
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
		if j.left -= ms * part; j.left <= 0 {
			delete(e.jobs, j)
			ended = append(ended, j.done)
		}
	}
	return ended
}
