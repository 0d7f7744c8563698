// Package clusternet is the transport between the members of a fleet: datagrams of at most 1,200 bytes over UDP, and
// gRPC calls over TCP for exchanges of full states, the consensus group and the handoff protocol. Both use the same
// address, which the operators' file sets.
//
// One goroutine, the event loop, owns the membership view and the consensus node and makes all calls to them. The
// package contains no logic of either.
package clusternet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"liftshift/internal/membership"
	"liftshift/internal/retry"
)

const (
	callQueueLength = 512                   // calls that wait for the event loop; datagrams beyond it are dropped
	leaveSendDelay  = 50 * time.Millisecond // time for the last datagrams to be sent before the sockets are closed
	minSleepMS      = 1                     // bounds of the wait of the event loop
	maxSleepMS      = 1000
)

// errStopping is the error of calls while the transport stops. Its text is sent to peers.
var errStopping = errors.New("this member stops")

// ConsensusNode is the consensus node that a Transport runs beside the view. Its methods are called on the event loop.
type ConsensusNode interface {
	// Handle handles a message from a member. The function reply must be called exactly once, now or later, on any
	// goroutine.
	Handle(now float64, data []byte, reply func(data []byte, err error))
	// Tick is called when the time that Next returned has come.
	Tick(now float64)
	// Next returns the time, in milliseconds, at which Tick must be called.
	Next() float64
	// Close ends the node. No other method is called afterwards.
	Close()
}

// Transport sends and receives the messages of one member of a fleet.
type Transport struct {
	// Listen is the address, an IP address and a port, for both UDP and TCP.
	Listen string
	// OnEffect is called on the event loop with each effect of the view that the transport does not carry out itself. It
	// must not block.
	OnEffect func(now float64, e membership.Effect)

	// HandoffCall, if set, answers calls of the handoff protocol. It is called concurrently and must return when ctx ends.
	HandoffCall func(ctx context.Context, data []byte) ([]byte, error)
	// HandoffDatagram, if set, handles a datagram of the handoff protocol without its prefix. It may keep data and must
	// not block.
	HandoffDatagram func(from netip.AddrPort, data []byte)

	// LocalityDatagram, if set, handles a datagram of the locality protocol in the same way.
	LocalityDatagram func(from netip.AddrPort, data []byte)

	view      *membership.View
	consensus ConsensusNode // nil without a consensus group
	log       logrus.FieldLogger
	startedAt time.Time
	udpConn   *net.UDPConn
	server    *grpc.Server
	clients   connectionCache
	callSlots chan struct{} // semaphore of outgoing calls, for maxOutgoingCalls
	loopCalls chan func(now float64)
	stop      chan struct{}
	done      chan struct{}

	// Dropped counts dropped datagrams and calls that TryPost dropped, CallsLost outgoing calls that failed, and
	// CallsRejected outgoing calls that were not made because too many were in flight.
	Dropped, CallsLost, CallsRejected atomic.Uint64
}

// New returns a transport that does not listen yet.
func New(listen string, log logrus.FieldLogger) *Transport {
	return &Transport{
		Listen:    listen,
		log:       log,
		startedAt: time.Now(),
		loopCalls: make(chan func(float64), callQueueLength),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		callSlots: make(chan struct{}, maxOutgoingCalls),
		clients:   newConnectionCache(),
		OnEffect:  func(float64, membership.Effect) {},
	}
}

// Now returns the milliseconds since New. The clock is monotonic.
func (t *Transport) Now() float64 {
	return float64(time.Since(t.startedAt)) / float64(time.Millisecond)
}

// Start opens the sockets and starts the event loop with the view and, if it is not nil, the consensus node.
func (t *Transport) Start(view *membership.View, consensus ConsensusNode) error {
	address, err := netip.ParseAddrPort(t.Listen)
	if err != nil {
		return fmt.Errorf("cluster transport: listen address: %w", err)
	}
	err = retry.Listen(func() error {
		t.udpConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		return err
	})
	if err != nil {
		return fmt.Errorf("cluster transport: %w", err)
	}
	var listener net.Listener
	err = retry.Listen(func() error {
		listener, err = net.Listen("tcp", t.Listen)
		return err
	})
	if err != nil {
		return errors.Join(fmt.Errorf("cluster transport: %w", err), t.udpConn.Close())
	}
	t.view = view
	t.consensus = consensus
	t.clients.localAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
	t.server = newServer(t)
	go func() { _ = t.server.Serve(listener) }()
	go t.receiveDatagrams()
	go t.run()
	return nil
}

// Do runs a call on the event loop and waits until it is finished. It returns false if the event loop has ended.
func (t *Transport) Do(call func(now float64, view *membership.View)) bool {
	finished := make(chan struct{})
	queued := t.Post(func(now float64) {
		call(now, t.view)
		close(finished)
	})
	if !queued {
		return false
	}
	select {
	case <-finished:
		return true
	case <-t.done:
		return false
	}
}

// Post queues a call for the event loop and does not wait until it runs. It blocks while the queue is full, and returns
// false if the event loop has ended.
func (t *Transport) Post(call func(now float64)) bool {
	select {
	case t.loopCalls <- call:
		return true
	case <-t.done:
		return false
	}
}

// TryPost queues a call for the event loop, or drops and counts it if the queue is full. It never blocks.
func (t *Transport) TryPost(call func(now float64)) {
	select {
	case t.loopCalls <- call:
	default:
		t.Dropped.Add(1)
	}
}

// SetFlags sets the flags that this controller announces.
func (t *Transport) SetFlags(flags membership.Flags) {
	t.Post(func(now float64) { t.step(now, &membership.Event{Kind: membership.FlagsChanged, Flags: flags}) })
}

// RaiseIncarnation makes this controller continue under a later incarnation. It must be called on the event loop.
func (t *Transport) RaiseIncarnation(now float64) {
	t.step(now, &membership.Event{Kind: membership.IncarnationRaised})
}

// Leave announces a planned shutdown.
func (t *Transport) Leave() {
	t.Post(func(now float64) { t.step(now, &membership.Event{Kind: membership.LeaveStarted}) })
}

// Stop announces that this member has left, ends the event loop and closes the sockets.
func (t *Transport) Stop() {
	t.Do(func(now float64, _ *membership.View) { t.step(now, &membership.Event{Kind: membership.LeaveFinished}) })
	time.Sleep(leaveSendDelay)
	close(t.stop)
	<-t.done
	t.server.Stop()
	_ = t.udpConn.Close()
	t.clients.close()
}

// run is the event loop. In each round, it makes the calls that are queued before it passes ticks whose time has come.
func (t *Transport) run() {
	defer close(t.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for n := len(t.loopCalls); n > 0; n-- {
			(<-t.loopCalls)(t.Now())
		}
		sleepMS := min(maxSleepMS, max(minSleepMS, t.runTimers()-t.Now()))
		timer.Reset(time.Duration(sleepMS * float64(time.Millisecond)))
		select {
		case call := <-t.loopCalls:
			call(t.Now())
		case <-timer.C:
		case <-t.stop:
			if t.consensus != nil {
				t.consensus.Close()
			}
			return
		}
	}
}

// runTimers passes a tick to the view and to the consensus node if its time has come. It returns when the next tick is
// due.
func (t *Transport) runTimers() float64 {
	now := t.Now()
	if now >= t.view.Next() {
		t.step(now, &membership.Event{Kind: membership.Ticked})
	}
	next := t.view.Next()
	if t.consensus == nil {
		return next
	}
	if now >= t.consensus.Next() {
		t.consensus.Tick(now)
	}
	return min(next, t.consensus.Next())
}

// step passes an event to the view and carries out its effects. It returns the data of a Reply effect, if there is one.
func (t *Transport) step(now float64, ev *membership.Event) (reply []byte) {
	effects := t.view.Step(now, ev)
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case membership.Send:
			t.sendMembership(e.To, e.Data)
		case membership.Exchange:
			t.sendExchange(e.To, e.Data)
		case membership.Reply:
			reply = e.Data
		default:
			t.OnEffect(now, *e)
		}
	}
	return reply
}

// sendExchange calls another member with this member's part of an exchange and passes the reply or the failure to the
// view.
func (t *Transport) sendExchange(to string, data []byte) {
	t.Call(to, exchangeMethod, data, func(reply []byte, err error) {
		t.Post(func(now float64) {
			if err != nil {
				t.step(now, &membership.Event{Kind: membership.ExchangeFailed, From: to})
			} else if len(reply) > 0 {
				t.step(now, &membership.Event{Kind: membership.ExchangeAnswered, From: to, Data: reply})
			}
		})
	})
}
