package wire

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/retry"
	"liftshift/scheduler"
)

// Limits of what controllers send one another.
const (
	mostDatagram = 256
	mostTold     = 256 // messages that may line up here
)

// datagram is a message lined up.
type datagram struct {
	to   netip.AddrPort
	size int
	data [mostDatagram]byte
}

// PeerNetwork sends and gets datagrams. Without an address to listen at, it drops what it is to send.
type PeerNetwork struct {
	conn  *net.UDPConn
	queue EventQueue
	log   logrus.FieldLogger
	peers []netip.AddrPort
	all   netip.AddrPort
	out   chan datagram

	Sent, Heard, Dropped, Foreign atomic.Uint64
}

// NewPeerNetwork listens where the others send to.
func NewPeerNetwork(listen string, peers []string, all string, queue EventQueue, log logrus.FieldLogger) (*PeerNetwork, error) {
	p := &PeerNetwork{queue: queue, log: log, out: make(chan datagram, mostTold)}
	if listen == "" {
		return p, nil
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	for _, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		p.peers = append(p.peers, peer)
	}
	if all != "" {
		if p.all, err = netip.ParseAddrPort(all); err != nil {
			return nil, err
		}
	}
	err = retry.Listen(func() (err error) {
		p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		return err
	})
	return p, err
}

// SendPeer lines a message up for the controller numbered peer, or for all below 0.
func (p *PeerNetwork) SendPeer(peer int, data []byte) {
	l := datagram{to: p.all, size: len(data)}
	if peer >= 0 && peer < len(p.peers) {
		l.to = p.peers[peer]
	} else if peer >= 0 {
		l.to = netip.AddrPort{}
	}
	if p.conn == nil || !l.to.IsValid() || len(data) > mostDatagram {
		p.Dropped.Add(1)
		return
	}
	copy(l.data[:], data)
	select {
	case p.out <- l:
	default:
		p.Dropped.Add(1) // messages may be lost
	}
}

// Run sends what lines up, until Stop.
func (p *PeerNetwork) Run() {
	if p.conn == nil {
		return
	}
	go p.listen()
	for l := range p.out {
		if _, err := p.conn.WriteToUDPAddrPort(l.data[:l.size], l.to); err != nil {
			p.Dropped.Add(1)
		} else {
			p.Sent.Add(1)
		}
	}
}

// Stop ends Run; nothing is told after it.
func (p *PeerNetwork) Stop() {
	close(p.out)
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

func (p *PeerNetwork) listen() {
	var b [mostDatagram + 1]byte
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b[:])
		if err != nil {
			if isClosed(err) {
				return
			}
			time.Sleep(passAgain) // whatever failed, it must not be tried without end
			continue
		}
		peer := p.number(from)
		if peer < 0 || n > mostDatagram {
			if p.Foreign.Add(1) == 1 {
				p.log.WithFields(logrus.Fields{"from": from, "bytes": n}).Warn("peers: foreign or oversized datagram")
			}
			continue
		}
		p.Heard.Add(1)
		p.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: peer, Payload: append([]byte(nil), b[:n]...)}})
	}
}

// number tells which controller an address is of, or -1.
func (p *PeerNetwork) number(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for k, peer := range p.peers {
		if peer == from {
			return k
		}
	}
	return -1
}
