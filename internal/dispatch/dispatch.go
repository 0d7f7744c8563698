// Package dispatch is the event loop that owns all request state: the open requests with their attempts, the timers,
// the scheduler and its clock.
//
// A single goroutine, Loop.Run, owns that state. Protocol code reaches it only through the queue (Put, TryPut,
// Submit, Call). The interfaces that the loop calls in turn (ExecutorTransport, PeerSender, ListWatcher, Client) must
// not block; their implementations queue the work. Subsystems take part in the handling of requests through
// Extension. The package does no I/O and makes no scheduling decisions.
package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/scheduler"
)

const (
	queueCapacity      = 1024  // items that fit into the queue before Put blocks
	countersIntervalMS = 10000 // between two log lines with counters
	tickIntervalMS     = 100   // between two Ticked events for the extensions
)

// QueueItem is one item of the loop's queue: an event for the scheduler with the data that belongs to it, or a Message,
// a Query or a Call.
type QueueItem struct {
	Event   scheduler.Event
	Request *Request // RequestArrived
	Body    []byte   // AttemptEnded: the answer of the executor
	Client  Client   // ClientLeft: the client that left
	Token   uint64   // HealthChecked: the token of the health check; ClientLeft: the tag of the request
	Message any      // delivered to all extensions as MessagePosted
	Query   *OutcomeQuery
	Call    func(now float64) // runs on the loop's goroutine and must not block

	queuedAt float64
	resumed  bool              // RequestArrived: the request was suspended before, or is adopted from another controller
	refusal  *scheduler.Action // set only in Loop.pending: the request is refused once its cancelled attempt has ended
}

// Loop owns the scheduler and the state of all requests.
type Loop struct {
	Executors            ExecutorTransport
	Peers                PeerSender
	EndpointList         ListWatcher
	HealthCheckTimeoutMS float64 // after which an unanswered health check counts as timed out
	// MaxKnownIDs limits the ids of open and closed requests that are remembered. Requests past it are rejected, and told
	// to retry after RetryAfterMS. 0: no limit.
	MaxKnownIDs  int
	RetryAfterMS float64
	// LeaseHeld tells whether an attempt that an extension held may still be sent. The executor client calls it right
	// before sending. Nil permits every attempt.
	LeaseHeld func() bool

	clock         Clock
	policy        scheduler.Policy
	log           logrus.FieldLogger
	queue         chan QueueItem
	stop          chan struct{}
	done          chan struct{}
	requests      map[string]*requestState
	suspended     map[string]*Request // by id; each waits for Resume or AnswerSuspended, or for its turn
	orderTurns    orderTurns
	closedIDs     map[string]struct{} // ids of closed requests, kept until their deadline
	freeRequests  []*requestState     // released states for reuse
	timers        timers
	healthChecks  map[uint32]uint64 // token of the outstanding health check by executor
	lastToken     uint64
	pending       []QueueItem // events caused by the loop's own actions, not yet handled
	actions       []scheduler.Action
	counters      Counters
	offers        []Command // OfferRequest and CapPriority commands that the scheduler does not have yet, in order
	extensions    []Extension
	commands      []Command // buffer that notifyExtensions reuses
	executorViews []scheduler.ExecutorView
	estimates     []scheduler.Estimate
	openCount     atomic.Int64

	shutdownDeadline float64 // by which a shutdown wants all requests answered; +Inf: there is none
	stalls           stallDetector
}

// New returns a loop for one scheduler. Set its exported fields and register its extensions before Run.
func New(clock Clock, policy scheduler.Policy, log logrus.FieldLogger) *Loop {
	return &Loop{
		clock:        clock,
		policy:       policy,
		log:          log,
		queue:        make(chan QueueItem, queueCapacity),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		requests:     map[string]*requestState{},
		suspended:    map[string]*Request{},
		orderTurns:   orderTurns{},
		closedIDs:    map[string]struct{}{},
		healthChecks: map[uint32]uint64{},

		shutdownDeadline: math.Inf(1),
	}
}

// Put queues an item. It blocks while the queue is full and drops the item once the loop has ended.
func (l *Loop) Put(item QueueItem) {
	item.queuedAt = l.clock.Now()
	select {
	case l.queue <- item:
	case <-l.done:
	}
}

// TryPut queues an item unless the queue is full, and returns whether it did. It never blocks.
func (l *Loop) TryPut(item QueueItem) bool {
	item.queuedAt = l.clock.Now()
	select {
	case l.queue <- item:
		return true
	default:
		return false
	}
}

// Submit queues a request and counts it as open.
func (l *Loop) Submit(r *Request) {
	l.openCount.Add(1)
	l.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: r})
}

// BeginShutdown tells the scheduler that this controller shuts down and that all open requests must be answered by the
// deadline.
func (l *Loop) BeginShutdown(deadline float64) {
	l.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: deadline}})
}

// Call runs a function on the loop's goroutine and waits until it returns. It returns false if the loop has ended.
func (l *Loop) Call(call func(now float64)) bool {
	called := make(chan struct{})
	l.Put(QueueItem{Call: func(now float64) { call(now); close(called) }})
	select {
	case <-called:
		return true
	case <-l.done:
		return false
	}
}

// OpenRequests returns the number of requests that were submitted and not answered, including those in the queue. It is
// safe for concurrent use.
func (l *Loop) OpenRequests() int { return int(l.openCount.Load()) }

// EarliestArrival returns the earliest time at which data that is read now may have arrived. It is earlier than now
// during and shortly after a stall of this process. It is safe for concurrent use.
func (l *Loop) EarliestArrival(now float64) float64 { return l.stalls.earliestArrival(now) }

// Stop ends Run and waits until it has returned.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.done
}

// Run processes the queue and the timers until Stop. Queued items are processed before due timers, so that no timeout
// fires while the answer that it waits for is in the queue.
func (l *Loop) Run() {
	defer close(l.done)
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	armedFor := 0.0
	var received []QueueItem // the item that ended the wait, or all that were collected after a stall
	l.start()
	dueAt := math.Inf(1) // of the next timer, as the last turn ended
	for {
		now := l.clock.Now()
		l.stalls.recordTurn(now)
		if now-dueAt >= longStallMS {
			received = l.collectAfterStall(received)
		}
		for k := range received {
			l.process(received[k])
		}
		clear(received)
		received = received[:0]
		for n := len(l.queue); n > 0; n-- {
			l.process(<-l.queue)
		}
		l.fireTimers()
		dueAt = l.timers[0].at
		if dueAt != armedFor {
			armedFor = dueAt
			wakeUp.Reset(l.clock.until(dueAt))
		}
		select {
		case item := <-l.queue:
			received = append(received, item)
		case <-wakeUp.C:
			armedFor = 0
		case <-l.stop:
			l.logCounters("counters: end")
			l.logExecutorStates()
			return
		}
	}
}

// start tells the scheduler that the loop runs and sets the loop's own timers.
func (l *Loop) start() {
	l.process(QueueItem{Event: scheduler.Event{Kind: scheduler.Started}, queuedAt: l.clock.Now()})
	l.timers.push(timer{at: l.clock.Now() + countersIntervalMS, kind: countersTimer})
	if len(l.extensions) > 0 {
		l.timers.push(timer{at: l.clock.Now() + tickIntervalMS, kind: tickTimer})
	}
}

// fireTimers fires the timers that are due.
func (l *Loop) fireTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		l.fire(now, l.timers.pop())
	}
}

// fire handles one timer that is due; periodic timers are set again.
func (l *Loop) fire(now float64, due timer) {
	switch due.kind {
	case schedulerTimer:
		l.process(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired, Token: due.token}, queuedAt: due.at})
	case deadlineTimer:
		l.expireRequest(due.request)
	case releaseTimer:
		due.running.Release()
	case healthCheckTimer:
		l.expireHealthCheck(now, due)
	case tickTimer:
		l.timers.push(timer{at: now + tickIntervalMS, kind: tickTimer})
		l.tick()
	case countersTimer:
		l.logCounters("counters")
		l.logExecutorStates()
		l.timers.push(timer{at: now + countersIntervalMS, kind: countersTimer})
	}
}

// process handles an item of the queue and then all events that it causes.
func (l *Loop) process(item QueueItem) {
	l.counters.recordQueueWait(l.clock.Now() - item.queuedAt)
	switch {
	case item.Message != nil:
		l.notify(Event{Kind: MessagePosted, Message: item.Message})
	case item.Query != nil:
		l.answerQuery(item.Query)
	case item.Call != nil:
		item.Call(l.clock.Now())
	case item.Event.Kind == scheduler.PeerMessage && l.consumedByExtension(&item.Event):
	default:
		l.handleEvent(item)
	}
	l.processPending()
}

// consumedByExtension offers a message from another controller to the extensions and returns whether one consumed it.
func (l *Loop) consumedByExtension(event *scheduler.Event) bool {
	return l.notify(Event{Kind: PeerMessage, Peer: event.FromPeer, Payload: event.Payload}).consumed
}

// processPending handles the events and offers that the loop's own actions cause, events first, until none are left.
func (l *Loop) processPending() {
	for {
		switch {
		case len(l.pending) > 0:
			next := l.pending[0]
			l.pending = append(l.pending[:0], l.pending[1:]...)
			l.handleEvent(next)
		case len(l.offers) > 0:
			next := l.offers[0]
			l.offers = append(l.offers[:0], l.offers[1:]...)
			l.handleOffer(&next)
		default:
			return
		}
	}
}

// tick sends the periodic Ticked event to the extensions, looks for requests that have waited too long for their turn, and
// handles what it causes.
func (l *Loop) tick() {
	l.notify(Event{Kind: Ticked, SchedulerState: l.schedulerState})
	l.resumeOverdueTurns(l.clock.Now())
	l.processPending()
}
