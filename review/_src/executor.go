package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one request as an executor received it.
type attempt struct {
	executor  string
	id        string
	class     string
	key       string // idempotency key
	statement string
	at        time.Time // its last byte was read
	ended     time.Time // zero: it still runs
	end       string    // done, given up, or repeat
}

// executor is a stand-in for an executor of the platform. It runs all that it is sent at once; a request takes the time
// that its class takes. It stops the work of a request that is aborted or whose connection ends, and drops the repeat of
// an idempotency key within the window.
type executor struct {
	name, kind, zone string
	work             map[string]time.Duration // by class
	progressEvery    time.Duration            // between two notes of progress; 0: none
	dedupWindow      time.Duration
	reportField      string // load report in answers; empty: none
	fleet            *fleet

	listener net.Listener
}

// fleet is what all executors share: the log of attempts, and the idempotency keys whose repeats they drop.
type fleet struct {
	record   *record
	mu       sync.Mutex
	attempts []*attempt
	keys     map[string]time.Time // when the first attempt of a key that was completed began
}

func (f *fleet) list() []attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var copied []attempt
	for _, a := range f.attempts {
		copied = append(copied, *a)
	}
	return copied
}

func (e *executor) start() (err error) {
	if e.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return nil
}

func (e *executor) address() string { return e.listener.Addr().String() }

// executorConn is a connection of a controller.
type executorConn struct {
	executor *executor
	conn     net.Conn
	write    sync.Mutex
	mu       sync.Mutex
	running  map[string]chan struct{} // by id; closed when the request is given up
}

func (e *executor) serve(conn net.Conn) {
	c := &executorConn{executor: e, conn: conn, running: map[string]chan struct{}{}}
	defer c.close()
	reader := bufio.NewReader(conn)
	for {
		words, err := readWords(reader)
		if err != nil || len(words) < 2 {
			return
		}
		c.handle(words)
	}
}

// close gives up everything that is open on the connection.
func (c *executorConn) close() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, stop := range c.running {
		close(stop)
		delete(c.running, id)
	}
}

func (c *executorConn) handle(words []string) {
	switch id := words[1]; words[0] {
	case "alive", "stats":
		c.answer(id, "well", c.executor.report())
	case "abort":
		c.mu.Lock()
		if stop := c.running[id]; stop != nil {
			close(stop)
			delete(c.running, id)
		}
		c.mu.Unlock()
	case "fetch":
		if len(words) < 4 {
			_ = c.conn.Close()
			return
		}
		c.fetch(id, words[2], words[3])
	case "more": // every answer has one page
		c.answer(id, "failed", "-")
	}
}

func (e *executor) report() string {
	if e.reportField == "" {
		return "-"
	}
	return "report=" + e.reportField + ":0"
}

// rowsOf returns the result of a statement, which names the statement and the request.
func rowsOf(id, statement string) string { return "result\t" + id + "\t" + statement + "\n" }

func (c *executorConn) fetch(id, fields, statement string) {
	e := c.executor
	a := &attempt{executor: e.name, id: id, statement: statement, at: time.Now()}
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "profile":
			a.class = value
		case "replay":
			a.key = value
		}
	}
	stop := make(chan struct{})
	c.mu.Lock()
	c.running[id] = stop
	c.mu.Unlock()
	e.fleet.mu.Lock()
	e.fleet.attempts = append(e.fleet.attempts, a)
	first, repeated := e.fleet.keys[a.key]
	repeated = repeated && a.key != "" && a.at.Sub(first) < e.dedupWindow
	e.fleet.mu.Unlock()
	e.fleet.record.add(a.at, "executor %s: got fetch %s fields %q statement %q", e.name, id, fields, clip(statement))
	work := e.work[a.class]
	if repeated {
		work = 0
	}
	go c.run(a, stop, work, repeated)
}

// run works on a request, tells its progress, and answers it.
func (c *executorConn) run(a *attempt, stop chan struct{}, work time.Duration, repeated bool) {
	e := c.executor
	done := time.After(work)
	var notes <-chan time.Time
	if e.progressEvery > 0 {
		ticker := time.NewTicker(e.progressEvery)
		defer ticker.Stop()
		notes = ticker.C
	}
	for {
		select {
		case <-stop:
			e.end(a, "given up")
			return
		case <-notes:
			share := min(0.99, float64(time.Since(a.at))/float64(work))
			c.answer(a.id, "news", fmt.Sprintf("remark=pct,num=%.2f", share))
			continue
		case <-done:
		}
		break
	}
	c.mu.Lock()
	if c.running[a.id] == stop {
		delete(c.running, a.id)
	}
	c.mu.Unlock()
	if repeated {
		e.end(a, "repeat")
	} else {
		e.end(a, "done")
	}
	c.answer(a.id, "data", "batches=1"+strings.TrimPrefix(","+e.report(), ",-"), rowsOf(a.id, a.statement))
}

// end records the end of an attempt.
func (e *executor) end(a *attempt, how string) {
	e.fleet.mu.Lock()
	a.ended, a.end = time.Now(), how
	if how == "done" && a.key != "" {
		if _, known := e.fleet.keys[a.key]; !known {
			e.fleet.keys[a.key] = a.at
		}
	}
	e.fleet.mu.Unlock()
	e.fleet.record.add(a.ended, "executor %s: %s is %s", e.name, a.id, how)
}

func (c *executorConn) answer(words ...string) {
	text := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(word), word)
	}
	c.write.Lock()
	defer c.write.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.conn.Write(text)
}

// readWords reads an array of bulk strings.
func readWords(r *bufio.Reader) ([]string, error) {
	count, err := readCount(r, '*')
	if err != nil || count > 16 {
		return nil, fmt.Errorf("array of %d words: %w", count, err)
	}
	words := make([]string, count)
	for i := range words {
		size, err := readCount(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func readCount(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("%q does not begin with %q", line, prefix)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
