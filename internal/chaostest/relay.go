// Package chaostest starts several real controllers with stand-ins for all else, carries every link between them through relays of
// its own, causes failures, and checks what clients and executors saw. The daemon never uses it.
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

// Link is how the way from one controller to another is.
type Link struct {
	Cut               bool
	Loss, Duplication float64
	DelayMS           float64 // at most: drawn for each datagram, so that they overtake one another
}

// Relay carries what controllers say to one another. Each has an address that others know, in 127.2, and listens at one in 127.1.
type Relay struct {
	Datagrams, DatagramBytes atomic.Uint64 // datagrams
	StreamBytes              atomic.Uint64 // bytes over connections

	mu      sync.Mutex
	link    func(from, to int) Link
	random  *rand.Rand
	udp     []*net.UDPConn
	tcp     []net.Listener
	conns   map[net.Conn][2]int
	port    int
	direct  bool // controllers reach one another without it
	running sync.WaitGroup
}

// AdvertiseAddress gives the address by which others know a controller.
func (r *Relay) AdvertiseAddress(k int) string {
	if r.direct {
		return r.ListenAddress(k)
	}
	return fmt.Sprintf("127.2.%d.%d:%d", k/200, 1+k%200, r.port)
}

// ListenAddress gives the address at which a controller listens.
func (r *Relay) ListenAddress(k int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", k/200, 1+k%200, r.port)
}

// controllerAt tells which controller an address is of.
func controllerAt(a netip.Addr) int {
	b := a.Unmap().As4()
	return int(b[2])*200 + int(b[3]) - 1
}

// NewRelay returns a relay for n controllers. A direct one is only the book of their addresses, for measurements: it carries nothing.
func NewRelay(n int, seed uint64, direct bool) (*Relay, error) {
	r := &Relay{direct: direct, random: rand.New(rand.NewPCG(seed, 7)), conns: map[net.Conn][2]int{}, link: func(int, int) Link { return Link{} }}
	for try := 0; ; try++ {
		r.port = 10000 + int(r.random.Uint32()%20000) // below those given to who calls: a listener that is killed finds its own again
		err := r.listen(n)
		if err == nil {
			break
		}
		r.Close()
		if r.udp, r.tcp = nil, nil; try > 20 {
			return nil, err
		}
	}
	for k := range n {
		if direct {
			break
		}
		r.running.Add(2)
		go r.forwardDatagrams(k)
		go r.acceptConnections(k)
	}
	return r, nil
}

func (r *Relay) listen(n int) error {
	if r.direct { // each port is tried, and left to the controllers
		defer func() {
			for _, l := range r.tcp {
				_ = l.Close()
			}
			for _, u := range r.udp {
				_ = u.Close()
			}
			r.tcp, r.udp = nil, nil
		}()
	}
	for k := range n {
		at := netip.MustParseAddrPort(r.AdvertiseAddress(k))
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return err
		}
		r.udp = append(r.udp, u)
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, l)
	}
	return nil
}

// SetLinks changes the ways; connections over one that is cut now end.
func (r *Relay) SetLinks(way func(from, to int) Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = way
	for c, ends := range r.conns {
		if way(ends[0], ends[1]).Cut || way(ends[1], ends[0]).Cut {
			_ = c.Close()
		}
	}
}

// Close ends all.
func (r *Relay) Close() {
	for _, u := range r.udp {
		_ = u.Close()
	}
	for _, l := range r.tcp {
		_ = l.Close()
	}
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Relay) forwardDatagrams(k int) {
	defer r.running.Done()
	var b [2048]byte
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.ListenAddress(k)))
	for {
		n, at, err := r.udp[k].ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := controllerAt(at.Addr())
		if err != nil || from < 0 || from >= len(r.udp) {
			continue
		}
		r.Datagrams.Add(1)
		r.DatagramBytes.Add(uint64(n))
		r.mu.Lock()
		w := r.link(from, k)
		times, lost := 1, w.Cut || r.random.Float64() < w.Loss
		if r.random.Float64() < w.Duplication {
			times = 2
		}
		delay := r.random.Float64() * w.DelayMS
		r.mu.Unlock()
		if lost {
			continue
		}
		data := append([]byte(nil), b[:n]...)
		send := func() { _, _ = r.udp[from].WriteToUDP(data, to) }
		for range times {
			if delay > 0 {
				time.AfterFunc(time.Duration(delay*float64(time.Millisecond)), send)
			} else {
				send()
			}
		}
	}
}

func (r *Relay) acceptConnections(k int) {
	defer r.running.Done()
	for {
		c, err := r.tcp[k].Accept()
		if err != nil {
			return
		}
		at, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		go r.forwardConnection(controllerAt(at.Addr()), k, c)
	}
}

// byteCounter counts bytes.
type byteCounter struct{ n *atomic.Uint64 }

func (c byteCounter) Write(b []byte) (int, error) {
	c.n.Add(uint64(len(b)))
	return len(b), nil
}

func (r *Relay) forwardConnection(from, k int, c net.Conn) {
	defer c.Close()
	r.mu.Lock()
	cut := r.link(from, k).Cut || r.link(k, from).Cut
	r.mu.Unlock()
	if cut {
		return
	}
	back := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(netip.MustParseAddrPort(r.AdvertiseAddress(from)).Addr().String())}}
	on, err := back.Dial("tcp", r.ListenAddress(k))
	if err != nil {
		return
	}
	defer on.Close()
	r.mu.Lock()
	r.conns[c], r.conns[on] = [2]int{from, k}, [2]int{from, k}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	pass := func(a, b net.Conn) {
		_, _ = io.Copy(a, io.TeeReader(b, byteCounter{&r.StreamBytes}))
		done <- struct{}{}
	}
	go pass(on, c)
	go pass(c, on)
	<-done
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, on)
	r.mu.Unlock()
}
