// Package discovery follows the endpoint list, the list of executors, by long polls of the platform's change log over
// HTTP/1.1.
//
// It keeps the position in the log and the ids of the executors, and passes each change on to the endpoint table and to
// the event loop. While the list is unavailable, it reports when this controller counts as notified of changes that it
// has not received. It makes no other decision.
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
	// pollTimeoutMS is the time for which the server may hold a poll. It bounds how long a silent server goes unnoticed.
	pollTimeoutMS = 1000

	// pollGrace is added to pollTimeoutMS until a poll counts as failed. It is also the timeout of a dial.
	pollGrace = 500 * time.Millisecond

	// retryInterval is the least wait between two short-lived connections; jitter adds up to as much again.
	retryInterval = 200 * time.Millisecond

	// presumedNotifiedAfterFailureMS is the time from a broken response, or from the end of an unanswered poll, until
	// this controller counts as notified of the changes that the poll should have brought.
	presumedNotifiedAfterFailureMS = 2000

	// presumedNotifiedAfterAddressChangeMS is the time from a change of the address until this controller counts as
	// notified of the changes that it has not received.
	presumedNotifiedAfterAddressChangeMS = 4000

	readBufferBytes = 4 << 10
)

// EventQueue takes the changes of the endpoint list for the event loop.
type EventQueue interface{ Put(dispatch.QueueItem) }

// EndpointTable holds the listed executors.
type EndpointTable interface {
	// Update applies the whole list, or only the entries that changed. It returns the executors that other executors
	// have displaced from their addresses.
	Update(complete bool, list []resp.Endpoint) (displaced []resp.Endpoint)
}

// Client follows the endpoint list. It implements dispatch.ListWatcher.
type Client struct {
	table   EndpointTable
	clock   dispatch.Clock
	seed    uint64 // of the jitter between connections
	queue   EventQueue
	log     logrus.FieldLogger
	refresh chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	// These belong to the goroutine of Run, and to Start before it. Fields that end in At are clock readings.
	lastSeq        uint64
	initialSeq     uint64
	initialChanges []listChange
	listContactAt  float64 // all changes up to this time have been received
	pollStartedAt  float64 // start of the last poll

	// presumedNotifiedAt is the time at which this controller counts as notified of the changes that the failed poll
	// should have brought. 0 means that nothing shows that there were any.
	presumedNotifiedAt float64

	unavailable bool
	connections uint32            // connections attempted so far
	namesByID   map[uint32]string // of the listed executors
	idsByName   map[string]uint32 // the inverse of namesByID

	mu            sync.Mutex
	address       string
	cancelAddress context.CancelFunc // ends the connection to this address

	// addressChangedAt is the time of the last change of the address. 0 means that a poll has succeeded since.
	addressChangedAt float64

	// FailedPolls counts failed connections and polls, MalformedResponses the responses that could not be parsed.
	Polls, FailedPolls, MalformedResponses atomic.Uint64
}

// NewClient returns a client that follows the log from the end of known, a page of events that Start passes on.
func NewClient(address string, known []byte, table EndpointTable, clock dispatch.Clock, seed uint64, queue EventQueue,
	log logrus.FieldLogger) (*Client, error) {
	last, changes, err := parseChanges(known)
	if err != nil {
		return nil, fmt.Errorf("known: initial endpoint list: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		table:          table,
		clock:          clock,
		seed:           seed,
		queue:          queue,
		log:            log,
		refresh:        make(chan struct{}, 1),
		ctx:            ctx,
		cancel:         cancel,
		initialSeq:     last,
		initialChanges: changes,
		namesByID:      map[uint32]string{},
		idsByName:      map[string]uint32{},
		address:        address,
		cancelAddress:  func() {},
	}, nil
}

// Start applies the events that were known when the client was made.
func (c *Client) Start() {
	c.listContactAt = c.clock.Now()
	c.apply(c.initialSeq, c.initialChanges, scheduler.ListRestored)
	c.initialChanges = nil
}

// Refresh implements dispatch.ListWatcher: it ends the wait before the next connection.
func (c *Client) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// SetAddress continues the log at another address, from the last event on, without waiting for the poll in progress.
// If the address is the same, it still opens a new connection, because the old one may be dead.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.addressChangedAt = c.clock.Now()
	c.cancelAddress()
}

// Stop ends Run.
func (c *Client) Stop() { c.cancel() }

// Run polls until Stop.
func (c *Client) Run() {
	for c.ctx.Err() == nil {
		address, ctx, cancel := c.addressContext()
		startedAt := time.Now()
		err := c.pollConnection(ctx, address)
		switch addressChanged := ctx.Err() != nil; {
		case c.ctx.Err() != nil:
		case addressChanged:
			c.log.WithField("from", address).Info("discovery: address changed")
		case err != nil:
			c.FailedPolls.Add(1)
			c.reportUnavailable(err)
		}
		c.waitToReconnect(ctx, time.Since(startedAt))
		cancel()
	}
}

// addressContext returns the current address and a context that is cancelled once the address changes.
func (c *Client) addressContext() (address string, ctx context.Context, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel = context.WithCancel(c.ctx)
	c.cancelAddress = cancel
	return c.address, ctx, cancel
}

// waitToReconnect waits before the next connection, so that controllers neither reconnect in a tight loop nor all at
// once. It does not wait if the address has changed or if the last connection lasted longer than retryInterval.
func (c *Client) waitToReconnect(ctx context.Context, lasted time.Duration) {
	c.connections++
	wait := retryInterval + retryInterval*time.Duration(c.jitter(c.connections))/256
	if ctx.Err() != nil || lasted > retryInterval {
		wait = 0
	}
	select {
	case <-ctx.Done():
	case <-c.refresh:
	case <-time.After(wait):
	}
}

// jitter returns a number below 256 that depends on the seed and on the number of the connection.
func (c *Client) jitter(connection uint32) uint8 {
	key := binary.LittleEndian.AppendUint64(nil, c.seed)
	return uint8(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(key, connection)))
}

// pollConnection polls over one connection until a poll fails, the connection can't be reused, or ctx is cancelled.
func (c *Client) pollConnection(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: pollGrace}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		reusable, err := c.poll(conn, reader, address)
		if err != nil || !reusable {
			return err
		}
	}
}

// poll makes one poll and applies the changes that it brings. It returns whether to poll on over the same connection.
func (c *Client) poll(conn net.Conn, reader *bufio.Reader, address string) (reusable bool, err error) {
	c.Polls.Add(1)
	startedAt := time.Now()
	c.pollStartedAt = c.clock.Now()
	result, err := c.fetch(conn, reader, address)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	if c.addressChangedAt < c.pollStartedAt {
		c.addressChangedAt = 0
	}
	c.mu.Unlock()
	c.listContactAt = c.pollStartedAt
	if len(result.changes) == 0 && time.Since(startedAt) >= netconn.Millis(pollTimeoutMS) {
		c.listContactAt += pollTimeoutMS // the server held the poll to its timeout, so nothing changed until then
	}
	if c.unavailable && len(result.changes) == 0 { // tells the scheduler that the list is available and unchanged
		c.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListDelta}})
	}
	c.apply(result.last, result.changes, scheduler.ListComplete)
	if c.unavailable {
		c.unavailable = false
		c.log.Info("discovery: available again")
	}
	// A server that doesn't hold polls until something changes must not be polled in a tight loop.
	notHeld := len(result.changes) == 0 && time.Since(startedAt) < retryInterval
	return !result.closesConnection && !notHeld, nil
}

// pollResult is the parsed response to a poll.
type pollResult struct {
	last             uint64 // sequence number of the page
	changes          []listChange
	closesConnection bool
}

// fetch sends one poll and reads the response. It sets presumedNotifiedAt if it fails with a broken response or at the
// end of the poll.
func (c *Client) fetch(conn net.Conn, reader *bufio.Reader, address string) (result pollResult, err error) {
	_ = conn.SetDeadline(time.Now().Add(netconn.Millis(pollTimeoutMS) + pollGrace))
	request := fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		c.lastSeq, pollTimeoutMS, address)
	if _, err := conn.Write([]byte(request)); err != nil {
		return result, err
	}
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.presumedNotifiedAt = c.pollStartedAt + pollTimeoutMS + presumedNotifiedAfterFailureMS
		}
		return result, err
	}
	response, err := readResponse(reader)
	if err == nil && response.status != 200 {
		return result, fmt.Errorf("change log at %s: poll answered with status %d, expected 200", address, response.status)
	}
	result.closesConnection = response.closesConnection
	if err == nil {
		result.last, result.changes, err = parseChanges(response.body)
	}
	if errors.Is(err, netconn.ErrMalformed) {
		c.MalformedResponses.Add(1)
	}
	if err != nil { // the response had begun, so it was about a change
		c.presumedNotifiedAt = c.clock.Now() + presumedNotifiedAfterFailureMS
	}
	return result, err
}

// reportUnavailable tells the event loop that the list is unavailable and when this controller counts as notified of
// changes that it has not received. While the list stays unavailable, it reports only further such times.
func (c *Client) reportUnavailable(cause error) {
	presumedNotifiedAt := c.takePresumedNotifiedAt()
	if c.unavailable && presumedNotifiedAt == 0 {
		return
	}
	if !c.unavailable {
		c.log.WithField("error", cause).Warn("discovery: unavailable")
	}
	c.unavailable = true
	c.queue.Put(dispatch.QueueItem{Event: scheduler.Event{
		Kind:               scheduler.EndpointsUpdated,
		List:               scheduler.ListUnavailable,
		Deadline:           c.listContactAt,
		PresumedNotifiedAt: presumedNotifiedAt,
	}})
}

// takePresumedNotifiedAt returns the earlier of the times set by the failed poll and by a change of the address, and
// clears both. 0 means that there is none.
func (c *Client) takePresumedNotifiedAt() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest := c.presumedNotifiedAt
	if c.addressChangedAt > 0 && (earliest == 0 || c.addressChangedAt+presumedNotifiedAfterAddressChangeMS < earliest) {
		earliest = c.addressChangedAt + presumedNotifiedAfterAddressChangeMS
	}
	c.presumedNotifiedAt = 0
	c.addressChangedAt = 0
	return earliest
}
