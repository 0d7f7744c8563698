// Package resp connects to executors: requests, progress, answers in pages and health checks as arrays of bulk strings, as in RESP.
//
// It owns the table of executors with their connections, the attempts and health checks under way, and the codec. Package connpool
// decides which connection an attempt takes; nothing else is decided here. Names on the wire are literals in the codec.
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

// idleShare is the share of the executors' idle time after which a connection is closed here: before the executor closes it.
const idleShare = 0.8

// EventQueue takes the ends of attempts and the results of health checks.
type EventQueue interface{ Put(dispatch.QueueItem) }

// Client holds the connections to all executors. It implements dispatch.ExecutorTransport.
type Client struct {
	LeaseHeld func() bool // whether an attempt that was held may leave at this moment; nil: it may. Set before the first attempt

	queue              EventQueue
	clock              dispatch.Clock
	log                logrus.FieldLogger
	budget             *netconn.ByteBudget
	connectTimeout     time.Duration // for dialing, and for a write to get through
	idleTimeout        time.Duration // unused connections are closed by then
	maxPerConn         int           // attempts on one connection
	dial               func(network, address string) (net.Conn, error)
	healthCheckCommand string
	reportNames        []string

	mu          sync.Mutex
	maxConns    int // to all executors; 0 once stopped
	executors   map[uint32]*executor
	connections map[*executorConn]struct{} // those of executors that are gone included
	lastSeq     uint64
	losses      connpool.LossStats
	poolView    []connpool.Conn // scratch of pickConn
	retired     []int           // scratch of pickConn

	Strays, Malformed, Dials, DialFailures, LocalFailures, Resumed, Blocked atomic.Uint64
}

// Limits are the limits of a client and the platform's settings of executors.
type Limits struct {
	ConnectMS, IdleMS    float64
	MaxPerConn, MaxConns int
	ReportNames          []string // the values of load reports, if there are any
}

// NewClient returns a client without executors. Budget bounds the queued output of all connections.
func NewClient(queue EventQueue, clock dispatch.Clock, budget *netconn.ByteBudget, limits Limits, log logrus.FieldLogger) *Client {
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
		idleTimeout:        netconn.Millis(limits.IdleMS * idleShare),
		maxPerConn:         max(1, limits.MaxPerConn),
		maxConns:           max(1, limits.MaxConns),
		dial:               dialer.Dial,
		healthCheckCommand: healthCheckCommand,
		reportNames:        limits.ReportNames,
		executors:          map[uint32]*executor{},
		connections:        map[*executorConn]struct{}{},
	}
}

// Stop ends all connections. No attempt starts after it.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = 0
	for conn := range c.connections {
		conn.draining = true
		conn.End(true)
	}
}

// pickConn returns the connection that an attempt takes, as package connpool decides, or makes one; nil if there can be no more. Where
// all connections are in use, the one that has been idle for longest, to another executor, is closed for it. The lock is held.
func (c *Client) pickConn(e *executor, requestID string) *executorConn {
	now := time.Now()
	c.poolView = c.poolView[:0]
	for _, conn := range e.conns {
		c.poolView = append(c.poolView, connpool.Conn{
			Up:           conn.connected,
			Draining:     conn.draining,
			Excluded:     conn.open[requestID] != nil || conn.endedIDs[requestID],
			Attempts:     len(conn.open),
			HealthChecks: len(conn.healthChecks),
			IdleMS:       float64(now.Sub(conn.lastUsed)) / float64(time.Millisecond),
		})
	}
	limits := connpool.Limits{MaxPerConn: c.maxPerConn, MaxConns: c.maxConns, IdleMS: float64(c.idleTimeout) / float64(time.Millisecond)}
	picked, retired := limits.Pick(c.poolView, len(c.connections), &c.losses, c.retired[:0])
	c.retired = retired
	conns := e.conns[:len(e.conns):len(e.conns)]
	for _, index := range retired {
		conns[index].drain()
	}
	if picked >= 0 {
		return conns[picked]
	}
	if picked == connpool.NoConn && (c.maxConns == 0 || !c.evictIdleConn()) {
		return nil
	}
	return c.connect(e, now)
}

// connect adds a connection, which comes up later. The lock is held.
func (c *Client) connect(e *executor, now time.Time) *executorConn {
	conn := &executorConn{
		client:       c,
		executor:     e,
		lastUsed:     now,
		open:         map[string]*attempt{},
		endedIDs:     map[string]bool{},
		healthChecks: map[string]uint64{},
	}
	conn.Budget = c.budget
	conn.WriteTimeout = c.connectTimeout
	conn.MaxQueued = maxOutputBytes
	conn.OnIdle = conn.checkIdle
	conn.IdleDeadline = func() time.Time { return time.Now().Add(idleCheckInterval) }
	conn.BeforeWrite = conn.writePending
	e.conns = append(e.conns, conn)
	c.connections[conn] = struct{}{}
	go conn.serve()
	return conn
}

// evictIdleConn ends the connection that has been idle for longest and returns whether there was one. It counts until it has ended,
// which is at once. The lock is held.
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
