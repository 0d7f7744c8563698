package wire

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/retry"
	"liftshift/scheduler"
)

// Limits of the clients' side.
const (
	mostOpen     = 32              // requests open on a connection
	mostAnswers  = 3 << 20         // bytes lined up at a connection: a full one's largest answers
	clientWrite  = 2 * time.Second // for an answer to get through to a client that reads
	clientWhole  = 2 * time.Second // for the first message, and for each from its first byte on, to come whole
	clientQuiet  = 5 * time.Second // without a message, with nothing open; usual clients close after 4 s
	clientLook   = 15 * time.Second
	clientFresh  = time.Second            // since something was written: within it the other side may not have read all, and a reset would take it along
	mostFaults   = 64                     // messages of a connection that can't be used, until it is ended
	lastBytes    = 256 << 10              // read and dropped behind the last answer, so that a reset doesn't overtake it
	lastWords    = 200 * time.Millisecond // the longest that this takes
	acceptAgain  = 50 * time.Millisecond
	acceptSoon   = time.Millisecond
	placeAgain   = 20 * time.Millisecond // between looks at who may give way
	lastAccepts  = 5 * time.Millisecond  // for which connections that are there already are accepted once the front leaves
	stopLook     = 2 * time.Millisecond
	clientBuffer = 4 << 10
	clientKernel = 128 << 10 // bytes that the system holds for one that doesn't read
)

// ClassLimits is what a front has to know of an offering.
type ClassLimits struct {
	Keyed   bool
	LimitMS float64 // no client waits for longer; 0: unknown
}

// ClientServer is the clients' side.
type ClientServer struct {
	queue     EventQueue
	clock     dispatch.Clock
	log       logrus.FieldLogger
	bodies    *ByteBudget // of requests that are open
	answers   *ByteBudget // lined up
	offerings map[string]ClassLimits
	mostHeld  int
	awayMS    float64
	outcomes  bool
	arrival   func(now float64) float64
	listener  net.Listener
	places    chan struct{} // one for each connection there may be
	stopped   chan struct{}
	fit       atomic.Bool

	mu      sync.Mutex
	clients map[*client]struct{}
	leaving bool // takes nothing more

	Accepted, Bad, LostFraming, Pauses, Refused, TimedOut, Evicted atomic.Uint64
}

// ServerLimits are the figures that a Front keeps to.
type ServerLimits struct {
	Clients, MaxHeld         int
	RetryAfterMS             float64 // told to clients that are denied here; 0: nothing may be told
	ServeOutcomes            bool    // the method outcome is served
	BodyBudget, AnswerBudget *ByteBudget

	// Arrival gives the earliest clock at which what is read now may have come: earlier than now where this process stood
	// still meanwhile. Nil: now.
	Arrival func(now float64) float64
}

// NewClientServer listens where clients connect.
func NewClientServer(listen string, offerings map[string]ClassLimits, queue EventQueue, clock dispatch.Clock,
	doors ServerLimits, log logrus.FieldLogger) (*ClientServer, error) {
	var l net.Listener
	err := retry.Listen(func() (err error) {
		l, err = net.Listen("tcp", listen)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &ClientServer{queue: queue, clock: clock, log: log, bodies: doors.BodyBudget, answers: doors.AnswerBudget, offerings: offerings,
		mostHeld: doors.MaxHeld, awayMS: doors.RetryAfterMS, outcomes: doors.ServeOutcomes, arrival: doors.Arrival, listener: l, stopped: make(chan struct{}), places: make(chan struct{}, max(1, doors.Clients)), clients: map[*client]struct{}{}}, nil
}

// now is the clock at which what is read now may have come.
func (f *ClientServer) now() float64 {
	now := f.clock.Now()
	if f.arrival == nil {
		return now
	}
	return f.arrival(now)
}

// SetReady sets what the method probe answers.
func (f *ClientServer) SetReady(fit bool) { f.fit.Store(fit) }

// Run accepts until Stop. Where there is no place left, the longest idle client gives way; where none is idle or
// no descriptor is left, accepting pauses.
func (f *ClientServer) Run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if isClosed(err) || errors.Is(err, os.ErrDeadlineExceeded) { // all have been taken that were there as it left
				_ = f.listener.Close()
				return
			}
			if f.Pauses.Add(1) == 1 {
				f.log.WithField("why", err).Warn("front: accepting pauses")
			}
			if isScarce(err) {
				f.giveWay()
			}
			if isScarce(err) || isPassing(err) {
				time.Sleep(acceptAgain)
			} else {
				time.Sleep(acceptSoon) // it was that one connection's
			}
			continue
		}
		placed := f.place()
		f.Accepted.Add(1)
		now := time.Now()
		c := &client{front: f, placed: placed, seen: now, due: now.Add(clientWhole)}
		if at, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.from = at.AddrPort().Addr().Unmap()
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(clientKernel)
		}
		c.conn, c.budget, c.patient, c.most = conn, f.answers, clientWrite, mostAnswers
		c.quiet, c.until, c.polite = c.stale, c.patience, true
		f.mu.Lock()
		f.clients[c] = struct{}{}
		if f.leaving { // accepted as the listener closed
			c.retire()
		}
		f.mu.Unlock()
		go c.serve()
	}
}

// place waits for a place among those there may be; false if there was none by the time that the front leaves. Whoever rests, or
// comes to rest meanwhile, gives way.
func (f *ClientServer) place() bool {
	for waited := false; ; waited = true {
		select {
		case f.places <- struct{}{}:
			return true
		default:
		}
		if !f.giveWay() && !waited {
			f.Pauses.Add(1)
		}
		select {
		case f.places <- struct{}{}:
			return true
		case <-f.stopped:
			return false
		case <-time.After(placeAgain):
		}
	}
}

// giveWay ends the client that has been idle for longest, one that never said anything before all others, and
// tells whether there was one. Silent connections by the hundred must not cost those who ask their places.
func (f *ClientServer) giveWay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *client
	var since time.Time
	for c := range f.clients {
		if at, idle := c.idle(); idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest == nil || !oldest.depart() {
		return false
	}
	f.Evicted.Add(1)
	oldest.end(false)
	return true
}

// Drain takes nothing more: it accepts no connection but those that wait already, to refuse what they ask, and ends each that has nothing open, after what was written last; on
// the others what still comes is refused, and they end with their last answer.
func (f *ClientServer) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return
	}
	f.leaving = true
	close(f.stopped)
	if l, ok := f.listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now().Add(lastAccepts)) != nil {
		_ = f.listener.Close()
	}
	for c := range f.clients {
		c.retire()
	}
}

// Stop leaves, and waits until all connections have ended; after patience they are cut off.
func (f *ClientServer) Stop(patience time.Duration) {
	f.Drain()
	for began, cut := time.Now(), false; f.endAll(cut) > 0 && !cut; time.Sleep(stopLook) {
		cut = time.Since(began) > patience
	}
	_ = f.listener.Close()
}

// endAll has every connection end, once all is written or at once, and tells how many there still were.
func (f *ClientServer) endAll(atOnce bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		c.end(atOnce)
	}
	return len(f.clients)
}

// Done tells whether nothing is open, and every answer has been written.
func (f *ClientServer) Done() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if !c.done() {
			return false
		}
	}
	return true
}

func (c *client) done() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.open) == 0 && c.written()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// client is one connection of a client.
type client struct {
	pipe
	front  *ClientServer
	from   netip.Addr
	placed bool // it has one of the places
	faults int
	spoken bool      // a message has come
	due    time.Time // when the message that is coming in must be whole; zero while none is

	lock sync.Mutex
	open []pending
	tag  uint64
	seen time.Time // when the last message came
	left bool      // gets no answers any more
}

// pending is a request that is open on a connection.
type pending struct {
	tag  uint64
	id   []byte
	req  string
	held int
	gone *atomic.Bool // its client waits no more
	half *atomic.Bool // it has ended its writing side alone
}

// serve is the goroutine of a connection.
func (c *client) serve() {
	f := c.front
	err := c.listen(bufio.NewReaderSize(&c.pipe, clientBuffer))
	switch {
	case errors.Is(err, errMalformed):
		c.last(err)
	case errors.Is(err, errClosed) && time.Since(c.spoke) < clientFresh:
		c.bidFarewell()
	case errors.Is(err, io.EOF):
		c.answerHalfClosed()
	}
	c.close()
	c.forsake()
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	if c.placed {
		<-f.places
	}
}

// answerHalfClosed ends a connection whose client has ended its writing side: it may have gone, or may still read. Nothing begins
// for what is open from now on, and each of it gets its final answer, for as long as that takes to be written.
func (c *client) answerHalfClosed() {
	c.lock.Lock()
	c.left = true
	waiting := slices.Clone(c.open)
	for _, r := range waiting {
		r.half.Store(true)
		r.gone.Store(true)
	}
	c.lock.Unlock()
	for _, r := range waiting {
		c.front.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: r.req, HalfClosed: true}, Client: c, Token: r.tag})
	}
	var none [1]byte
	for began := time.Now(); time.Since(began) < clientWrite; time.Sleep(stopLook) {
		if c.done() {
			return
		}
		if _, err := c.Read(none[:]); !errors.Is(err, io.EOF) { // it writes what has lined up first
			return
		}
	}
}

// forsake lets all that is open go: nothing more is answered here, and nothing begins for it from now on.
func (c *client) forsake() {
	for _, r := range c.leave() {
		c.drop(r)
	}
}

// drop tells that nobody waits for a request any more. What is on its way to an executor sees the mark at its last step,
// however much stands in the queue before the word.
func (c *client) drop(r pending) {
	r.gone.Store(true)
	c.front.bodies.give(r.held)
	if r.half.Load() {
		return // the word of it has been told
	}
	c.front.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: r.req}, Client: c, Token: r.tag})
}

// leave takes out what is open: nothing more is answered here.
func (c *client) leave() []pending {
	c.lock.Lock()
	defer c.lock.Unlock()
	left := c.open
	c.open, c.left = nil, true
	for _, r := range left {
		r.gone.Store(true) // all at once: the first word may have to wait for room in the queue
	}
	return left
}

// retire takes no more and ends once nothing is open.
func (c *client) retire() {
	c.lock.Lock()
	c.left = true
	open := len(c.open)
	c.lock.Unlock()
	if open == 0 {
		c.end(false)
	}
}

// last ends a connection whose framing is lost, or that sends nothing but what can't be used: all that is open on
// it fails at once, so that nobody waits, and no answer is written behind the error.
func (c *client) last(why error) {
	f := c.front
	if f.LostFraming.Add(1) == 1 {
		f.log.WithField("why", why).Warn("front: framing lost")
	}
	for _, r := range c.leave() {
		c.drop(r)
		c.push(func(b []byte) []byte { return appendError(b, r.id, fault{codeFailed, "framing lost"}, 0) })
	}
	c.push(func(b []byte) []byte { return appendError(b, nil, fault{codeParse, "framing lost"}, 0) })
	c.end(false)
	var scrap [clientBuffer]byte
	for read := 0; read < lastBytes; { // until all is written
		n, err := c.Read(scrap[:])
		if errors.Is(err, errClosed) {
			c.bidFarewell()
		}
		if err != nil {
			return
		}
		read += n
	}
}

// patience is until when something must come.
func (c *client) patience() time.Time {
	if !c.due.IsZero() {
		return c.due
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.open) > 0 {
		return time.Now().Add(clientLook)
	}
	return c.seen.Add(clientQuiet)
}

// stale tells why a connection on which nothing came in time is to end, if so.
func (c *client) stale() error {
	now := time.Now()
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case !c.due.IsZero() && now.After(c.due):
		c.front.TimedOut.Add(1)
		return malformed("no whole message within %v", clientWhole)
	case c.due.IsZero() && len(c.open) == 0 && now.After(c.seen.Add(clientQuiet)):
		c.left = true
		return errClosed
	}
	return nil
}

// idle tells since when nothing has come, if nothing is open.
func (c *client) idle() (since time.Time, idle bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.seen, len(c.open) == 0 && !c.left
}

// depart lets an idle client take no more; false if it is not idle.
func (c *client) depart() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	idle := len(c.open) == 0 && !c.left
	c.left = c.left || idle
	return idle
}

func (c *client) listen(r *bufio.Reader) error {
	var room []byte
	for {
		if r.Buffered() == 0 {
			if _, err := r.Peek(1); err != nil {
				return err
			}
		}
		if c.due.IsZero() {
			c.due = time.Now().Add(clientWhole)
		}
		text, err := readMessage(r, room)
		if err != nil {
			return err
		}
		room = nil
		if cap(text) <= keepRoom {
			room = text[:0]
		}
		c.due = time.Time{}
		c.lock.Lock()
		c.seen = time.Now()
		c.lock.Unlock()
		c.message(text, c.came()) // hard limits count from the last byte
		if c.faults >= mostFaults {
			return malformed("%d messages that can't be used", c.faults)
		}
	}
}

// came is the clock at which the message that was just read came. The first of a connection may have stood in the system for as long
// as that waited to be accepted.
func (c *client) came() float64 {
	now := c.front.now()
	if c.spoken {
		return now
	}
	c.spoken = true
	return min(now, c.front.clock.Now()-sinceData(c.conn))
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
	case "outcome":
		if wrong = c.outcome(m); wrong != nil {
			c.fail(m.id, *wrong)
		}
	default:
		if wrong = c.take(m, now); wrong != nil {
			c.fail(m.id, *wrong)
		}
	}
}

// outcome asks what became of a request, by its req or its opkey. It opens nothing: its answer is at hand.
func (c *client) outcome(m call) *fault {
	if !c.front.outcomes {
		return &fault{codeMethod, "no such method"}
	}
	if m.id == nil {
		return &fault{codeRequest, "no id"}
	}
	req, mark, ok := asksOutcome(m.params)
	if !ok {
		return &fault{codeParams, "either req or opkey is needed"}
	}
	id := slices.Clone(m.id)
	c.front.queue.Put(dispatch.QueueItem{Query: &dispatch.OutcomeQuery{ID: req, IdempotencyKey: mark, Reply: func(e ledger.Effect) {
		c.push(func(b []byte) []byte { return appendOutcome(b, id, e) })
	}}})
	return nil
}

// fail answers a message that can't be used. Under an id that is open no error may go out: it would pass
// for the answer of the first.
func (c *client) fail(id []byte, f fault) {
	c.front.Bad.Add(1)
	c.lock.Lock()
	if !c.left { // what meets the end of its connection is no fault of the client
		c.faults++
	}
	if slices.ContainsFunc(c.open, func(r pending) bool { return string(r.id) == string(id) }) {
		id = nil
	}
	c.lock.Unlock()
	away := 0.0
	if f.code == codeDenied {
		away = c.front.awayMS
	}
	c.push(func(b []byte) []byte { return appendError(b, id, f, away) })
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
	if offering.Keyed && a.mark == "" {
		return &fault{codeParams, "opkey is missing"}
	}
	var marks [2]atomic.Bool
	r := pending{id: slices.Clone(m.id), req: a.req, held: len(a.body), gone: &marks[0], half: &marks[1]}
	if wrong = c.enter(&r); wrong != nil {
		return wrong
	}
	if offering.LimitMS > 0 { // what is kept until a request's hard limit must not be kept for as long as a client says
		a.timeout = min(a.timeout, offering.LimitMS)
	}
	group, schema, _ := tablesOf(a.body)
	f.queue.Submit(&dispatch.Request{ID: a.req, Class: m.method, OrderKey: a.key, IdempotencyKey: a.mark, TableGroup: group, MemoryMB: a.ram,
		WorkMS: a.work, Deadline: now + a.timeout, Retried: a.repeat, Body: a.body, Client: c, Tag: r.tag, ClientGone: r.gone, HalfClosed: r.half,
		Team: a.team, ClientAddr: c.from, Schema: schema, WantsWaitEstimate: a.waits})
	return nil
}

// enter notes a request as open, unless there is no room for it.
func (c *client) enter(r *pending) *fault {
	f := c.front
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case slices.ContainsFunc(c.open, func(o pending) bool { return string(o.id) == string(r.id) }):
		return &fault{codeRequest, "id is open"}
	case c.left:
		return &fault{codeDenied, "this connection takes no more"}
	case len(c.open) >= mostOpen, f.mostHeld > 0 && f.queue.OpenRequests() >= f.mostHeld, !f.bodies.take(r.held):
		f.Refused.Add(1)
		return &fault{codeDenied, "too much is open here"}
	}
	c.tag++
	r.tag = c.tag
	c.open = append(c.open, *r)
	return nil
}

// giveUp ends a request of this connection. A call with an id of its own gets an answer of its own.
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
		c.drop(r)
		c.settle()
	}
	if m.id != nil && string(m.id) != string(r.id) {
		c.push(func(b []byte) []byte {
			return appendMessage(b, func(b []byte) []byte { return append(appendID(b, m.id), `,"result":{}}`...) })
		})
	}
}

// answer writes the one answer of an open request.
func (c *client) answer(tag uint64, write func(b, id []byte) []byte) {
	c.lock.Lock()
	k, ok := slices.BinarySearchFunc(c.open, tag, func(r pending, tag uint64) int { return cmp.Compare(r.tag, tag) })
	if !ok {
		c.lock.Unlock()
		return
	}
	r := c.open[k]
	c.open = slices.Delete(c.open, k, k+1)
	c.push(func(b []byte) []byte { return write(b, r.id) }) // under the lock: who sees it open no more sees its answer
	c.lock.Unlock()
	c.front.bodies.give(r.held)
	c.settle()
}

// settle ends a connection that takes no more and has had its last answer.
func (c *client) settle() {
	c.lock.Lock()
	over := c.left && len(c.open) == 0
	c.lock.Unlock()
	if over {
		c.end(false)
	}
}

// WaitEstimated tells how long an open request will wait.
func (c *client) WaitEstimated(tag uint64, startMS, endMS float64) {
	c.lock.Lock()
	k, ok := slices.BinarySearchFunc(c.open, tag, func(r pending, tag uint64) int { return cmp.Compare(r.tag, tag) })
	var id []byte
	if ok {
		id = c.open[k].id
	}
	c.lock.Unlock()
	if ok {
		c.push(func(b []byte) []byte { return appendWait(b, id, startMS, endMS) })
	}
}

// Succeeded, Denied and WrittenOff answer a request.
func (c *client) Succeeded(tag uint64, body []byte) {
	c.answer(tag, func(b, id []byte) []byte { return appendResult(b, id, body) })
}

func (c *client) Rejected(tag uint64, afterMS float64) {
	c.answer(tag, func(b, id []byte) []byte { return appendError(b, id, fault{codeDenied, "denied"}, afterMS) })
}

func (c *client) Failed(tag uint64) {
	c.answer(tag, func(b, id []byte) []byte { return appendError(b, id, fault{codeFailed, "written off"}, 0) })
}
