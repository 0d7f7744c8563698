// Package chaostest starts clusters of real controllers with test servers for their surroundings, carries the links between them through a
// relay, injects faults, and checks what clients and executors saw. It plays the drills of the chaos command, the tests of whole clusters
// and the rounds of measurements. It must not be used by the serving daemon, and shares none of its decisions.
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
	relayFirstPort   = 10000 // below the ports of outgoing connections: a listener that is killed finds its own again
	relayPortCount   = 20000
	relayPortTries   = 20
	relayDialTimeout = time.Second
	maxDatagramBytes = 2048
	hostsPerSubnet   = 200
)

// Link is the state of the link from one controller to another.
type Link struct {
	Cut         bool
	Loss        float64 // share of datagrams
	Duplication float64 // share of datagrams
	DelayMS     float64 // at most: drawn for each datagram, so that they overtake one another
}

// Relay carries what controllers send to one another. Each controller has an address in 127.2 that the others know, where the relay
// listens, and listens itself at an address in 127.1.
type Relay struct {
	Datagrams, DatagramBytes atomic.Uint64
	StreamBytes              atomic.Uint64 // over connections

	port   int
	direct bool // controllers reach one another without it
	udp    []*net.UDPConn
	tcp    []net.Listener

	mu      sync.Mutex
	link    func(from, to int) Link
	random  *rand.Rand
	conns   map[net.Conn]relayedConn
	running sync.WaitGroup
}

// relayedConn is between which controllers a connection is.
type relayedConn struct{ from, to int }

// AdvertiseAddress returns the address by which others know a controller.
func (r *Relay) AdvertiseAddress(k int) string {
	if r.direct {
		return r.ListenAddress(k)
	}
	return fmt.Sprintf("127.2.%d.%d:%d", k/hostsPerSubnet, 1+k%hostsPerSubnet, r.port)
}

// ListenAddress returns the address at which a controller listens.
func (r *Relay) ListenAddress(k int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", k/hostsPerSubnet, 1+k%hostsPerSubnet, r.port)
}

// controllerAt returns the number of the controller with an address.
func controllerAt(address netip.Addr) int {
	b := address.Unmap().As4()
	return int(b[2])*hostsPerSubnet + int(b[3]) - 1
}

// NewRelay returns a relay for some controllers. A direct one only hands out their addresses, for measurements, and carries nothing.
func NewRelay(controllers int, seed uint64, direct bool) (*Relay, error) {
	r := &Relay{direct: direct, random: rand.New(rand.NewPCG(seed, 7)), conns: map[net.Conn]relayedConn{}, link: func(int, int) Link { return Link{} }}
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
		r.running.Add(2)
		go r.forwardDatagrams(k)
		go r.acceptConnections(k)
	}
	return r, nil
}

// listen listens at all addresses. A direct relay only tries them and leaves them to the controllers.
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

// SetLinks changes the state of all links; connections over one that is cut now end.
func (r *Relay) SetLinks(link func(from, to int) Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
	for conn, ends := range r.conns {
		if r.isCut(ends) {
			_ = conn.Close()
		}
	}
}

// isCut reports whether the link between two controllers is cut in either direction. The caller holds mu.
func (r *Relay) isCut(ends relayedConn) bool {
	return r.link(ends.from, ends.to).Cut || r.link(ends.to, ends.from).Cut
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.closeListeners()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

// forwardDatagrams forwards the datagrams to a controller.
func (r *Relay) forwardDatagrams(k int) {
	defer r.running.Done()
	var buffer [maxDatagramBytes]byte
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.ListenAddress(k)))
	for {
		n, source, err := r.udp[k].ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := controllerAt(source.Addr())
		if err != nil || from < 0 || from >= len(r.udp) {
			continue
		}
		r.Datagrams.Add(1)
		r.DatagramBytes.Add(uint64(n))
		fate := r.drawFate(from, k)
		data := append([]byte(nil), buffer[:n]...)
		send := func() { _, _ = r.udp[from].WriteToUDP(data, to) }
		for range fate.copies {
			if fate.delay > 0 {
				time.AfterFunc(fate.delay, send)
			} else {
				send()
			}
		}
	}
}

// datagramFate is what becomes of a datagram.
type datagramFate struct {
	copies int // 0: it is lost
	delay  time.Duration
}

// drawFate draws what becomes of a datagram by the state of its link.
func (r *Relay) drawFate(from, to int) datagramFate {
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.link(from, to)
	lost := link.Cut || r.random.Float64() < link.Loss
	duplicated := r.random.Float64() < link.Duplication
	delayMS := r.random.Float64() * link.DelayMS
	fate := datagramFate{copies: 1, delay: time.Duration(delayMS * float64(time.Millisecond))}
	switch {
	case lost:
		fate.copies = 0
	case duplicated:
		fate.copies = 2
	}
	return fate
}

// acceptConnections accepts the connections to a controller.
func (r *Relay) acceptConnections(k int) {
	defer r.running.Done()
	for {
		conn, err := r.tcp[k].Accept()
		if err != nil {
			return
		}
		source, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		go r.forwardConnection(relayedConn{controllerAt(source.Addr()), k}, conn)
	}
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ n *atomic.Uint64 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.n.Add(uint64(len(b)))
	return len(b), nil
}

// forwardConnection carries a connection, with the address of its controller as the source, until either side ends.
func (r *Relay) forwardConnection(ends relayedConn, in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	cut := r.isCut(ends)
	r.mu.Unlock()
	if cut {
		return
	}
	source := netip.MustParseAddrPort(r.AdvertiseAddress(ends.from)).Addr()
	dialer := &net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	out, err := dialer.Dial("tcp", r.ListenAddress(ends.to))
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in], r.conns[out] = ends, ends
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
