// Package testservers provides the peers of a controller for tests and measurements, on loopback: executors, the
// discovery service and clients. It implements the protocols independently and shares no code with the daemon, so that
// an error in the daemon's codecs is not repeated here. The daemon must not use it.
package testservers

import (
	"bufio"
	"cmp"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ResultRows is the result that every executor returns for every request.
const ResultRows = "a\tb\tc\n"

// resultPage is a full page of a result that has several.
var resultPage = strings.Repeat("0123456789\tabcdefghi\t0123456789abcdefghi\n", 145)

// writeTimeout bounds each write of an executor to a connection.
const writeTimeout = time.Second

// Executor is a test server that simulates running requests and records each run in its RunLog. The exported fields are
// set before Start, except for RejectedFull and Hangs.
type Executor struct {
	Name string
	Zone string
	// DedupWindow is how long after a run a repeat of its idempotency key is answered but is not a run; 0: no repeat is
	// dropped.
	DedupWindow time.Duration
	// Work is how long a request runs on a core of its own.
	Work time.Duration
	// WorkByClass replaces Work for the requests of some classes.
	WorkByClass map[string]time.Duration
	// Cores are shared by the requests according to the weights of their priorities, 1 : 4 : 8 : 16; 0: without limit.
	Cores int
	// ListenAddress is the first address, for example that of an executor that was stopped; empty: a free one.
	ListenAddress string
	// Pages is the number of full pages that each result has; 0: the result is ResultRows.
	Pages int
	// RunLog may be shared by several executors; Start creates one if it is nil.
	RunLog *RunLog
	// MaxInFlight is the number of concurrent requests past which requests are rejected; 0: without limit. It applies
	// only with Cores.
	MaxInFlight int
	// RejectedFull counts the requests that were rejected because of MaxInFlight.
	RejectedFull atomic.Uint64
	// Hangs makes the executor accept requests and answer only probes.
	Hangs atomic.Bool

	stopped        chan struct{}
	listener       net.Listener
	secondListener net.Listener // can be made unreachable independently of the first

	mu                sync.Mutex
	jobs              map[*job]struct{}
	peakJobs          int
	unreachable       bool
	secondUnreachable bool
	conns             map[net.Conn]bool // true: accepted at the second address
}

// Start listens on two loopback addresses and begins to serve.
func (e *Executor) Start() error {
	listener, err := net.Listen("tcp", cmp.Or(e.ListenAddress, "127.0.0.1:0"))
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

// accept accepts connections and closes those to an unreachable address at once.
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

// SecondAddress returns the second address at which the executor listens.
func (e *Executor) SecondAddress() string { return e.secondListener.Addr().String() }

// SetSecondUnreachable makes only the second address of the executor unreachable, or reachable again.
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

// SetUnreachable makes the executor unreachable, or reachable again. While it is unreachable, its connections and new
// ones are closed, and running requests go on.
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

// serve answers the messages of one connection. A request that is aborted, or whose connection ends, still counts as a
// run.
func (e *Executor) serve(conn net.Conn) {
	defer conn.Close()
	c := &executorConn{executor: e, conn: conn, aborted: map[string]bool{}, jobs: map[string]*job{}}
	reader := bufio.NewReader(conn)
	for {
		words, err := readArray(reader)
		if err != nil || len(words) < 2 {
			return
		}
		c.handle(words)
	}
}

// handle handles one message, which consists of its name, the ID that its answer repeats, and arguments.
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
			c.executor.setPriority(c.jobs[id], arguments[0])
		}
	case "more":
		c.writePage(id, arguments)
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

// fetchOptions are the options of a request that an executor evaluates.
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

// fetch runs a request and answers it when its work is done.
func (c *executorConn) fetch(id string, options fetchOptions) {
	e := c.executor
	if e.rejectIfFull() {
		c.write(id, "full", "-")
		return
	}
	run := Run{ID: id, IdempotencyKey: options.key, Executor: e.Name, At: time.Now(), WaitLimit: options.waitLimit}
	e.RunLog.record(run, e.Zone, e.DedupWindow)
	if e.Hangs.Load() {
		return
	}
	work := e.Work
	if classWork := e.WorkByClass[options.class]; classWork > 0 {
		work = classWork
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

// finish answers a request whose work is done, unless the request was aborted.
func (c *executorConn) finish(id string) {
	c.mu.Lock()
	aborted := c.aborted[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	switch {
	case aborted:
	case c.executor.Pages > 0:
		c.write(id, "data", "batches="+strconv.Itoa(c.executor.Pages), resultPage)
	default:
		c.write(id, "data", "batches=1", ResultRows)
	}
}

// writePage answers with a page of a result. All pages are alike, so results are not kept.
func (c *executorConn) writePage(id string, arguments []string) {
	if c.executor.Pages == 0 || len(arguments) == 0 {
		c.write(id, "failed", "-")
		return
	}
	c.write(id, "page", "batch="+arguments[0], resultPage)
}
