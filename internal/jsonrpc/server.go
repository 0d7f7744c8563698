// Package jsonrpc serves clients over TCP with JSON-RPC 2.0. Each JSON-RPC message follows a Content-Length header.
//
// The package owns the clients' connections, their limits and the codec. It makes no scheduling decisions: it submits
// requests to the event loop and writes the answers that the event loop returns. Names on the wire are literals in the
// codec.
package jsonrpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/internal/retry"
)

// Limits of one connection.
const (
	maxOpenRequests   = 32
	maxQueuedBytes    = 3 << 20         // of output; fits the largest answers of maxOpenRequests requests
	writeTimeout      = 2 * time.Second // the longest that a write may make no progress
	messageTimeout    = 2 * time.Second // from the accept to the end of the first message, then from first to last byte
	idleTimeout       = 5 * time.Second // without a message and without open requests; typical clients close after 4 s
	openCheckInterval = 15 * time.Second
	maxBadMessages    = 64 // the connection is closed at this many unusable messages
	readBufferBytes   = 4 << 10
	socketBufferBytes = 128 << 10 // output that the kernel buffers for a client that does not read
)

// EventQueue receives the requests and events of clients.
type EventQueue interface {
	Put(dispatch.QueueItem)
	Submit(*dispatch.Request)
	OpenRequests() int // requests that were submitted and are not answered yet
}

// ClassLimits holds the rules of a request class that the server enforces.
type ClassLimits struct {
	Keyed         bool    // an idempotency key is required
	MaxDeadlineMS float64 // longest deadline that a client may ask for; 0: no limit
}

// Limits holds the limits of a server and its optional features.
type Limits struct {
	MaxConns      int                 // connections that are served at a time
	MaxOpen       int                 // open requests of the whole controller; 0: no limit
	RetryAfterMS  float64             // sent to clients that the server itself rejects; 0: nothing is sent
	ServeOutcomes bool                // serve the method "outcome"
	RequestBudget *netconn.ByteBudget // bodies of open requests
	MessageBudget *netconn.ByteBudget // messages over unreservedMessageBytes that are being read
	OutputBudget  *netconn.ByteBudget // queued output

	// EarliestArrival returns the earliest time at which data that is read now may have arrived. That is before now if
	// this process stalled in the meantime. If it is nil, data counts as having arrived now.
	EarliestArrival func(now float64) float64
}

// Server accepts clients' connections and serves them.
type Server struct {
	queue           EventQueue
	clock           dispatch.Clock
	log             logrus.FieldLogger
	requestBudget   *netconn.ByteBudget // bodies of open requests
	messageBudget   *netconn.ByteBudget // messages over unreservedMessageBytes that are being read
	messageBuffers  sync.Pool           // of *[maxMessageBytes]byte; each in use is reserved in messageBudget
	messageWaiters  atomic.Int32        // connections that wait for such a buffer
	outputBudget    *netconn.ByteBudget // queued output
	classes         map[string]ClassLimits
	maxOpen         int
	retryAfterMS    float64
	servesOutcomes  bool
	earliestArrival func(now float64) float64 // nil: data arrives when it is read
	listener        net.Listener
	slots           chan struct{} // holds one element per served connection; its capacity is the connection limit
	stopped         chan struct{} // closed when draining begins
	ready           atomic.Bool

	mu          sync.Mutex // guards connections and draining
	connections map[*clientConn]struct{}
	draining    bool

	// Counters since the start.
	Accepted      atomic.Uint64 // connections
	BadRequests   atomic.Uint64 // messages answered with an error before they reached the event loop
	FramingErrors atomic.Uint64 // connections closed because their framing was lost or too many messages were unusable
	AcceptPauses  atomic.Uint64 // failed accepts, and accepted connections that had to wait for a slot
	Rejected      atomic.Uint64 // requests over a limit of open requests or of their bytes
	TimedOut      atomic.Uint64 // connections that did not send a whole message within messageTimeout
	Evicted       atomic.Uint64 // idle connections closed to free a slot or a descriptor
}

// NewServer returns a server that listens on an address. It accepts connections only once Run is called.
func NewServer(listen string, classes map[string]ClassLimits, queue EventQueue, clock dispatch.Clock, limits Limits,
	log logrus.FieldLogger) (*Server, error) {
	var listener net.Listener
	err := retry.Listen(func() (err error) {
		listener, err = net.Listen("tcp", listen)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Server{
		queue:           queue,
		clock:           clock,
		log:             log,
		requestBudget:   limits.RequestBudget,
		messageBudget:   limits.MessageBudget,
		messageBuffers:  sync.Pool{New: func() any { return new([maxMessageBytes]byte) }},
		outputBudget:    limits.OutputBudget,
		classes:         classes,
		maxOpen:         limits.MaxOpen,
		retryAfterMS:    limits.RetryAfterMS,
		servesOutcomes:  limits.ServeOutcomes,
		earliestArrival: limits.EarliestArrival,
		listener:        listener,
		slots:           make(chan struct{}, max(1, limits.MaxConns)),
		stopped:         make(chan struct{}),
		connections:     map[*clientConn]struct{}{},
	}, nil
}

// earliestArrivalAt returns the earliest time at which data that is read now may have arrived.
func (s *Server) earliestArrivalAt(now float64) float64 {
	if s.earliestArrival == nil {
		return now
	}
	return s.earliestArrival(now)
}

// SetReady sets the answer to the method "probe".
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }
