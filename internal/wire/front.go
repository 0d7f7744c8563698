package wire

import (
	"bufio"
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/desk"
	"liftshift/rules"
)

// Limits of the clients' side.
const (
	mostOpen     = 32              // searches open on a connection
	mostAnswers  = 3 << 20         // bytes lined up at a connection: a full one's largest answers
	clientWrite  = 2 * time.Second // for an answer to get through to a client that reads
	clientLook   = 15 * time.Second
	clientQuiet  = time.Minute // without any sign, with nothing open; clients close far sooner
	lastWords    = 5 * time.Second
	acceptAgain  = 50 * time.Millisecond
	clientBuffer = 4 << 10
	clientKernel = 128 << 10 // bytes that the system holds for one that doesn't read
)

// Offering is what a front has to know of an offering.
type Offering struct{ Labelled bool }

// Front is the clients' side.
type Front struct {
	queue     Queue
	clock     desk.Clock
	log       logrus.FieldLogger
	bodies    *Budget // of searches that are open
	answers   *Budget // lined up
	offerings map[string]Offering
	mostHeld  int
	listener  net.Listener
	places    chan struct{} // one for each connection there may be
	stopped   chan struct{}
	fit       atomic.Bool

	mu      sync.Mutex
	clients map[*client]struct{}

	Accepted, Bad, LostFraming, Pauses, Full atomic.Uint64
}

// Doors are the figures that a Front keeps to.
type Doors struct {
	Clients, MostHeld int
	Bodies, Answers   *Budget
}

// NewFront listens where clients connect.
func NewFront(listen string, offerings map[string]Offering, queue Queue, clock desk.Clock,
	doors Doors, log logrus.FieldLogger) (*Front, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	return &Front{queue: queue, clock: clock, log: log, bodies: doors.Bodies, answers: doors.Answers, offerings: offerings,
		mostHeld: doors.MostHeld, listener: l, stopped: make(chan struct{}), places: make(chan struct{}, max(1, doors.Clients)), clients: map[*client]struct{}{}}, nil
}

// Fit sets what the method probe answers.
func (f *Front) Fit(fit bool) { f.fit.Store(fit) }

// Run accepts until Stop. Where there is no place or no descriptor left it pauses.
func (f *Front) Run() {
	for {
		select {
		case f.places <- struct{}{}:
		default:
			f.Pauses.Add(1)
			select {
			case f.places <- struct{}{}:
			case <-f.stopped:
				return
			}
		}
		conn, err := f.listener.Accept()
		if err != nil {
			<-f.places
			if isClosed(err) {
				return
			}
			if f.Pauses.Add(1) == 1 {
				f.log.WithField("why", err).Warn("front: accepting pauses")
			}
			time.Sleep(acceptAgain)
			continue
		}
		f.Accepted.Add(1)
		c := &client{front: f, seen: f.clock.Now()}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(clientKernel)
		}
		c.conn, c.budget, c.patient, c.look, c.most = conn, f.answers, clientWrite, clientLook, mostAnswers
		c.quiet = c.stale
		f.mu.Lock()
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		go c.serve()
	}
}

// Stop accepts no more and ends what is still connected.
func (f *Front) Stop() {
	close(f.stopped)
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		c.end(true)
	}
}

// Written tells whether every answer has been written.
func (f *Front) Written() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if !c.idle() {
			return false
		}
	}
	return true
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// client is one connection of a client.
type client struct {
	pipe
	front *Front

	lock    sync.Mutex
	open    []pending
	tag     uint64
	seen    float64
	failing bool // framing is lost: what is open is answered, then it ends
}

// pending is a search that is open on a connection.
type pending struct {
	tag  uint64
	id   []byte
	req  string
	held int
}

// serve is the goroutine of a connection.
func (c *client) serve() {
	f := c.front
	err := c.listen(bufio.NewReaderSize(&c.pipe, clientBuffer))
	if errors.Is(err, errMalformed) {
		f.LostFraming.Add(1)
		f.log.WithField("why", err).Warn("front: framing lost")
		c.last()
	}
	c.close()
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	c.lock.Lock()
	left := c.open
	c.open = nil
	c.lock.Unlock()
	for _, r := range left {
		f.bodies.give(r.held)
		f.queue.Put(desk.Item{Event: rules.Event{Kind: rules.Left, Search: r.req}, Client: c, Token: r.tag})
	}
	<-f.places
}

// last waits, reading no more messages, until what is open has its answer.
func (c *client) last() {
	c.push(func(b []byte) []byte { return appendError(b, nil, fault{codeParse, "framing lost"}, 0) })
	c.lock.Lock()
	c.failing = true
	none := len(c.open) == 0
	c.lock.Unlock()
	if none {
		c.end(false)
	}
	end := time.Now().Add(lastWords)
	var scrap [512]byte
	for time.Now().Before(end) {
		if _, err := c.Read(scrap[:]); err != nil {
			return
		}
	}
}

// stale tells whether nothing has come for long and nothing is open.
func (c *client) stale() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.open) == 0 && c.front.clock.Now() > c.seen+float64(clientQuiet/time.Millisecond)
}

func (c *client) listen(r *bufio.Reader) error {
	var room []byte
	for {
		text, err := readMessage(r, room)
		if err != nil {
			return err
		}
		room = nil
		if cap(text) <= keepRoom {
			room = text[:0]
		}
		now := c.front.clock.Now() // hard limits count from the last byte
		c.lock.Lock()
		c.seen = now
		c.lock.Unlock()
		c.message(text, now)
	}
}

// message takes one message; what is wrong with it costs no other.
func (c *client) message(text []byte, now float64) {
	m, wrong := readCall(text)
	if wrong != nil {
		c.fail(m.id, *wrong)
		return
	}
	switch m.method {
	case "probe":
		c.push(func(b []byte) []byte { return appendFit(b, m.id, c.front.fit.Load()) })
	case "giveUp":
		c.giveUp(m)
	default:
		if wrong = c.take(m, now); wrong != nil {
			c.fail(m.id, *wrong)
		}
	}
}

// fail answers a message that can't be used. Under an id that is open no error may go out: it would pass
// for the answer of the first.
func (c *client) fail(id []byte, f fault) {
	c.front.Bad.Add(1)
	c.lock.Lock()
	if slices.ContainsFunc(c.open, func(r pending) bool { return string(r.id) == string(id) }) {
		id = nil
	}
	c.lock.Unlock()
	c.push(func(b []byte) []byte { return appendError(b, id, f, 0) })
}

func (c *client) take(m call, now float64) *fault {
	f := c.front
	offering, ok := f.offerings[m.method]
	if !ok {
		return &fault{codeMethod, "no such method"}
	}
	if m.id == nil {
		return &fault{codeRequest, "no id"}
	}
	a, wrong := readAsked(m.params)
	if wrong != nil {
		return wrong
	}
	if offering.Labelled && a.mark == "" {
		return &fault{codeParams, "opkey is missing"}
	}
	r := pending{id: slices.Clone(m.id), req: a.req, held: len(a.body)}
	c.lock.Lock()
	twice := slices.ContainsFunc(c.open, func(o pending) bool { return string(o.id) == string(r.id) })
	many := len(c.open) >= mostOpen
	c.lock.Unlock()
	switch {
	case twice:
		return &fault{codeRequest, "id is open"}
	case many || f.mostHeld > 0 && f.queue.Open() >= f.mostHeld || !f.bodies.take(r.held):
		f.Full.Add(1)
		return &fault{codeDenied, "too much is open here"}
	}
	c.lock.Lock()
	c.tag++
	r.tag = c.tag
	c.open = append(c.open, r)
	c.lock.Unlock()
	group, _ := groupOf(a.body)
	f.queue.Take(&desk.Search{ID: a.req, Offering: m.method, Key: a.key, Mark: a.mark, Group: group, NeedMB: a.ram,
		WorkMS: a.work, Until: now + a.timeout, Repeat: a.repeat, Body: a.body, Client: c, Tag: r.tag})
	return nil
}

// giveUp ends a search of this connection. A call with an id of its own gets an answer of its own.
func (c *client) giveUp(m call) {
	req, id := gaveUp(m)
	c.lock.Lock()
	k := slices.IndexFunc(c.open, func(r pending) bool { return r.req == req || req == "" && string(r.id) == id })
	var r pending
	if k >= 0 {
		r = c.open[k]
		c.open = slices.Delete(c.open, k, k+1)
	}
	c.lock.Unlock()
	if k >= 0 {
		c.front.bodies.give(r.held)
		c.front.queue.Put(desk.Item{Event: rules.Event{Kind: rules.Left, Search: r.req}, Client: c, Token: r.tag})
	}
	if m.id != nil && string(m.id) != string(r.id) {
		c.push(func(b []byte) []byte {
			return appendMessage(b, func(b []byte) []byte { return append(appendID(b, m.id), `,"result":{}}`...) })
		})
	}
}

// answer writes the one answer of an open search.
func (c *client) answer(tag uint64, write func(b, id []byte) []byte) {
	c.lock.Lock()
	k, ok := slices.BinarySearchFunc(c.open, tag, func(r pending, tag uint64) int { return cmp.Compare(r.tag, tag) })
	if !ok {
		c.lock.Unlock()
		return
	}
	r := c.open[k]
	c.open = slices.Delete(c.open, k, k+1)
	done := c.failing && len(c.open) == 0
	c.lock.Unlock()
	c.front.bodies.give(r.held)
	c.push(func(b []byte) []byte { return write(b, r.id) })
	if done {
		c.end(false)
	}
}

// Handled, Denied and WrittenOff answer a search.
func (c *client) Handled(tag uint64, body []byte) {
	c.answer(tag, func(b, id []byte) []byte { return appendResult(b, id, body) })
}

func (c *client) Denied(tag uint64, afterMS float64) {
	c.answer(tag, func(b, id []byte) []byte { return appendError(b, id, fault{codeDenied, "denied"}, afterMS) })
}

func (c *client) WrittenOff(tag uint64) {
	c.answer(tag, func(b, id []byte) []byte { return appendError(b, id, fault{codeFailed, "written off"}, 0) })
}
