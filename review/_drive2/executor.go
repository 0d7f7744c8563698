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

// noteInterval is the time between two notes of progress, as the settings tell it.
const noteInterval = 500 * time.Millisecond

// run is one run of a request at an executor.
type run struct {
	id, key, class, executor, statement string
	at                                  time.Time
}

// runs are the runs of all executors of a play, which drop repeats of an idempotency key together.
type runs struct {
	play   *play
	window time.Duration // within which a repeat of a key is answered and not run

	mu     sync.Mutex
	all    []run
	lastAt map[string]time.Time // by key
}

// begin records a request that came to an executor and returns whether it runs.
func (r *runs) begin(n run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAt == nil {
		r.lastAt = map[string]time.Time{}
	}
	last, known := r.lastAt[n.key]
	if n.key != "" && known && n.at.Sub(last) < r.window {
		r.play.note("%s: req=%s opkey=%s dropped as a repeat", n.executor, n.id, n.key)
		return false
	}
	r.lastAt[n.key] = n.at
	r.all = append(r.all, n)
	r.play.note("%s: RUNS req=%s opkey=%s class=%s", n.executor, n.id, n.key, n.class)
	return true
}

// of returns the runs of an idempotency key.
func (r *runs) of(key string) (list []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.all {
		if n.key == key {
			list = append(list, n)
		}
	}
	return list
}

// ofRequest returns the runs of a request.
func (r *runs) ofRequest(id string) (list []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.all {
		if n.id == id {
			list = append(list, n)
		}
	}
	return list
}

// executor is a stand-in for an executor. It runs all that it is sent at once.
type executor struct {
	name string
	zone string
	runs *runs
	// decide says how a request is answered: the answer's word, and after which time. "" never answers.
	decide   func(id, key, class string) (word string, after time.Duration)
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// addExecutor starts an executor that answers after the given time.
func (p *play) addExecutor(name string, r *runs, work time.Duration) *executor {
	e := &executor{name: name, zone: "room", runs: r, conns: map[net.Conn]bool{}}
	e.decide = func(string, string, string) (string, time.Duration) { return "data", work }
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "executor")
	go e.accept()
	p.executors = append(p.executors, e)
	return e
}

func (e *executor) address() string { return e.listener.Addr().String() }

func (e *executor) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *executor) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *executor) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	aborted := map[string]bool{}
	write := func(words ...string) (sent bool) {
		writing.Lock()
		defer writing.Unlock()
		if aborted[words[0]] {
			return false
		}
		text := fmt.Sprintf("*%d\r\n", len(words))
		for _, w := range words {
			text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
		}
		_, err := conn.Write([]byte(text))
		return err == nil
	}
	reader := bufio.NewReader(conn)
	for {
		words, err := readArray(reader)
		if err != nil || len(words) < 2 {
			return
		}
		switch id := words[1]; words[0] {
		case "alive", "stats":
			write(id, "well", "-")
		case "abort":
			writing.Lock()
			aborted[id] = true
			writing.Unlock()
			e.runs.play.note("%s: abort req=%s", e.name, id)
		case "more":
			write(id, "failed", "-")
		case "fetch":
			e.fetch(words, write)
		}
	}
}

// fetch handles a request.
func (e *executor) fetch(words []string, write func(...string) bool) {
	id, key, class := words[1], "", ""
	for _, field := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "replay":
			key = value
		case "profile":
			class = value
		}
	}
	word, after := e.decide(id, key, class)
	switch word {
	case "full", "moot":
		e.runs.play.note("%s: req=%s opkey=%s answered %s, it never ran", e.name, id, key, word)
		write(id, word, "-")
		return
	}
	e.runs.begin(run{id: id, key: key, class: class, executor: e.name, statement: words[3], at: time.Now()})
	if word == "" {
		return
	}
	go func() {
		began := time.Now()
		for time.Since(began)+noteInterval < after {
			time.Sleep(noteInterval)
			write(id, "news", fmt.Sprintf("remark=pct,num=%.2f", float64(time.Since(began))/float64(after)))
		}
		time.Sleep(time.Until(began.Add(after)))
		if write(id, word, "batches=1", "a\tb\tc\n") {
			e.runs.play.note("%s: req=%s answered %s", e.name, id, word)
		}
	}()
}

func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil || count > 16 {
		return nil, io.ErrUnexpectedEOF
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil || size > 1<<20 {
			return nil, io.ErrUnexpectedEOF
		}
		data := make([]byte, size+2)
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, err
		}
		words[i] = string(data[:size])
	}
	return words, nil
}

func readLength(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || n < 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return n, nil
}
