// Package dispatch is the event loop that owns all request state: the open requests with their attempts, the timers,
// the scheduler and its clock.
//
// One goroutine (Loop.Run) owns that state. Protocol code reaches it through the queue alone (Put, TryPut, Submit, Call).
// What the loop asks of the protocols must not block: it is queued there. Subsystems take part through Extension.
// The package does no I/O and takes no scheduling decision of its own.
package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/scheduler"
)

const (
	queueCapacity      = 1024  // items in the queue before protocol code waits
	countersIntervalMS = 10000 // between two lines of counters
	tickIntervalMS     = 100   // between two ticks of the extensions
)

// QueueItem is one item of the loop's queue: an event for the scheduler and what belongs to it, or one of Message, Query and Call.
type QueueItem struct {
	Event   scheduler.Event
	Request *Request // RequestArrived
	Body    []byte   // AttemptEnded: the answer
	Client  Client   // ClientLeft: who left
	Token   uint64   // HealthChecked: which health check; ClientLeft: the tag of the request
	Message any      // for the extension that knows its type
	Query   *OutcomeQuery
	Call    func(now float64) // runs on the loop's goroutine and must not wait

	queuedAt float64
	resumed  bool // RequestArrived: it was suspended before, or is adopted
}

// Loop owns the scheduler and the state of all requests.
type Loop struct {
	Executors            ExecutorTransport
	Peers                PeerSender
	List                 ListWatcher
	HealthCheckTimeoutMS float64     // how long the answer of a health check is waited for
	LeaseHeld            func() bool // asked at the last step before an attempt that was held leaves; nil: it may

	clock         Clock
	policy        scheduler.Policy
	log           logrus.FieldLogger
	queue         chan QueueItem
	stop          chan struct{}
	done          chan struct{}
	requests      map[string]*request
	suspended     map[string]*Request // by id; they wait for Resume or AnswerSuspended
	closedIDs     map[string]struct{} // ids of closed requests, until their deadline
	freeRequests  []*request
	timers        timers
	healthChecks  map[uint32]uint64 // by executor: the token of the check that is out
	lastToken     uint64
	pending       []QueueItem // events that come of the loop's own actions
	actions       []scheduler.Action
	counters      Counters
	offers        []Command // offers and priority caps that are still to be handed to the scheduler, in order
	extensions    []Extension
	commands      []Command // scratch of notifyExtensions
	executorViews []scheduler.ExecutorView
	estimates     []scheduler.Estimate
	openCount     atomic.Int64
	stalls        stallDetector
}

// New returns a loop for one scheduler. Its exported fields are set and its extensions registered before Run.
func New(clock Clock, policy scheduler.Policy, log logrus.FieldLogger) *Loop {
	return &Loop{
		clock:        clock,
		policy:       policy,
		log:          log,
		queue:        make(chan QueueItem, queueCapacity),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		requests:     map[string]*request{},
		suspended:    map[string]*Request{},
		closedIDs:    map[string]struct{}{},
		healthChecks: map[uint32]uint64{},
	}
}

// Put queues an item. It waits while the queue is full and drops the item once the loop has ended.
func (l *Loop) Put(item QueueItem) {
	item.queuedAt = l.clock.Now()
	select {
	case l.queue <- item:
	case <-l.done:
	}
}

// TryPut queues an item and returns whether there was room. It never waits.
func (l *Loop) TryPut(item QueueItem) bool {
	item.queuedAt = l.clock.Now()
	select {
	case l.queue <- item:
		return true
	default:
		return false
	}
}

// Submit queues a request.
func (l *Loop) Submit(r *Request) {
	l.openCount.Add(1)
	l.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: r})
}

// BeginShutdown tells the scheduler that this controller stops: all that was taken must be answered by the deadline.
func (l *Loop) BeginShutdown(deadline float64) {
	l.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: deadline}})
}

// Call runs a function on the loop's goroutine and waits for it; false if the loop has ended.
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

// OpenRequests returns how many requests are taken and not answered, those still in the queue included. It is safe for concurrent use.
func (l *Loop) OpenRequests() int { return int(l.openCount.Load()) }

// Arrival returns the earliest time at which what is read now may have come. It is safe for concurrent use.
func (l *Loop) Arrival(now float64) float64 { return l.stalls.earliestArrival(now) }

// Stop ends Run and waits for it.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.done
}

// Run processes the queue and the timers until Stop. Queued items go before due timers: a timer must not take for silence
// what is in the queue already.
func (l *Loop) Run() {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	armedFor := 0.0
	l.start()
	for {
		l.stalls.recordTurn(l.clock.Now())
		for n := len(l.queue); n > 0; n-- {
			l.process(<-l.queue)
		}
		l.fireTimers()
		if next := l.timers[0].at; next != armedFor {
			armedFor = next
			alarm.Reset(l.clock.until(next))
		}
		select {
		case item := <-l.queue:
			l.process(item)
		case <-alarm.C:
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

// fireTimers runs the timers that are due.
func (l *Loop) fireTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		l.fire(now, l.timers.pop())
	}
}

func (l *Loop) fire(now float64, t timer) {
	switch t.kind {
	case schedulerTimer:
		l.process(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired, Token: t.token}, queuedAt: t.at})
	case deadlineTimer:
		l.expireRequest(t.request)
	case releaseTimer:
		t.running.Release()
	case healthCheckTimer:
		l.expireHealthCheck(now, t)
	case tickTimer:
		l.timers.push(timer{at: now + tickIntervalMS, kind: tickTimer})
		l.tick()
	case countersTimer:
		l.logCounters("counters")
		l.logExecutorStates()
		l.timers.push(timer{at: now + countersIntervalMS, kind: countersTimer})
	}
}

// process handles an item of the queue, then all that comes of it.
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

// consumedByExtension offers a peer's message to the extensions and returns whether one of them took it.
func (l *Loop) consumedByExtension(event *scheduler.Event) bool {
	return l.notify(Event{Kind: PeerMessage, Peer: event.FromPeer, Payload: event.Payload}).consumed
}

// processPending handles the events and offers that come of the loop's own actions, events first.
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

// tick gives the extensions their time.
func (l *Loop) tick() {
	l.notify(Event{Kind: Ticked, SchedulerState: l.schedulerState})
	l.processPending()
}
