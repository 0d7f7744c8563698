// Package chaostest starts clusters of real controllers with test servers in place of executors and discovery,
// carries the traffic between the controllers through a relay, injects faults, and checks the results of clients
// against the runs at executors. It plays the drills of the chaos command, the tests of whole clusters and the rounds
// of measurements. The serving daemon must not import this package. The package shares no decision logic with the
// daemon, so that its checks are independent.
package chaostest

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// relayFirstPort and relayPortCount give a range below the ephemeral ports, so that the port of a killed
	// controller is still free when the controller is started again.
	relayFirstPort   = 10000
	relayPortCount   = 20000
	relayPortTries   = 20
	relayDialTimeout = time.Second
	maxDatagramBytes = 2048
	hostsPerSubnet   = 200
	// relaySeedStream is the second half of the seed of the relay's random numbers.
	relaySeedStream = 7
)

// Link is the state of the link from one controller to another.
type Link struct {
	// Cut drops all datagrams on the link and closes all connections between the two controllers.
	Cut bool
	// Loss is the share of datagrams that are lost, from 0 to 1.
	Loss float64
	// Duplication is the share of datagrams that are delivered twice, from 0 to 1.
	Duplication float64
	// DelayMS is the maximum delay of a datagram in milliseconds. The delay is drawn for each datagram, so that
	// datagrams are reordered.
	DelayMS float64
}

// Relay carries the traffic between controllers. Each controller listens at an address in 127.1 and advertises an
// address in 127.2, at which the relay listens.
type Relay struct {
	Datagrams, DatagramBytes atomic.Uint64
	// StreamBytes counts the bytes that are carried over connections, in both directions.
	StreamBytes atomic.Uint64

	port   int
	direct bool // the controllers reach one another without the relay
	udp    []*net.UDPConn
	tcp    []net.Listener

	mu         sync.Mutex // guards linkState, random and conns
	linkState  func(from, to int) Link
	random     *rand.Rand
	conns      map[net.Conn]connRoute
	goroutines sync.WaitGroup
}

// connRoute holds the indexes of the controllers that opened and accepted a connection.
type connRoute struct{ from, to int }

// AdvertiseAddress returns the address at which the other controllers reach a controller.
func (r *Relay) AdvertiseAddress(index int) string {
	if r.direct {
		return r.ListenAddress(index)
	}
	return fmt.Sprintf("127.2.%d.%d:%d", index/hostsPerSubnet, 1+index%hostsPerSubnet, r.port)
}

// ListenAddress returns the address at which a controller listens.
func (r *Relay) ListenAddress(index int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", index/hostsPerSubnet, 1+index%hostsPerSubnet, r.port)
}

// controllerAt returns the index of the controller that has a listen or an advertise address.
func controllerAt(address netip.Addr) int {
	b := address.Unmap().As4()
	return int(b[2])*hostsPerSubnet + int(b[3]) - 1
}

// NewRelay returns a relay for the given number of controllers. A direct relay, which measurements use, only hands
// out the addresses of the controllers and carries no traffic.
func NewRelay(controllers int, seed uint64, direct bool) (*Relay, error) {
	r := &Relay{
		direct:    direct,
		random:    rand.New(rand.NewPCG(seed, relaySeedStream)),
		conns:     map[net.Conn]connRoute{},
		linkState: func(int, int) Link { return Link{} },
	}
	for try := 0; ; try++ {
		r.port = relayFirstPort + int(r.random.Uint32()%relayPortCount)
		err := r.listen(controllers)
		if err == nil {
			break
		}
		r.Close()
		r.udp, r.tcp = nil, nil
		if try > relayPortTries {
			return nil, err
		}
	}
	if direct {
		return r, nil
	}
	for k := range controllers {
		r.goroutines.Add(2)
		go r.forwardDatagrams(k)
		go r.acceptConnections(k)
	}
	return r, nil
}

// listen listens at the advertise addresses of all controllers. A direct relay only checks that the addresses are
// free and leaves them to the controllers.
func (r *Relay) listen(controllers int) error {
	if r.direct {
		defer r.closeListeners()
	}
	for k := range controllers {
		address := netip.MustParseAddrPort(r.AdvertiseAddress(k))
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return err
		}
		r.udp = append(r.udp, conn)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, listener)
	}
	return nil
}

// closeListeners closes all listeners. A direct relay also forgets them.
func (r *Relay) closeListeners() {
	for _, conn := range r.udp {
		_ = conn.Close()
	}
	for _, listener := range r.tcp {
		_ = listener.Close()
	}
	if r.direct {
		r.udp, r.tcp = nil, nil
	}
}

// SetLinks changes the state of all links and closes the connections over links that are cut now.
func (r *Relay) SetLinks(linkState func(from, to int) Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkState = linkState
	for conn, route := range r.conns {
		if r.isCut(route) {
			_ = conn.Close()
		}
	}
}

// isCut reports whether the link between two controllers is cut in either direction. The caller holds mu.
func (r *Relay) isCut(route connRoute) bool {
	return r.linkState(route.from, route.to).Cut || r.linkState(route.to, route.from).Cut
}

// Close closes the listeners and the connections of the relay and waits until it has stopped forwarding datagrams.
func (r *Relay) Close() {
	r.closeListeners()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// forwardDatagrams forwards the datagrams that are addressed to one controller until the relay is closed.
func (r *Relay) forwardDatagrams(to int) {
	defer r.goroutines.Done()
	var buffer [maxDatagramBytes]byte
	destination := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.ListenAddress(to)))
	for {
		n, source, err := r.udp[to].ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := controllerAt(source.Addr())
		if err != nil || from < 0 || from >= len(r.udp) {
			continue
		}
		r.Datagrams.Add(1)
		r.DatagramBytes.Add(uint64(n))
		delivery := r.drawDelivery(from, to)
		data := append([]byte(nil), buffer[:n]...)
		send := func() { _, _ = r.udp[from].WriteToUDP(data, destination) }
		for range delivery.copies {
			if delivery.delay > 0 {
				time.AfterFunc(delivery.delay, send)
			} else {
				send()
			}
		}
	}
}

// datagramDelivery says how often and how late a datagram is delivered.
type datagramDelivery struct {
	copies int // 0 if the datagram is lost
	delay  time.Duration
}

// drawDelivery draws the delivery of a datagram at random, according to the state of its link.
func (r *Relay) drawDelivery(from, to int) datagramDelivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.linkState(from, to)
	lost := link.Cut || r.random.Float64() < link.Loss
	duplicated := r.random.Float64() < link.Duplication
	delayMS := r.random.Float64() * link.DelayMS
	delivery := datagramDelivery{copies: 1, delay: time.Duration(delayMS * float64(time.Millisecond))}
	switch {
	case lost:
		delivery.copies = 0
	case duplicated:
		delivery.copies = 2
	}
	return delivery
}

// acceptConnections accepts the connections that are addressed to one controller until the relay is closed.
func (r *Relay) acceptConnections(to int) {
	defer r.goroutines.Done()
	for {
		conn, err := r.tcp[to].Accept()
		if err != nil {
			return
		}
		source, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		go r.forwardConnection(connRoute{controllerAt(source.Addr()), to}, conn)
	}
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ total *atomic.Uint64 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.total.Add(uint64(len(b)))
	return len(b), nil
}

// forwardConnection dials the controller that a connection is addressed to, with the advertise address of the
// connecting controller as the source, and copies bytes in both directions until either direction ends.
func (r *Relay) forwardConnection(route connRoute, in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	cut := r.isCut(route)
	r.mu.Unlock()
	if cut {
		return
	}
	source := netip.MustParseAddrPort(r.AdvertiseAddress(route.from)).Addr()
	dialer := &net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	out, err := dialer.Dial("tcp", r.ListenAddress(route.to))
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in], r.conns[out] = route, route
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		_, _ = io.Copy(to, io.TeeReader(from, byteCounter{&r.StreamBytes}))
		done <- struct{}{}
	}
	go forward(out, in)
	go forward(in, out)
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, in)
	delete(r.conns, out)
}
