// Package gossip carries messages between the controllers of a tier as UDP datagrams, which may be lost.
//
// It owns one socket and numbers its peers by their position in the configuration. Messages are opaque to it.
package gossip

import (
	"errors"
	"fmt"
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
	readRetryInterval  = 5 * time.Millisecond // after a failed read of the socket
)

// EventQueue receives each message from a peer as an event of kind scheduler.PeerMessage.
type EventQueue interface{ Put(dispatch.QueueItem) }

// datagram is a queued outgoing message. Its buffer is part of it, so that queueing a message allocates nothing.
type datagram struct {
	to   netip.AddrPort
	size int
	data [maxDatagramBytes]byte
}

// Network sends and receives datagrams. Without a listen address it drops every outgoing message.
type Network struct {
	conn     *net.UDPConn // nil without a listen address
	queue    EventQueue
	log      logrus.FieldLogger
	peers    []netip.AddrPort // by peer number
	allPeers netip.AddrPort   // reaches every peer; invalid if not configured
	outgoing chan datagram

	// Sent and Received count datagrams. Dropped counts outgoing messages that were not sent; UnknownSender counts
	// incoming datagrams that were discarded because no peer has their source address or they were too large.
	Sent, Received, Dropped, UnknownSender atomic.Uint64
}

// New returns a network that is bound to the address listen, or to none if listen is empty. The addresses in peers are
// those of the controllers in the order of their numbers; the address allPeers reaches every one of them.
func New(
	listen string, peers []string, allPeers string, queue EventQueue, log logrus.FieldLogger,
) (*Network, error) {
	n := &Network{queue: queue, log: log, outgoing: make(chan datagram, maxQueuedDatagrams)}
	if listen == "" {
		return n, nil
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	for number, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("address of peer %d: %w", number, err)
		}
		n.peers = append(n.peers, peer)
	}
	if allPeers != "" {
		n.allPeers, err = netip.ParseAddrPort(allPeers)
		if err != nil {
			return nil, fmt.Errorf("address of all peers: %w", err)
		}
	}
	err = retry.Listen(func() (err error) {
		n.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		return err
	})
	return n, err
}

// SendPeer queues a message for the controller numbered peer, or for all of them if peer is negative. It never blocks:
// a message that does not fit into the queue is dropped.
func (n *Network) SendPeer(peer int, data []byte) {
	message := datagram{to: n.addressOf(peer), size: len(data)}
	if n.conn == nil || !message.to.IsValid() || len(data) > maxDatagramBytes {
		n.Dropped.Add(1)
		return
	}
	copy(message.data[:], data)
	select {
	case n.outgoing <- message:
	default:
		n.Dropped.Add(1)
	}
}

// addressOf returns the destination of messages for a peer. It is invalid if there is no such peer.
func (n *Network) addressOf(peer int) netip.AddrPort {
	switch {
	case peer < 0:
		return n.allPeers
	case peer < len(n.peers):
		return n.peers[peer]
	}
	return netip.AddrPort{}
}

// Run receives datagrams and sends the queued ones until Stop.
func (n *Network) Run() {
	if n.conn == nil {
		return
	}
	go n.receive()
	for message := range n.outgoing {
		if _, err := n.conn.WriteToUDPAddrPort(message.data[:message.size], message.to); err != nil {
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

// receive puts the messages of peers into the event queue until the socket is closed.
func (n *Network) receive() {
	var buffer [maxDatagramBytes + 1]byte // one byte more than the limit, to recognize a datagram that exceeds it
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryInterval) // a persistent error must not become a busy loop
			continue
		}
		peer := n.peerNumber(from)
		if peer < 0 || size > maxDatagramBytes {
			if n.UnknownSender.Add(1) == 1 {
				n.log.WithFields(logrus.Fields{"from": from, "bytes": size}).
					Warn("gossip: datagram from an unknown sender or too large")
			}
			continue
		}
		n.Received.Add(1)
		payload := append([]byte(nil), buffer[:size]...)
		event := scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: peer, Payload: payload}
		n.queue.Put(dispatch.QueueItem{Event: event})
	}
}

// peerNumber returns the number of the controller with the source address from, or -1.
func (n *Network) peerNumber(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for number, peer := range n.peers {
		if peer == from {
			return number
		}
	}
	return -1
}
