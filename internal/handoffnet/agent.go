// Package handoffnet carries the messages of a controller's handoff.Manager to other controllers, and brings it theirs, the events of the
// dispatch loop and what the consensus group agrees on. It must not decide what is copied or adopted.
//
// The manager belongs to the dispatch loop's goroutine. Messages to another member queue for a goroutine of its own, which sends them as
// datagrams where these get through (see transportPath), and else has one call in flight at a time, so that what waits meanwhile goes
// together.
package handoffnet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/raftnode"
	"liftshift/scheduler"
)

const (
	streamQueue   = 4096                   // batches that wait for one member; beyond it they are dropped, and sent again later
	replyQueue    = 4096                   // replies to datagrams that wait to be sent
	maxCallBytes  = 1 << 20                // of the batches of one call
	maxStreams    = 512                    // members that there is a stream to
	maxQueuedMS   = 200                    // a batch that has waited longer is dropped: the ages in it would be wrong
	refreshMS     = 20                     // between two requests for the agreed table
	replyTimeout  = 900 * time.Millisecond // of a call from another member: less than its own timeout
	noAddressWait = 20 * time.Millisecond  // before a batch for a member without address counts as failed
	numberBits    = 20                     // of a datagram's number, below the time at which this controller started
)

// Agent connects a handoff.Manager with the dispatch loop, the transport and the consensus group.
type Agent struct {
	manager   *handoff.Manager
	loop      *dispatch.Loop
	clock     dispatch.Clock
	transport *clusternet.Transport
	node      *raftnode.Node
	leaseHeld func() bool // nil: there is no node yet
	log       logrus.FieldLogger

	// State of the dispatch loop's goroutine.
	endpoints   map[uint32]scheduler.Endpoint // by executor
	tokens      uint64
	refreshedAt float64
	replies     map[uint64]func([]byte, error)
	queries     map[uint64]*dispatch.OutcomeQuery
	copies      *copyStore // nil: copies are in memory alone

	addresses atomic.Pointer[map[string]string]
	mu        sync.Mutex
	streams   map[string]*peerStream
	stop      chan struct{}
	inFlight  sync.Map // datagrams that are not answered, by number
	number    atomic.Uint64
	replyOut  chan datagramReply

	dropped, calls, callsFailed, datagrams, unanswered atomic.Uint64
	counts                                             atomic.Pointer[handoff.Counts]
}

// Messages to the dispatch loop's goroutine.
type (
	batchReceived struct {
		batch *handoff.Batch
		reply func([]byte, error)
	}
	batchAnswered struct {
		to          string
		sent, reply *handoff.Batch
	}
	configurationChanged struct{ configuration raftnode.Configuration }
	incarnationChanged   struct{ incarnation uint64 }
	copiesStored         struct {
		token uint64
		err   error
	}
)

// New returns the agent of a controller.
func New(self handoff.Member, settings handoff.Settings, seed uint32, loop *dispatch.Loop, clock dispatch.Clock, transport *clusternet.Transport, log logrus.FieldLogger) *Agent {
	return &Agent{
		manager:   handoff.New(self, settings, seed),
		loop:      loop,
		clock:     clock,
		transport: transport,
		log:       log,
		endpoints: map[uint32]scheduler.Endpoint{},
		replies:   map[uint64]func([]byte, error){},
		queries:   map[uint64]*dispatch.OutcomeQuery{},
		streams:   map[string]*peerStream{},
		stop:      make(chan struct{}),
		replyOut:  make(chan datagramReply, replyQueue),
	}
}

// Start has the agent follow the consensus group and listen to other members. It is called before the transport starts.
func (a *Agent) Start(node *raftnode.Node) {
	a.node = node
	a.leaseHeld = node.LeaseHeld
	node.OnConfiguration = func(c raftnode.Configuration) {
		a.addresses.Store(&c.Addresses)
		go a.post(configurationChanged{c})
	}
	node.OnIncarnation = func(incarnation uint64) { go a.post(incarnationChanged{incarnation}) }
	a.listen()
}

// listen has the agent receive what other members send.
func (a *Agent) listen() {
	a.transport.HandoffCall = a.handleCall
	a.transport.HandoffDatagram = a.handleDatagram
	a.number.Store(uint64(a.clock.Now()) << numberBits) // no answer to an earlier incarnation is taken for one to this
	go a.sendReplies()
}

// post brings a message to the dispatch loop; it waits while its queue is full.
func (a *Agent) post(message any) { a.loop.Put(dispatch.QueueItem{Message: message}) }

// LeaseHeld reports whether this controller may act on its lease at this moment. Any goroutine may call it.
func (a *Agent) LeaseHeld() bool {
	return a.leaseHeld != nil && (ignoreLeases || a.leaseHeld())
}

// Manager returns the manager, for a call on the dispatch loop's goroutine.
func (a *Agent) Manager() *handoff.Manager { return a.manager }

// Close ends the agent. The dispatch loop and the transport have ended.
func (a *Agent) Close() {
	close(a.stop)
	if a.copies != nil {
		a.copies.close(a.log)
	}
}
