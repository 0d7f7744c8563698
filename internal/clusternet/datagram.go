package clusternet

import (
	"bytes"
	"errors"
	"net"
	"net/netip"

	"liftshift/internal/membership"
)

// Prefixes that tell datagrams apart. Datagrams of the membership view have none and begin with other bytes. The values
// are part of the wire format.
var (
	handoffPrefix  = []byte("LE1")
	localityPrefix = []byte("LZ1")
)

const (
	maxDatagramBytes = 1200
	prefixBytes      = 3
)

// MaxDatagramPayload is the maximum length of the data for SendHandoff and SendLocality.
const MaxDatagramPayload = maxDatagramBytes - prefixBytes

// SendHandoff sends a datagram of the handoff protocol. It does not block: a datagram that can't be sent is dropped and
// counted.
func (t *Transport) SendHandoff(to netip.AddrPort, data []byte) {
	t.sendPrefixed(to, handoffPrefix, data)
}

// SendLocality sends a datagram of the locality protocol in the same way as SendHandoff.
func (t *Transport) SendLocality(to netip.AddrPort, data []byte) {
	t.sendPrefixed(to, localityPrefix, data)
}

// sendPrefixed sends a datagram that consists of a prefix and data.
func (t *Transport) sendPrefixed(to netip.AddrPort, prefix, data []byte) {
	if len(data) > MaxDatagramPayload {
		t.Dropped.Add(1)
		return
	}
	datagram := make([]byte, 0, len(prefix)+len(data))
	datagram = append(datagram, prefix...)
	datagram = append(datagram, data...)
	if _, err := t.udpConn.WriteToUDPAddrPort(datagram, to); err != nil {
		t.Dropped.Add(1)
	}
}

// sendMembership sends a datagram of the membership view. It does not block, either.
func (t *Transport) sendMembership(to string, data []byte) {
	address, err := netip.ParseAddrPort(to)
	if err == nil {
		_, err = t.udpConn.WriteToUDPAddrPort(data, address)
	}
	if err != nil {
		t.Dropped.Add(1)
	}
}

// receiveDatagrams receives datagrams until the socket is closed.
func (t *Transport) receiveDatagrams() {
	var buffer [maxDatagramBytes + 1]byte // one byte more than allowed, to recognize a datagram that is too long
	for {
		n, from, err := t.udpConn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxDatagramBytes {
			t.Dropped.Add(1)
			continue
		}
		if !t.dispatchDatagram(from, append([]byte(nil), buffer[:n]...)) {
			return
		}
	}
}

// dispatchDatagram passes a datagram to the handler for its prefix, or queues it for the membership view if it has
// none. It returns false if the event loop has ended.
func (t *Transport) dispatchDatagram(from netip.AddrPort, data []byte) bool {
	if content, found := bytes.CutPrefix(data, handoffPrefix); found {
		if t.HandoffDatagram != nil {
			t.HandoffDatagram(from, content)
		}
		return true
	}
	if content, found := bytes.CutPrefix(data, localityPrefix); found {
		if t.LocalityDatagram != nil {
			t.LocalityDatagram(from, content)
		}
		return true
	}
	sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	call := func(now float64) {
		t.step(now, &membership.Event{Kind: membership.DatagramReceived, From: sender, Data: data})
	}
	select {
	case t.loopCalls <- call:
	case <-t.done:
		return false
	default:
		t.Dropped.Add(1)
	}
	return true
}
