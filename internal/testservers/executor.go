// Package testservers plays the surroundings of a controller for tests and measurements, on loopback: executors, the discovery service and
// a client. It is written from the protocols' pages alone and shares no code with the daemon, which never uses it.
package testservers

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ResultRows is the result of every request at every executor.
const ResultRows = "a\tb\tc\n"

// writeTimeout is after how long an executor gives up writing to a connection.
const writeTimeout = time.Second

// Executor is a test server that runs requests. It records each run in its Memory. Its exported fields are set before Start.
type Executor struct {
	Name         string
	Zone         string
	DedupWindow  time.Duration // repeats of a key within it are answered and not run; 0: none is dropped
	Work         time.Duration
	WorkByClass  map[string]time.Duration // by request class, where it differs from Work
	Cores        int                      // shared by the requests by their priorities, 1 : 4 : 8 : 16; 0: without limit
	RunLog       *RunLog                  // the runs of this executor and of those that share it
	MaxInFlight  int                      // requests at a time, past which it answers that it is full, where it has Cores; 0: without limit
	RejectedFull atomic.Uint64            // answers that it is full
	Hangs        atomic.Bool              // it accepts requests and answers nothing but probes

	stopped        chan struct{}
	listener       net.Listener
	secondListener net.Listener // of a second address, which can be made unreachable by itself

	mu                sync.Mutex
	jobs              map[*job]struct{}
	peakJobs          int
	unreachable       bool
	secondUnreachable bool
	conns             map[net.Conn]bool // true: accepted at the second address
}

// Start listens on two loopback addresses.
func (e *Executor) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if e.RunLog == nil {
		e.RunLog = &RunLog{}
	}
	e.stopped = make(chan struct{})
	if e.Cores > 0 {
		e.jobs = map[*job]struct{}{}
		go e.runJobs()
	}
	if e.secondListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	e.listener, e.conns = listener, map[net.Conn]bool{}
	go e.accept(listener, false)
	go e.accept(e.secondListener, true)
	return nil
}

// accept accepts connections; those to an address that is unreachable end at once.
func (e *Executor) accept(listener net.Listener, second bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		unreachable := e.unreachable || e.secondUnreachable && second
		if !unreachable {
			e.conns[conn] = second
		}
		e.mu.Unlock()
		if unreachable {
			_ = conn.Close()
			continue
		}
		go e.serve(conn)
	}
}

// Address returns the address at which the executor listens.
func (e *Executor) Address() string { return e.listener.Addr().String() }

// SecondAddress returns the second address of the executor.
func (e *Executor) SecondAddress() string { return e.secondListener.Addr().String() }

// SetSecondUnreachable makes the executor unreachable at its second address alone, or reachable again.
func (e *Executor) SetSecondUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.secondUnreachable = unreachable
	for conn, second := range e.conns {
		if unreachable && second {
			_ = conn.Close()
			delete(e.conns, conn)
		}
	}
}

// SetUnreachable makes the executor unreachable, or reachable again: connections end, and new ones end at once. What runs there goes on.
func (e *Executor) SetUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = unreachable
	if !unreachable {
		return
	}
	for conn := range e.conns {
		_ = conn.Close()
	}
	clear(e.conns)
}

// Stop ends the executor and its connections.
func (e *Executor) Stop() {
	_ = e.listener.Close()
	_ = e.secondListener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped != nil {
		close(e.stopped)
		e.stopped = nil
	}
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// executorConn is one connection of a controller to an executor.
type executorConn struct {
	executor *Executor
	conn     net.Conn
	writeMu  sync.Mutex

	mu      sync.Mutex
	aborted map[string]bool // by request ID
	jobs    map[string]*job
}

// serve answers one connection. A request that is aborted, or whose connection ends, has run all the same.
func (e *Executor) serve(conn net.Conn) {
	defer conn.Close()
	c := &executorConn{executor: e, conn: conn, aborted: map[string]bool{}, jobs: map[string]*job{}}
	r := bufio.NewReader(conn)
	for {
		words, err := readArray(r)
		if err != nil || len(words) < 2 {
			return
		}
		c.handle(words)
	}
}

// handle handles one message: its name, the ID that its answer repeats, and its arguments.
func (c *executorConn) handle(words []string) {
	name, id, arguments := words[0], words[1], words[2:]
	switch name {
	case "alive", "stats":
		c.write(id, "well", "-")
	case "abort":
		c.mu.Lock()
		defer c.mu.Unlock()
		c.aborted[id] = true
		c.executor.endJob(c.jobs[id])
	case "renice":
		if len(arguments) > 0 {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.executor.renice(c.jobs[id], arguments[0])
		}
	case "more":
		c.write(id, "failed", "-")
	case "fetch":
		c.fetch(id, parseFetch(arguments[0]))
	}
}

func (c *executorConn) write(words ...string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.conn.Write(encodeArray(words))
}

// fetchOptions are the options of a request that an executor looks at.
type fetchOptions struct {
	key, class, priority string
	waitLimit            time.Duration
}

func parseFetch(text string) fetchOptions {
	options := fetchOptions{priority: "1"}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "replay":
			options.key = value
		case "max":
			ms, _ := strconv.Atoi(value)
			options.waitLimit = time.Duration(ms) * time.Millisecond
		case "nice":
			options.priority = value
		case "profile":
			options.class = value
		}
	}
	return options
}

// fetch runs a request and answers it.
func (c *executorConn) fetch(id string, options fetchOptions) {
	e := c.executor
	if e.rejectsForSpace() {
		c.write(id, "full", "-")
		return
	}
	e.RunLog.record(Run{ID: id, IdempotencyKey: options.key, Executor: e.Name, At: time.Now(), WaitLimit: options.waitLimit}, e.Zone, e.DedupWindow)
	if e.Hangs.Load() {
		return
	}
	work := e.Work
	if special := e.WorkByClass[options.class]; special > 0 {
		work = special
	}
	done := func() { c.finish(id) }
	if e.Cores == 0 {
		time.AfterFunc(work, done)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = e.startJob(work, options.priority, done)
}

// finish answers a request that has run, unless it was aborted.
func (c *executorConn) finish(id string) {
	c.mu.Lock()
	aborted := c.aborted[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	if !aborted {
		c.write(id, "data", "batches=1", ResultRows)
	}
}
