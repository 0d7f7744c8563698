// Package vrrp implements the Virtual Router Redundancy Protocol, version 3 (RFC 9568; RFC 5798 where that has more): the encoding of its
// advertisements, and the state machine of one virtual router.
//
// It owns no socket, clock or goroutine: packets, timers and times in milliseconds go in, effects come out. What it means to acquire or
// release an address is up to the caller.
package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// The wire format.
const (
	version           = 3
	typeAdvertisement = 1
	headerBytes       = 8
	checksumOffset    = 6
	protocolNumber    = 112 // in the pseudo-header
	maxAddresses      = 255
	maxIntervalUnits  = 1<<12 - 1
	intervalUnitMS    = 10
)

// Reserved priorities.
const (
	PriorityOwner = 255 // of the router that owns the addresses
	PriorityStop  = 0   // of an active router that stops
)

// MaxPacketBytes is the size of the longest advertisement.
const MaxPacketBytes = headerBytes + 16*maxAddresses

// Packet is an advertisement.
type Packet struct {
	RouterID   uint8 // of the virtual router, from 1
	Priority   uint8
	IntervalMS float64 // between the active router's advertisements
	Addresses  []netip.Addr
}

// ErrInvalidPacket is wrapped by the errors about an invalid advertisement.
var ErrInvalidPacket = errors.New("invalid VRRP advertisement")

func packetError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidPacket, fmt.Sprintf(format, args...))
}

// Append encodes an advertisement. The addresses of its source and destination are part of the checksum.
func (p *Packet) Append(b []byte, from, to netip.Addr) ([]byte, error) {
	units := int(p.IntervalMS / intervalUnitMS)
	if p.RouterID == 0 || len(p.Addresses) == 0 || len(p.Addresses) > maxAddresses || units < 1 || units > maxIntervalUnits {
		return b, packetError("router %d, %d addresses, interval %g ms", p.RouterID, len(p.Addresses), p.IntervalMS)
	}
	start := len(b)
	b = append(b, version<<4|typeAdvertisement, p.RouterID, p.Priority, byte(len(p.Addresses)))
	b = binary.BigEndian.AppendUint16(b, uint16(units))
	b = append(b, 0, 0) // the checksum
	for _, a := range p.Addresses {
		if a.Is4() != from.Is4() {
			return b[:start], packetError("%s is of another family than %s", a, from)
		}
		b = append(b, a.AsSlice()...)
	}
	binary.BigEndian.PutUint16(b[start+checksumOffset:], checksum(b[start:], from, to))
	return b, nil
}

// Parse decodes an advertisement with the addresses of its source and destination. It checks every field.
func Parse(b []byte, from, to netip.Addr) (p Packet, err error) {
	from = from.Unmap()
	to = to.Unmap()
	addressBytes := 16
	if from.Is4() {
		addressBytes = 4
	}
	switch {
	case !from.IsValid() || !to.IsValid() || from.Is4() != to.Is4():
		return p, packetError("from %s to %s", from, to)
	case len(b) < headerBytes:
		return p, packetError("%d bytes", len(b))
	case b[0]>>4 != version:
		return p, packetError("version %d", b[0]>>4)
	case b[0]&15 != typeAdvertisement:
		return p, packetError("type %d", b[0]&15)
	case b[1] == 0:
		return p, packetError("router 0")
	case b[3] == 0 || len(b) != headerBytes+addressBytes*int(b[3]):
		return p, packetError("%d addresses in %d bytes", b[3], len(b))
	case checksum(b, from, to) != 0:
		return p, packetError("checksum")
	}
	units := binary.BigEndian.Uint16(b[4:]) & maxIntervalUnits
	if units == 0 {
		return p, packetError("interval 0")
	}
	p = Packet{RouterID: b[1], Priority: b[2], IntervalMS: float64(units) * intervalUnitMS}
	for at := headerBytes; at < len(b); at += addressBytes {
		a, _ := netip.AddrFromSlice(b[at : at+addressBytes])
		p.Addresses = append(p.Addresses, a)
	}
	return p, nil
}

// checksum returns the Internet checksum over the pseudo-header and an advertisement; 0 if the checksum in it is right.
func checksum(b []byte, from, to netip.Addr) uint16 {
	sum := uint32(protocolNumber) + uint32(len(b))
	add := func(b []byte) {
		for ; len(b) > 1; b = b[2:] {
			sum += uint32(b[0])<<8 | uint32(b[1])
		}
		if len(b) > 0 {
			sum += uint32(b[0]) << 8
		}
	}
	add(from.AsSlice())
	add(to.AsSlice())
	add(b)
	for sum>>16 != 0 {
		sum = sum&0xffff + sum>>16
	}
	return ^uint16(sum)
}
