// Package discovery watches the list of executors: long polls over HTTP/1.1 of the platform's change log.
//
// It keeps the place in the log and the ids of executors, and hands each change to the table of endpoints and to the event loop. While
// the list is out of reach, it says when what the log owes counts as known; it decides nothing else.
package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/internal/resp"
	"liftshift/scheduler"
)

const (
	pollTimeoutMS        = 1000                   // the longest that a call may be held: a log that fell silent shows by then
	callGrace            = 500 * time.Millisecond // on top, until a call counts as lost; and for a connection to come up
	retryInterval        = 200 * time.Millisecond // after a failed call
	presumedAfterBreakMS = 2000                   // after a break, or the end of a wait: what the log owed counts as known
	presumedAfterMoveMS  = 4000                   // the same after a change of the address
	callBufferBytes      = 4 << 10
)

// EventQueue takes the changes of the list.
type EventQueue interface{ Put(dispatch.QueueItem) }

// EndpointTable holds the executors that are listed.
type EndpointTable interface {
	// Update takes over entries, all there are or only those that changed, and returns the executors that others displaced.
	Update(complete bool, list []resp.Endpoint) (displaced []resp.Endpoint)
}

// Client watches the list. It implements dispatch.ListWatcher.
type Client struct {
	table   EndpointTable
	clock   dispatch.Clock
	seed    uint64 // of the jitter between calls
	queue   EventQueue
	log     logrus.FieldLogger
	refresh chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	// These belong to the goroutine of Run, and to Start before it.
	lastSeq     uint64
	initialSeq  uint64
	initial     []listChange
	lastHeard   float64 // clock as of which the last complete answer had all there was
	calledAt    float64 // clock of the call under way
	presumedAt  float64 // clock at which what the failed call was to tell counts as known; 0: nothing is known to be owed
	unavailable bool
	turns       uint32
	namesByID   map[uint32]string // of the executors listed
	idsByName   map[string]uint32 // the same the other way round

	mu           sync.Mutex
	address      string
	leaveAddress context.CancelFunc // ends what is under way at this address
	movedAt      float64            // clock of the last change of the address that no call has followed yet; 0: none

	Calls, Lost, Malformed atomic.Uint64
}

// NewClient returns a client that watches the log behind the events of known, which Start hands on.
func NewClient(address string, known []byte, table EndpointTable, clock dispatch.Clock, seed uint64, queue EventQueue,
	log logrus.FieldLogger) (*Client, error) {
	last, changes, err := parseChanges(known)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		table:        table,
		clock:        clock,
		seed:         seed,
		queue:        queue,
		log:          log,
		refresh:      make(chan struct{}, 1),
		ctx:          ctx,
		cancel:       cancel,
		initialSeq:   last,
		initial:      changes,
		namesByID:    map[uint32]string{},
		idsByName:    map[string]uint32{},
		address:      address,
		leaveAddress: func() {},
	}, nil
}

// Start hands on the events known at the start.
func (c *Client) Start() {
	c.lastHeard = c.clock.Now()
	c.apply(c.initialSeq, c.initial, scheduler.ListRestored)
	c.initial = nil
}

// Refresh implements dispatch.ListWatcher: it cuts the wait after a failed call short.
func (c *Client) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// Follow goes on with the log at another address, from the last event, without waiting for a call under way. For the same address it
// opens a new connection: the old one may be dead.
func (c *Client) Follow(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.movedAt = c.clock.Now()
	c.leaveAddress()
}

// Stop ends Run.
func (c *Client) Stop() { c.cancel() }

// Run polls until Stop.
func (c *Client) Run() {
	for c.ctx.Err() == nil {
		address, ctx, leave := c.enterAddress()
		began := time.Now()
		err := c.poll(ctx, address)
		switch moved := ctx.Err() != nil; {
		case c.ctx.Err() != nil:
		case moved:
			c.log.WithField("from", address).Info("discovery: address changed")
		case err != nil:
			c.Lost.Add(1)
			c.reportUnavailable(err)
		}
		c.waitForTurn(ctx, time.Since(began))
		leave()
	}
}

// enterAddress returns the address in force and a context that ends with it.
func (c *Client) enterAddress() (address string, ctx context.Context, leave context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, leave = context.WithCancel(c.ctx)
	c.leaveAddress = leave
	return c.address, ctx, leave
}

// waitForTurn waits between two connections, with jitter, so that no controller polls in a tight loop nor all at once. It does not wait
// where the address changed or the connection had lasted for a while.
func (c *Client) waitForTurn(ctx context.Context, lasted time.Duration) {
	c.turns++
	wait := retryInterval + retryInterval*time.Duration(c.jitter(c.turns))/256
	if ctx.Err() != nil || lasted > retryInterval {
		wait = 0
	}
	select {
	case <-ctx.Done():
	case <-c.refresh:
	case <-time.After(wait):
	}
}

// jitter returns a number below 256 that depends on the seed and the turn.
func (c *Client) jitter(turn uint32) uint8 {
	key := binary.LittleEndian.AppendUint64(nil, c.seed)
	return uint8(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(key, turn)))
}

// poll calls over one connection until that fails, serves no more calls, or is to be left.
func (c *Client) poll(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: callGrace}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	r := bufio.NewReaderSize(conn, callBufferBytes)
	for {
		again, err := c.call(conn, r, address)
		if err != nil || !again {
			return err
		}
	}
}

// call makes one call and applies what it brings; again: the connection serves further calls.
func (c *Client) call(conn net.Conn, r *bufio.Reader, address string) (again bool, err error) {
	c.Calls.Add(1)
	began := time.Now()
	c.calledAt = c.clock.Now()
	p, err := c.fetch(conn, r, address)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	if c.movedAt < c.calledAt {
		c.movedAt = 0
	}
	c.mu.Unlock()
	c.lastHeard = c.calledAt
	if len(p.changes) == 0 && time.Since(began) >= netconn.Millis(pollTimeoutMS) {
		c.lastHeard += pollTimeoutMS // the call was held for as long as was asked: nothing changed until then
	}
	if c.unavailable && len(p.changes) == 0 { // the scheduler has to know that nothing changed
		c.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListDelta}})
	}
	c.apply(p.last, p.changes, scheduler.ListComplete)
	if c.unavailable {
		c.unavailable = false
		c.log.Info("discovery: available again")
	}
	// A log that doesn't hold calls until something changes must not be called in a tight loop.
	notHeld := len(p.changes) == 0 && time.Since(began) < retryInterval
	return !p.closesConnection && !notHeld, nil
}

// page is the answer to a call.
type page struct {
	last             uint64
	changes          []listChange
	closesConnection bool
}

// fetch makes one call. Where it fails in a way that tells until when the log owes something, presumedAt is set.
func (c *Client) fetch(conn net.Conn, r *bufio.Reader, address string) (p page, err error) {
	_ = conn.SetDeadline(time.Now().Add(netconn.Millis(pollTimeoutMS) + callGrace))
	request := fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\n\r\n", c.lastSeq, pollTimeoutMS, address)
	if _, err := conn.Write([]byte(request)); err != nil {
		return p, err
	}
	if _, err := r.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.presumedAt = c.calledAt + pollTimeoutMS + presumedAfterBreakMS
		}
		return p, err
	}
	answer, err := readResponse(r)
	if err == nil && answer.status != 200 {
		return p, fmt.Errorf("status %d", answer.status)
	}
	p.closesConnection = answer.closesConnection
	if err == nil {
		p.last, p.changes, err = parseChanges(answer.body)
	}
	if errors.Is(err, netconn.ErrMalformed) {
		c.Malformed.Add(1)
	}
	if err != nil { // an answer had begun: there was something to tell
		c.presumedAt = c.clock.Now() + presumedAfterBreakMS
	}
	return p, err
}

// reportUnavailable tells the event loop that the list is out of reach, and when what it owes counts as known, where that can be said.
func (c *Client) reportUnavailable(why error) {
	presumedAt := c.takePresumedAt()
	if c.unavailable && presumedAt == 0 {
		return
	}
	if !c.unavailable {
		c.log.WithField("error", why).Warn("discovery: unavailable")
	}
	c.unavailable = true
	c.queue.Put(dispatch.QueueItem{Event: scheduler.Event{
		Kind:               scheduler.EndpointsUpdated,
		List:               scheduler.ListUnavailable,
		Deadline:           c.lastHeard,
		PresumedNotifiedAt: presumedAt,
	}})
}

// takePresumedAt returns the earlier of the times after the failed call and after a change of the address, once.
func (c *Client) takePresumedAt() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	presumedAt := c.presumedAt
	if c.movedAt > 0 && (presumedAt == 0 || c.movedAt+presumedAfterMoveMS < presumedAt) {
		presumedAt = c.movedAt + presumedAfterMoveMS
	}
	c.presumedAt = 0
	c.movedAt = 0
	return presumedAt
}
