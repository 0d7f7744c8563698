// Package gossip carries messages between the controllers of a tier as UDP datagrams, which may be lost.
//
// It owns one socket and knows the peers by their place in the configuration. It does not look into messages.
package gossip

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/retry"
	"liftshift/scheduler"
)

const (
	maxDatagramBytes   = 256
	maxQueuedDatagrams = 256
	retryInterval      = 5 * time.Millisecond // after a read that failed
)

// EventQueue takes the messages that come.
type EventQueue interface{ Put(dispatch.QueueItem) }

// datagram is a message that is queued.
type datagram struct {
	to   netip.AddrPort
	size int
	data [maxDatagramBytes]byte
}

// Network sends and receives datagrams. Without an address to listen at, it drops what it is to send.
type Network struct {
	conn     *net.UDPConn
	queue    EventQueue
	log      logrus.FieldLogger
	peers    []netip.AddrPort
	all      netip.AddrPort
	outgoing chan datagram

	Sent, Received, Dropped, UnknownSender atomic.Uint64
}

// New returns a network that listens at an address, if that is not empty. Peers are the addresses of the controllers by their number;
// all reaches every one of them.
func New(listen string, peers []string, all string, queue EventQueue, log logrus.FieldLogger) (*Network, error) {
	n := &Network{queue: queue, log: log, outgoing: make(chan datagram, maxQueuedDatagrams)}
	if listen == "" {
		return n, nil
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	for _, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		n.peers = append(n.peers, peer)
	}
	if all != "" {
		n.all, err = netip.ParseAddrPort(all)
		if err != nil {
			return nil, err
		}
	}
	err = retry.Listen(func() (err error) {
		n.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		return err
	})
	return n, err
}

// SendPeer queues a message for the controller numbered peer, or for all below 0. It never waits.
func (n *Network) SendPeer(peer int, data []byte) {
	d := datagram{to: n.addressOf(peer), size: len(data)}
	if n.conn == nil || !d.to.IsValid() || len(data) > maxDatagramBytes {
		n.Dropped.Add(1)
		return
	}
	copy(d.data[:], data)
	select {
	case n.outgoing <- d:
	default:
		n.Dropped.Add(1)
	}
}

// addressOf returns where messages for a peer go; not valid if there is no such peer.
func (n *Network) addressOf(peer int) netip.AddrPort {
	switch {
	case peer < 0:
		return n.all
	case peer < len(n.peers):
		return n.peers[peer]
	}
	return netip.AddrPort{}
}

// Run sends what is queued and receives, until Stop.
func (n *Network) Run() {
	if n.conn == nil {
		return
	}
	go n.receive()
	for d := range n.outgoing {
		if _, err := n.conn.WriteToUDPAddrPort(d.data[:d.size], d.to); err != nil {
			n.Dropped.Add(1)
		} else {
			n.Sent.Add(1)
		}
	}
}

// Stop ends Run. SendPeer must not be called after it.
func (n *Network) Stop() {
	close(n.outgoing)
	if n.conn != nil {
		_ = n.conn.Close()
	}
}

// receive hands on what comes, until the socket is closed.
func (n *Network) receive() {
	var buffer [maxDatagramBytes + 1]byte
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryInterval) // whatever failed, it must not be tried in a tight loop
			continue
		}
		peer := n.peerNumber(from)
		if peer < 0 || size > maxDatagramBytes {
			if n.UnknownSender.Add(1) == 1 {
				n.log.WithFields(logrus.Fields{"from": from, "bytes": size}).Warn("gossip: datagram from an unknown sender or too large")
			}
			continue
		}
		n.Received.Add(1)
		payload := append([]byte(nil), buffer[:size]...)
		n.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: peer, Payload: payload}})
	}
}

// peerNumber returns the number of the controller at an address, or -1.
func (n *Network) peerNumber(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for number, peer := range n.peers {
		if peer == from {
			return number
		}
	}
	return -1
}
