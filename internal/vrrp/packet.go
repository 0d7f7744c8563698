// Package vrrp implements the Virtual Router Redundancy Protocol, version 3 (RFC 9568, and RFC 5798 where that says
// more): the encoding of advertisements and the state machine of one virtual router.
//
// The package opens no sockets, reads no clock and starts no goroutines. The caller passes packets and times in
// milliseconds to a Machine and executes the effects that it returns. How an address is acquired or released is up to
// the caller.
package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// The wire format: a header of headerBytes, and the addresses.
const (
	version           = 3
	typeAdvertisement = 1
	headerBytes       = 8
	intervalOffset    = 4
	checksumOffset    = 6
	ipv4Bytes         = 4
	ipv6Bytes         = 16
	protocolNumber    = 112 // in the pseudo-header that the checksum covers
	maxAddresses      = 255
	intervalUnitMS    = 10        // the interval is sent in centiseconds
	maxIntervalUnits  = 1<<12 - 1 // the interval has 12 bits
)

// Reserved priorities.
const (
	PriorityOwner  = 255 // of the router that owns the addresses
	PriorityResign = 0   // of an active router that stops
)

// MaxPacketBytes is the size of the longest advertisement.
const MaxPacketBytes = headerBytes + ipv6Bytes*maxAddresses

// Packet is an advertisement.
type Packet struct {
	RouterID   uint8 // of the virtual router, from 1 to 255
	Priority   uint8
	IntervalMS float64 // time between the active router's advertisements
	Addresses  []netip.Addr
}

// ErrInvalidPacket is wrapped by all errors about an invalid advertisement.
var ErrInvalidPacket = errors.New("invalid VRRP advertisement")

func packetError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidPacket, fmt.Sprintf(format, args...))
}

// Append appends the encoded advertisement to buffer. The checksum covers the addresses of the source and the
// destination.
func (p *Packet) Append(buffer []byte, source, destination netip.Addr) ([]byte, error) {
	units := int(p.IntervalMS / intervalUnitMS)
	if p.RouterID == 0 || len(p.Addresses) == 0 || len(p.Addresses) > maxAddresses ||
		units < 1 || units > maxIntervalUnits {
		return buffer, packetError("router ID %d, %d addresses, interval %g ms; "+
			"expected a router ID from 1, 1 to %d addresses and an interval from %d to %d ms",
			p.RouterID, len(p.Addresses), p.IntervalMS, maxAddresses, intervalUnitMS, maxIntervalUnits*intervalUnitMS)
	}
	start := len(buffer)
	buffer = append(buffer, version<<4|typeAdvertisement, p.RouterID, p.Priority, byte(len(p.Addresses)))
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(units))
	buffer = append(buffer, 0, 0) // the checksum, which is computed over zeros in its place
	for _, address := range p.Addresses {
		if address.Is4() != source.Is4() {
			return buffer[:start], packetError("address %s and source %s are of different families", address, source)
		}
		buffer = append(buffer, address.AsSlice()...)
	}
	sum := checksum(buffer[start:], source, destination)
	binary.BigEndian.PutUint16(buffer[start+checksumOffset:], sum)
	return buffer, nil
}

// Parse decodes an advertisement that was sent from source to destination. It checks every field.
func Parse(data []byte, source, destination netip.Addr) (p Packet, err error) {
	source = source.Unmap()
	destination = destination.Unmap()
	addressBytes := ipv6Bytes
	if source.Is4() {
		addressBytes = ipv4Bytes
	}
	switch {
	case !source.IsValid() || !destination.IsValid() || source.Is4() != destination.Is4():
		return p, packetError("source %s and destination %s, expected two addresses of one family", source, destination)
	case len(data) < headerBytes:
		return p, packetError("%d bytes, expected at least %d", len(data), headerBytes)
	case data[0]>>4 != version:
		return p, packetError("version %d, expected %d", data[0]>>4, version)
	case data[0]&15 != typeAdvertisement:
		return p, packetError("type %d, expected %d", data[0]&15, typeAdvertisement)
	case data[1] == 0:
		return p, packetError("router ID 0, expected 1 to 255")
	case data[3] == 0 || len(data) != headerBytes+addressBytes*int(data[3]):
		return p, packetError("address count %d in %d bytes, expected a count from 1 and %d bytes for each address",
			data[3], len(data), addressBytes)
	case checksum(data, source, destination) != 0:
		return p, packetError("wrong checksum")
	}
	units := binary.BigEndian.Uint16(data[intervalOffset:]) & maxIntervalUnits
	if units == 0 {
		return p, packetError("interval 0, expected 1 to %d centiseconds", maxIntervalUnits)
	}
	p = Packet{RouterID: data[1], Priority: data[2], IntervalMS: float64(units) * intervalUnitMS}
	for offset := headerBytes; offset < len(data); offset += addressBytes {
		address, _ := netip.AddrFromSlice(data[offset : offset+addressBytes])
		p.Addresses = append(p.Addresses, address)
	}
	return p, nil
}

// checksum returns the Internet checksum over the pseudo-header and an advertisement. It is 0 for an advertisement that
// contains its right checksum.
func checksum(packet []byte, source, destination netip.Addr) uint16 {
	sum := uint32(protocolNumber) + uint32(len(packet))
	add := func(data []byte) {
		for ; len(data) > 1; data = data[2:] {
			sum += uint32(data[0])<<8 | uint32(data[1])
		}
		if len(data) > 0 {
			sum += uint32(data[0]) << 8
		}
	}
	add(source.AsSlice())
	add(destination.AsSlice())
	add(packet)
	for sum>>16 != 0 {
		sum = sum&0xffff + sum>>16
	}
	return ^uint16(sum)
}
