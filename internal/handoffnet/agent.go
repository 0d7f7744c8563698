// Package handoffnet connects a controller's handoff.Manager with the dispatch loop, the other controllers and the
// consensus group. It transports messages and carries out effects; what is copied or adopted is decided by the manager
// alone.
//
// The manager is used on the dispatch loop's goroutine only. Batches for another member are queued for a goroutine of
// that member's own (see peerStream). It sends short batches as datagrams while these are answered (see transportPath).
// Otherwise it makes one call at a time and merges the batches that are queued meanwhile.
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
)

const (
	streamQueueSize    = 4096                   // batches queued per member; further ones are dropped
	replyQueueSize     = 4096                   // queued replies to datagrams
	maxCallBytes       = 1 << 20                // bytes after which no further batch is merged into a call
	maxStreams         = 512                    // members that have a stream at the same time
	maxQueuedMS        = 200                    // time after which the ages in a queued batch are wrong and it is dropped
	refreshIntervalMS  = 20                     // least time between two requests for the placement table
	replyTimeout       = 900 * time.Millisecond // of a member's call; shorter than the caller's own timeout
	noAddressDelay     = 20 * time.Millisecond  // before a call to a member without a known address fails
	datagramNumberBits = 20                     // low bits of a datagram's number, below the agent's start time in ms
)

// Agent connects a handoff.Manager with the dispatch loop, the transport and the consensus group.
type Agent struct {
	manager   *handoff.Manager
	loop      *dispatch.Loop
	clock     dispatch.Clock
	transport *clusternet.Transport
	node      *raftnode.Node
	leaseHeld func() bool // nil until Start
	log       logrus.FieldLogger

	// State of the dispatch loop's goroutine.
	lastToken   uint64
	refreshedAt float64
	replies     map[uint64]func([]byte, error)    // by token: callbacks of received batches without a reply yet
	queries     map[uint64]*dispatch.OutcomeQuery // by token: queries without an answer yet
	copies      *copyStore                        // nil: copies are stored in memory only

	addresses          atomic.Pointer[map[string]string] // by member name
	mu                 sync.Mutex                        // guards streams
	streams            map[string]*peerStream            // by member name
	stop               chan struct{}
	inFlight           sync.Map // unanswered datagrams (*datagram) by number
	lastDatagramNumber atomic.Uint64
	datagramReplies    chan datagramReply // replies to be sent

	dropped, calls, callsFailed, datagrams, unanswered atomic.Uint64
	managerCounts                                      atomic.Pointer[handoff.Counts]
}

// Messages to the dispatch loop's goroutine.
type (
	batchReceived struct {
		batch *handoff.Batch
		reply func([]byte, error)
	}
	// batchAnswered has a nil reply if the member did not reply.
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

// New returns the agent of a controller. It receives nothing from other members until Start.
func New(
	self handoff.Member, settings handoff.Settings, seed uint32,
	loop *dispatch.Loop, clock dispatch.Clock, transport *clusternet.Transport, log logrus.FieldLogger,
) *Agent {
	return &Agent{
		manager:         handoff.New(self, settings, seed),
		loop:            loop,
		clock:           clock,
		transport:       transport,
		log:             log,
		replies:         map[uint64]func([]byte, error){},
		queries:         map[uint64]*dispatch.OutcomeQuery{},
		streams:         map[string]*peerStream{},
		stop:            make(chan struct{}),
		datagramReplies: make(chan datagramReply, replyQueueSize),
	}
}

// Start subscribes the agent to the consensus group and to the messages of other members. It must be called before the
// transport starts.
func (a *Agent) Start(node *raftnode.Node) {
	a.node = node
	a.leaseHeld = node.LeaseHeld
	node.OnConfiguration = func(c raftnode.Configuration) {
		a.addresses.Store(&c.Addresses)
		go a.post(configurationChanged{c})
	}
	node.OnIncarnation = func(incarnation uint64) { go a.post(incarnationChanged{incarnation}) }
	a.startReceiving()
}

// startReceiving registers the handlers for calls and datagrams of other members.
func (a *Agent) startReceiving() {
	a.transport.HandoffCall = a.handleCall
	a.transport.HandoffDatagram = a.handleDatagram
	// Numbers begin at the start time, so that a late reply to an earlier incarnation matches no datagram of this one.
	a.lastDatagramNumber.Store(uint64(a.clock.Now()) << datagramNumberBits)
	go a.sendReplies()
}

// post queues a message for the dispatch loop and blocks while the loop's queue is full.
func (a *Agent) post(message any) { a.loop.Put(dispatch.QueueItem{Message: message}) }

// LeaseHeld reports whether this controller holds its lease now. It may be called from any goroutine.
func (a *Agent) LeaseHeld() bool {
	return a.leaseHeld != nil && (ignoreLeases || a.leaseHeld())
}

// Manager returns the manager, which may be used on the dispatch loop's goroutine only.
func (a *Agent) Manager() *handoff.Manager { return a.manager }

// SetKeyRetention changes how long copies are kept that are stored from now on. It may be called from any goroutine but the
// dispatch loop's.
func (a *Agent) SetKeyRetention(ms float64) {
	changed := &handoff.Event{Kind: handoff.RetentionChanged, KeyRetentionMS: ms}
	a.loop.Put(dispatch.QueueItem{Call: func(now float64) { a.Step(now, changed) }})
}

// Close stops the agent's goroutines and closes the stored copies. The dispatch loop and the transport must have
// stopped before.
func (a *Agent) Close() {
	close(a.stop)
	if a.copies != nil {
		a.copies.close(a.log)
	}
}
