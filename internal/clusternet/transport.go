// Package clusternet is the transport between the members of a fleet: datagrams of at most 1,200 bytes over UDP, and gRPC calls over TCP
// for exchanges of full states, the consensus group and the hand-over of requests, both at the one address in the operators' file.
//
// One goroutine owns the membership view and the consensus node and runs all calls to them. The package decides nothing.
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
	eventQueue    = 512                   // calls that wait for the owner; datagrams past it are dropped
	farewellDelay = 50 * time.Millisecond // for the last datagrams to be sent
	minSleepMS    = 1
	maxSleepMS    = 1000
)

// errStopping answers calls while the transport stops. Its text is sent to peers.
var errStopping = errors.New("this member stops")

// ConsensusNode is the consensus node that a Transport runs beside the view. Its methods are called by the owner's goroutine.
type ConsensusNode interface {
	// Handle takes a message from a member. Reply must be called once, now or later, from any goroutine.
	Handle(now float64, data []byte, reply func(data []byte, err error))
	// Tick is called when the time that Next returned has come.
	Tick(now float64)
	// Next returns when Tick is to be called.
	Next() float64
	// Close is the last call.
	Close()
}

// Transport is one member's end of the communication in its fleet.
type Transport struct {
	Listen string
	// OnEffect is called by the owner's goroutine with each effect of the view that is not carried out here. It must not block.
	OnEffect func(now float64, e membership.Effect)

	// HandoffCall, if set, answers calls about the hand-over of requests: from any goroutine, and no longer than ctx lasts.
	HandoffCall func(ctx context.Context, data []byte) ([]byte, error)
	// HandoffDatagram, if set, takes the content of a datagram about the hand-over of requests, which the callee may keep. It must not block.
	HandoffDatagram func(from netip.AddrPort, data []byte)

	// LocalityDatagram, if set, takes the content of a datagram about traffic between zones in the same way.
	LocalityDatagram func(from netip.AddrPort, data []byte)

	view      *membership.View
	consensus ConsensusNode // nil: there is none
	log       logrus.FieldLogger
	startedAt time.Time
	udpConn   *net.UDPConn
	server    *grpc.Server
	clients   connectionCache
	callSlots chan struct{} // of outgoing calls
	calls     chan func(now float64)
	stop      chan struct{}
	done      chan struct{}

	// Dropped counts datagrams, CallsLost calls that failed, and Busy calls that were not made as too many were under way.
	Dropped, CallsLost, Busy atomic.Uint64
}

// New returns a transport that does not listen yet.
func New(listen string, log logrus.FieldLogger) *Transport {
	return &Transport{Listen: listen, log: log, startedAt: time.Now(), calls: make(chan func(float64), eventQueue), stop: make(chan struct{}),
		done: make(chan struct{}), callSlots: make(chan struct{}, maxOutgoingCalls), clients: connectionCache{conns: map[string]*grpc.ClientConn{}},
		OnEffect: func(float64, membership.Effect) {}}
}

// Now returns the transport's clock in milliseconds since its start. It is monotonic.
func (t *Transport) Now() float64 {
	return float64(time.Since(t.startedAt)) / float64(time.Millisecond)
}

// Start listens and runs the view, and the consensus node if it is not nil.
func (t *Transport) Start(view *membership.View, consensus ConsensusNode) error {
	address, err := netip.ParseAddrPort(t.Listen)
	if err != nil {
		return fmt.Errorf("cluster transport: %w", err)
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

// Do runs a call on the owner's goroutine and waits for it. It returns false once that goroutine has ended.
func (t *Transport) Do(call func(now float64, view *membership.View)) bool {
	made := make(chan struct{})
	queued := t.Post(func(now float64) {
		call(now, t.view)
		close(made)
	})
	if !queued {
		return false
	}
	select {
	case <-made:
		return true
	case <-t.done:
		return false
	}
}

// Post queues a call for the owner's goroutine and does not wait for the call itself. It returns false once that goroutine has ended.
func (t *Transport) Post(call func(now float64)) bool {
	select {
	case t.calls <- call:
		return true
	case <-t.done:
		return false
	}
}

// TryPost queues a call, or drops it where the queue is full. It never blocks.
func (t *Transport) TryPost(call func(now float64)) {
	select {
	case t.calls <- call:
	default:
		t.Dropped.Add(1)
	}
}

// SetFlags sets this controller's own flags.
func (t *Transport) SetFlags(flags membership.Flags) {
	t.Post(func(now float64) { t.step(now, &membership.Event{Kind: membership.FlagsChanged, Flags: flags}) })
}

// RaiseIncarnation has this controller go on under a later incarnation. It may be called by the owner's goroutine alone.
func (t *Transport) RaiseIncarnation(now float64) {
	t.step(now, &membership.Event{Kind: membership.IncarnationRaised})
}

// Leave announces a planned shutdown.
func (t *Transport) Leave() {
	t.Post(func(now float64) { t.step(now, &membership.Event{Kind: membership.LeaveStarted}) })
}

// Stop announces that this member has left and ends the transport.
func (t *Transport) Stop() {
	t.Do(func(now float64, _ *membership.View) { t.step(now, &membership.Event{Kind: membership.LeaveFinished}) })
	time.Sleep(farewellDelay)
	close(t.stop)
	<-t.done
	t.server.Stop()
	_ = t.udpConn.Close()
	t.clients.close()
}

// run is the owner's goroutine. Calls that are queued go before what is due.
func (t *Transport) run() {
	defer close(t.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for n := len(t.calls); n > 0; n-- {
			(<-t.calls)(t.Now())
		}
		sleepMS := min(maxSleepMS, max(minSleepMS, t.runDue()-t.Now()))
		timer.Reset(time.Duration(sleepMS * float64(time.Millisecond)))
		select {
		case call := <-t.calls:
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

// runDue runs what is due and returns when the next is.
func (t *Transport) runDue() float64 {
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

// step passes an event to the view and carries out the effects. It returns the reply, if there is one.
func (t *Transport) step(now float64, ev *membership.Event) (reply []byte) {
	effects := t.view.Step(now, ev)
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case membership.Send:
			t.sendMembership(e.To, e.Data)
		case membership.Exchange:
			t.exchange(e.To, e.Data)
		case membership.Reply:
			reply = e.Data
		default:
			t.OnEffect(now, *e)
		}
	}
	return reply
}

// exchange sends this member's part of an exchange and passes the reply to the view.
func (t *Transport) exchange(to string, data []byte) {
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
