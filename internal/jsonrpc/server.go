// Package jsonrpc serves clients: JSON-RPC 2.0 in messages with a Content-Length header, over TCP.
//
// It owns the clients' connections, the limits on them, and the codec. It decides nothing about requests: it hands them to the event
// loop and writes the answers that come back. Names on the wire are literals in the codec.
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

// Limits of a connection.
const (
	maxOpenRequests   = 32              // on a connection
	maxQueuedBytes    = 3 << 20         // of output: the largest answers of a full connection
	writeTimeout      = 2 * time.Second // for an answer to get through to a client that reads
	messageTimeout    = 2 * time.Second // for the first message, and for each from its first byte on, to be complete
	idleTimeout       = 5 * time.Second // without a message and with nothing open; usual clients close after 4 s
	openCheckInterval = 15 * time.Second
	maxBadMessages    = 64 // until the connection is closed
	readBufferBytes   = 4 << 10
	maxKeptBuffer     = 16 << 10  // of a message buffer that is reused
	kernelBufferBytes = 128 << 10 // of output that the system holds for a client that does not read
)

// EventQueue takes what clients ask for.
type EventQueue interface {
	Put(dispatch.QueueItem)
	Submit(*dispatch.Request)
	OpenRequests() int // requests taken and not answered
}

// ClassLimits is what a server has to know of a request class.
type ClassLimits struct {
	Keyed         bool    // an idempotency key is required
	MaxDeadlineMS float64 // longest deadline that a client may ask for; 0: unknown
}

// Limits are the limits of a server and what it serves besides requests.
type Limits struct {
	MaxConns, MaxOpen           int     // connections; open requests of the whole controller, 0: any number
	RetryAfterMS                float64 // told to clients that are rejected here; 0: nothing may be told
	ServeOutcomes               bool    // the method outcome is served
	RequestBudget, OutputBudget *netconn.ByteBudget

	// Arrival returns the earliest clock at which what is read now may have come: earlier than now where this process stalled
	// meanwhile. Nil: now.
	Arrival func(now float64) float64
}

// Server accepts clients' connections and serves them.
type Server struct {
	queue          EventQueue
	clock          dispatch.Clock
	log            logrus.FieldLogger
	requestBudget  *netconn.ByteBudget // bodies of open requests
	outputBudget   *netconn.ByteBudget // queued output
	classes        map[string]ClassLimits
	maxOpen        int
	retryAfterMS   float64
	servesOutcomes bool
	arrival        func(now float64) float64
	listener       net.Listener
	slots          chan struct{} // one for each connection that there may be
	stopped        chan struct{}
	ready          atomic.Bool

	mu          sync.Mutex
	connections map[*clientConn]struct{}
	draining    bool

	Accepted, BadRequests, FramingErrors, AcceptPauses, Rejected, TimedOut, Evicted atomic.Uint64
}

// NewServer listens at an address. Nothing is accepted before Run.
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
		queue:          queue,
		clock:          clock,
		log:            log,
		requestBudget:  limits.RequestBudget,
		outputBudget:   limits.OutputBudget,
		classes:        classes,
		maxOpen:        limits.MaxOpen,
		retryAfterMS:   limits.RetryAfterMS,
		servesOutcomes: limits.ServeOutcomes,
		arrival:        limits.Arrival,
		listener:       listener,
		slots:          make(chan struct{}, max(1, limits.MaxConns)),
		stopped:        make(chan struct{}),
		connections:    map[*clientConn]struct{}{},
	}, nil
}

// arrivalTime returns the clock at which what is read now may have come.
func (s *Server) arrivalTime() float64 {
	now := s.clock.Now()
	if s.arrival == nil {
		return now
	}
	return s.arrival(now)
}

// SetReady sets what the method probe answers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }
