// Package clusternet carries what the members of a fleet say to one another: datagrams of at most 1,200 bytes over UDP, whole views
// and the council's talk by gRPC over TCP, both at the one address that the operators' file names. One goroutine owns the view and
// the council. It decides nothing.
package clusternet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"liftshift/internal/membership"
	"liftshift/internal/retry"
)

const (
	room         = 512 // events that wait for the owner; datagrams past it are dropped
	mostDatagram = 1200
	mostWhole    = 4 << 20 // bytes of a whole view, or of a message of the council
	mostCalls    = 64      // incoming, at a time
	mostOut      = 24      // outgoing calls at a time
	mostConns    = 64      // kept for further calls
	patience     = time.Second
	idle         = 20 * time.Second
	farewell     = 50 * time.Millisecond // for the last datagrams to leave
)

// ConsensusNode is what the carrier carries besides the view, if anything. Its methods are called by the owner's goroutine.
type ConsensusNode interface {
	// Handle takes what a member asked; reply must be called once, now or later, from any goroutine.
	Handle(now float64, data []byte, reply func(data []byte, err error))
	Tick(now float64)
	Next() float64
	Close()
}

// Transport is one member's end of the fleet's talk.
type Transport struct {
	Listen string
	// OnEffect is told of each effect of the view that is none of the carrier's, by the owner's goroutine. It must not wait.
	OnEffect func(now float64, e membership.Effect)

	// HandoffCall answers what others say of open work, if anything: by any goroutine, and no longer than the caller waits.
	HandoffCall func(ctx context.Context, data []byte) ([]byte, error)
	// HandoffDatagram takes a datagram of open work, if anything does: data begins behind what marks it as one, is the callee's, and it must not wait.
	HandoffDatagram func(from netip.AddrPort, data []byte)

	// LocalityDatagram takes a datagram of what is seen of zones, if anything does, as Word does.
	LocalityDatagram func(from netip.AddrPort, data []byte)

	view    *membership.View
	council ConsensusNode
	log     logrus.FieldLogger
	began   time.Time
	udp     *net.UDPConn
	from    *net.TCPAddr // calls come from the address that it listens at, as datagrams do
	server  *grpc.Server
	calls   chan func(now float64)
	stop    chan struct{}
	done    chan struct{}
	out     chan struct{} // places for outgoing calls

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	order []string

	Dropped, CallsLost, Busy atomic.Uint64
}

// New returns a carrier that does not listen yet.
func New(listen string, log logrus.FieldLogger) *Transport {
	return &Transport{Listen: listen, log: log, began: time.Now(), calls: make(chan func(float64), room), stop: make(chan struct{}),
		done: make(chan struct{}), out: make(chan struct{}, mostOut), conns: map[string]*grpc.ClientConn{},
		OnEffect: func(float64, membership.Effect) {}}
}

// Now is the carrier's clock, in ms. It never jumps: only the time since the start is read.
func (c *Transport) Now() float64 { return float64(time.Since(c.began)) / float64(time.Millisecond) }

// Start listens and runs the view, and the council if there is one.
func (c *Transport) Start(view *membership.View, council ConsensusNode) error {
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	err = retry.Listening(func() error {
		c.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		return err
	})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	var l net.Listener
	err = retry.Listening(func() error {
		l, err = net.Listen("tcp", c.Listen)
		return err
	})
	if err != nil {
		return errors.Join(fmt.Errorf("fleet: %w", err), c.udp.Close())
	}
	c.view, c.council = view, council
	c.from = net.TCPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), 0))
	c.server = grpc.NewServer(grpc.MaxRecvMsgSize(mostWhole), grpc.MaxConcurrentStreams(mostCalls), grpc.ConnectionTimeout(patience),
		grpc.WriteBufferSize(4<<10), grpc.ReadBufferSize(4<<10))
	c.server.RegisterService(&desc, c)
	go func() { _ = c.server.Serve(l) }()
	go c.listen()
	go c.run()
	return nil
}

// Do has a call made by the owner's goroutine and waits for it; false once that has ended.
func (c *Transport) Do(call func(now float64, view *membership.View)) bool {
	made := make(chan struct{})
	if !c.put(func(now float64) { call(now, c.view); close(made) }) {
		return false
	}
	select {
	case <-made:
		return true
	case <-c.done:
		return false
	}
}

// Post lines up a call for the owner's goroutine and does not wait for it.
func (c *Transport) Post(call func(now float64)) bool { return c.put(call) }

// TryPost lines one up, or drops it where there is no room: for who must not wait.
func (c *Transport) TryPost(call func(now float64)) {
	select {
	case c.calls <- call:
	default:
		c.Dropped.Add(1)
	}
}

func (c *Transport) put(call func(now float64)) bool {
	select {
	case c.calls <- call:
		return true
	case <-c.done:
		return false
	}
}

// SetFlag sets this controller's own marks.
func (c *Transport) SetFlag(m membership.Flags) {
	c.put(func(now float64) { c.step(now, &membership.Event{Kind: membership.FlagsChanged, Flags: m}) })
}

// RaiseIncarnation has this controller go on under a later life. It is for the owner's goroutine alone.
func (c *Transport) RaiseIncarnation(now float64) {
	c.step(now, &membership.Event{Kind: membership.IncarnationRaised})
}

// Leave says that a planned stop begins.
func (c *Transport) Leave() {
	c.put(func(now float64) { c.step(now, &membership.Event{Kind: membership.LeaveStarted}) })
}

// Stop says good-bye and ends.
func (c *Transport) Stop() {
	c.Do(func(now float64, _ *membership.View) { c.step(now, &membership.Event{Kind: membership.LeaveFinished}) })
	time.Sleep(farewell)
	close(c.stop)
	<-c.done
	c.server.Stop()
	_ = c.udp.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// run is the owner's goroutine. What has come goes before what is due.
func (c *Transport) run() {
	defer close(c.done)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		for n := len(c.calls); n > 0; n-- {
			(<-c.calls)(c.Now())
		}
		now := c.Now()
		if now >= c.view.Next() {
			c.step(now, &membership.Event{Kind: membership.Ticked})
		}
		next := c.view.Next()
		if c.council != nil {
			if now >= c.council.Next() {
				c.council.Tick(now)
			}
			next = min(next, c.council.Next())
		}
		alarm.Reset(time.Duration(min(1000, max(1, next-c.Now())) * float64(time.Millisecond)))
		select {
		case call := <-c.calls:
			call(c.Now())
		case <-alarm.C:
		case <-c.stop:
			if c.council != nil {
				c.council.Close()
			}
			return
		}
	}
}

// step plays an event to the view and carries what follows.
func (c *Transport) step(now float64, ev *membership.Event) (reply []byte) {
	effects := c.view.Step(now, ev)
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case membership.Send:
			at, err := netip.ParseAddrPort(e.To)
			if err == nil {
				_, err = c.udp.WriteToUDPAddrPort(e.Data, at) // never waits: what the system can't take is lost
			}
			if err != nil {
				c.Dropped.Add(1)
			}
		case membership.Exchange:
			c.exchange(e.To, e.Data)
		case membership.Reply:
			reply = e.Data
		default:
			c.OnEffect(now, *e)
		}
	}
	return reply
}

// exchange carries our part of one and brings back the reply.
func (c *Transport) exchange(to string, data []byte) {
	c.Call(to, exchangeMethod, data, func(reply []byte, err error) {
		c.put(func(now float64) {
			if err != nil {
				c.step(now, &membership.Event{Kind: membership.ExchangeFailed, From: to})
			} else if len(reply) > 0 {
				c.step(now, &membership.Event{Kind: membership.ExchangeAnswered, From: to, Data: reply})
			}
		})
	})
}

// What a datagram of open work, and one of zones, begins with; one of the view begins with other letters.
var wordMark, scoutMark = []byte("LE1"), []byte("LZ1")

// MostWord is how long the data of a Tell may be.
const MaxHandoffDatagram = mostDatagram - 3

// SendHandoff sends a datagram of open work. It never waits long: what the system can't take is lost.
func (c *Transport) SendHandoff(to netip.AddrPort, data []byte) { c.send(to, wordMark, data) }

// SendLocality sends one of zones in the same way.
func (c *Transport) SendLocality(to netip.AddrPort, data []byte) { c.send(to, scoutMark, data) }

func (c *Transport) send(to netip.AddrPort, mark, data []byte) {
	if len(data) > MaxHandoffDatagram {
		c.Dropped.Add(1)
		return
	}
	if _, err := c.udp.WriteToUDPAddrPort(append(append(make([]byte, 0, len(mark)+len(data)), mark...), data...), to); err != nil {
		c.Dropped.Add(1)
	}
}

// listen takes datagrams.
func (c *Transport) listen() {
	var b [mostDatagram + 1]byte
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > mostDatagram {
			c.Dropped.Add(1)
			continue
		}
		data, at := append([]byte(nil), b[:n]...), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if bytes.HasPrefix(data, wordMark) {
			if c.HandoffDatagram != nil {
				c.HandoffDatagram(from, data[len(wordMark):])
			}
			continue
		}
		if bytes.HasPrefix(data, scoutMark) {
			if c.LocalityDatagram != nil {
				c.LocalityDatagram(from, data[len(scoutMark):])
			}
			continue
		}
		select {
		case c.calls <- func(now float64) {
			c.step(now, &membership.Event{Kind: membership.DatagramReceived, From: at, Data: data})
		}:
		case <-c.done:
			return
		default:
			c.Dropped.Add(1)
		}
	}
}

// ---- gRPC

const (
	service        = "liftshift.Fleet"
	exchangeMethod = "/" + service + "/Exchange"
	// ConsensusMethod carries what the council says.
	ConsensusMethod = "/" + service + "/Council"
	// HandoffMethod carries what is said of open work.
	HandoffMethod = "/" + service + "/Estate"
)

type fleetServer interface {
	Do(func(float64, *membership.View)) bool
}

func handler(method string, handle func(c *Transport, ctx context.Context, data []byte) ([]byte, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: method, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := decode(in); err != nil {
			return nil, err
		}
		out, err := handle(srv.(*Transport), ctx, in.GetValue())
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return wrapperspb.Bytes(out), nil
	}}
}

var desc = grpc.ServiceDesc{ServiceName: service, HandlerType: (*fleetServer)(nil), Metadata: "liftshift/fleet", Methods: []grpc.MethodDesc{
	handler("Exchange", func(c *Transport, ctx context.Context, data []byte) ([]byte, error) {
		return c.ask(ctx, func(now float64, reply func([]byte, error)) {
			reply(c.step(now, &membership.Event{Kind: membership.ExchangeRequested, Data: data}), nil)
		})
	}),
	handler("Council", func(c *Transport, ctx context.Context, data []byte) ([]byte, error) {
		return c.ask(ctx, func(now float64, reply func([]byte, error)) {
			if c.council == nil {
				reply(nil, errors.New("no council here"))
				return
			}
			c.council.Handle(now, data, reply)
		})
	}),
	handler("Estate", func(c *Transport, ctx context.Context, data []byte) ([]byte, error) {
		if c.HandoffCall == nil {
			return nil, errors.New("no copies are kept here")
		}
		return c.HandoffCall(ctx, data)
	}),
}}

type answer struct {
	data []byte
	err  error
}

// ask has the owner answer a call, and waits for it no longer than the caller does.
func (c *Transport) ask(ctx context.Context, handle func(now float64, reply func([]byte, error))) ([]byte, error) {
	got := make(chan answer, 1)
	call := func(now float64) { handle(now, func(data []byte, err error) { got <- answer{data, err} }) }
	select {
	case c.calls <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errors.New("this member stops")
	}
	select {
	case a := <-got:
		return a.data, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errors.New("this member stops")
	}
}

// Call calls another member and hands on what comes back, from another goroutine. Past so many at a time it fails at once.
func (c *Transport) Call(to, method string, data []byte, back func(reply []byte, err error)) {
	select {
	case c.out <- struct{}{}:
	default:
		c.Busy.Add(1)
		go back(nil, errors.New("too many calls are under way"))
		return
	}
	go func() {
		reply, err := c.call(to, method, data)
		<-c.out
		if err != nil {
			c.CallsLost.Add(1)
		}
		back(reply, err)
	}()
}

// CallNow calls another member and waits for what comes back.
func (c *Transport) CallNow(to, method string, data []byte) ([]byte, error) {
	return c.call(to, method, data)
}

func (c *Transport) call(to, method string, data []byte) ([]byte, error) {
	conn, err := c.connection(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, method, wrapperspb.Bytes(data), out); err != nil {
		c.drop(to, conn)
		return nil, err
	}
	return out.GetValue(), nil
}

// connection gives one to an address; so many are kept, the oldest ends.
func (c *Transport) connection(to string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[to]; conn != nil {
		return conn, nil
	}
	if len(c.order) >= mostConns {
		old := c.order[0]
		c.order = append(c.order[:0], c.order[1:]...)
		_ = c.conns[old].Close()
		delete(c.conns, old)
	}
	conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithIdleTimeout(idle),
		grpc.WithContextDialer(func(ctx context.Context, at string) (net.Conn, error) {
			return (&net.Dialer{LocalAddr: c.from, KeepAlive: -1}).DialContext(ctx, "tcp", at)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostWhole)), grpc.WithWriteBufferSize(4<<10), grpc.WithReadBufferSize(4<<10))
	if err != nil {
		return nil, err
	}
	c.conns[to], c.order = conn, append(c.order, to)
	return conn, nil
}

// drop ends a connection that failed, so that no waiting time of an earlier failure delays the next call.
func (c *Transport) drop(to string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[to] != conn {
		return
	}
	delete(c.conns, to)
	for k, at := range c.order {
		if at == to {
			c.order = append(c.order[:k], c.order[k+1:]...)
			break
		}
	}
	_ = conn.Close()
}
