// Package resp connects to executors. Requests, progress reports, pages of answers and health checks travel as arrays
// of bulk strings, as in RESP.
//
// The package owns the table of executors with their connections, the attempts and health checks in flight, and the
// codec. Package connpool decides which connection an attempt takes. Names on the wire are literals in the codec.
package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/connpool"
	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
)

// idleTimeoutFactor is the part of the executors' idle timeout after which the client closes an unused connection, so
// that it does so before the executor.
const idleTimeoutFactor = 0.8

// EventQueue receives the ends of attempts and the results of health checks.
type EventQueue interface{ Put(dispatch.QueueItem) }

// Client holds the connections to all executors. It implements dispatch.ExecutorTransport.
type Client struct {
	// LeaseHeld returns whether a held attempt may be sent at this moment. Nil permits every attempt. It is set before
	// the first attempt.
	LeaseHeld func() bool

	queue              EventQueue
	clock              dispatch.Clock
	log                logrus.FieldLogger
	budget             *netconn.ByteBudget
	connectTimeout     time.Duration // for dialing, and for a write that makes no progress
	idleTimeout        time.Duration // after which an unused connection is closed
	maxPerConn         int           // attempts on one connection
	dial               func(network, address string) (net.Conn, error)
	healthCheckCommand string
	reportNames        []string

	mu             sync.Mutex
	maxConns       int // to all executors; 0 after Stop
	executors      map[uint32]*executor
	connections    map[*executorConn]struct{} // includes connections to removed executors
	lastSeq        uint64
	losses         connpool.LossStats
	poolView       []connpool.Conn // reused by pickConn
	retiredIndices []int           // reused by pickConn

	// Counters of events since the start.
	StrayReplies      atomic.Uint64 // replies that match no open attempt or health check, and duplicate pages
	MalformedReplies  atomic.Uint64 // malformed replies; each ends its connection
	Dials             atomic.Uint64
	DialFailures      atomic.Uint64
	LocalDialFailures atomic.Uint64 // dial failures that this host caused
	ResumedAnswers    atomic.Uint64 // answers whose missing pages were requested over a second connection
	BlockedAttempts   atomic.Uint64 // attempts that the final check kept from being sent
}

// Limits are the limits of a client and the executor settings of the platform.
type Limits struct {
	ConnectMS, IdleMS    float64 // connect timeout, and the idle timeout of the executors
	MaxPerConn, MaxConns int
	ReportNames          []string // names of the values of a load report; empty if executors send none
}

// NewClient returns a client without executors. Budget limits the queued output of all connections together.
func NewClient(
	queue EventQueue, clock dispatch.Clock, budget *netconn.ByteBudget, limits Limits, log logrus.FieldLogger,
) *Client {
	healthCheckCommand := "alive"
	if len(limits.ReportNames) > 0 {
		healthCheckCommand = "stats"
	}
	dialer := &net.Dialer{Timeout: netconn.Millis(limits.ConnectMS), KeepAlive: -1}
	return &Client{
		queue:              queue,
		clock:              clock,
		log:                log,
		budget:             budget,
		connectTimeout:     netconn.Millis(limits.ConnectMS),
		idleTimeout:        netconn.Millis(limits.IdleMS * idleTimeoutFactor),
		maxPerConn:         max(1, limits.MaxPerConn),
		maxConns:           max(1, limits.MaxConns),
		dial:               dialer.Dial,
		healthCheckCommand: healthCheckCommand,
		reportNames:        limits.ReportNames,
		executors:          map[uint32]*executor{},
		connections:        map[*executorConn]struct{}{},
	}
}

// Stop ends all connections. No attempt can be sent afterwards.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = 0
	for conn := range c.connections {
		conn.draining = true
		conn.End(true)
	}
}

// pickConn returns the connection that package connpool picks for an attempt, or a new one, or nil if the limit of
// connections is reached. At the limit, the connection that has been idle for longest is closed to make room for a new
// one. The lock is held.
func (c *Client) pickConn(target *executor, requestID string) *executorConn {
	now := time.Now()
	c.poolView = c.poolView[:0]
	for _, conn := range target.conns {
		c.poolView = append(c.poolView, connpool.Conn{
			Up:           conn.connected,
			Draining:     conn.draining,
			Excluded:     conn.openAttempts[requestID] != nil || conn.endedIDs[requestID],
			Attempts:     len(conn.openAttempts),
			HealthChecks: len(conn.healthChecks),
			IdleMS:       float64(now.Sub(conn.lastUsed)) / float64(time.Millisecond),
		})
	}
	limits := connpool.Limits{
		MaxPerConn: c.maxPerConn,
		MaxConns:   c.maxConns,
		IdleMS:     float64(c.idleTimeout) / float64(time.Millisecond),
	}
	picked, retired := limits.Pick(c.poolView, len(c.connections), &c.losses, c.retiredIndices[:0])
	c.retiredIndices = retired
	conns := target.conns[:len(target.conns):len(target.conns)]
	for _, index := range retired {
		conns[index].drain()
	}
	if picked >= 0 {
		return conns[picked]
	}
	if picked == connpool.NoConn && (c.maxConns == 0 || !c.evictIdleConn()) {
		return nil
	}
	return c.connect(target, now)
}

// connect adds a connection and starts its goroutine, which establishes it. The lock is held.
func (c *Client) connect(target *executor, now time.Time) *executorConn {
	conn := &executorConn{
		client:       c,
		executor:     target,
		lastUsed:     now,
		openAttempts: map[string]*attempt{},
		endedIDs:     map[string]bool{},
		healthChecks: map[string]uint64{},
	}
	conn.Budget = c.budget
	conn.WriteTimeout = c.connectTimeout
	conn.MaxQueuedBytes = maxOutputBytes
	conn.OnIdle = conn.checkIdle
	conn.IdleDeadline = func() time.Time { return time.Now().Add(idleCheckInterval) }
	conn.BeforeWrite = conn.writePending
	target.conns = append(target.conns, conn)
	c.connections[conn] = struct{}{}
	go conn.serve()
	return conn
}

// evictIdleConn closes the connection that has been idle for longest and returns whether there was one. Its goroutine
// removes it from the table shortly afterwards; until then it counts towards the limit. The lock is held.
func (c *Client) evictIdleConn() bool {
	var oldest *executorConn
	for conn := range c.connections {
		if conn.isIdle() && (oldest == nil || conn.lastUsed.Before(oldest.lastUsed)) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	oldest.drain()
	return true
}
