package membership

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

// The wire format. A datagram has at most maxDatagramBytes bytes:
//
//	"LF" major minor  fleet  kind  sequence  target  incarnation  view hash  sender's record  records...
//
// A text is its length in one byte and its bytes, a number is a uvarint, the hash has 8 bytes. A record is its length as a uvarint and
// its fields; bytes behind the known fields are from a later minor version and are skipped.
const (
	protocolMajor    = 1
	protocolMinor    = 0
	maxDatagramBytes = 1200
	maxTextBytes     = 64
	maxRecordBytes   = 400
)

// messageKind is the purpose of a message.
type messageKind uint8

// Message kinds. The numbers are part of the wire format.
const (
	kindPing        messageKind = 1
	kindAck         messageKind = 2
	kindPingRequest messageKind = 3 // asks the recipient to probe a third member
	kindNack        messageKind = 4 // the recipient of a ping request has no answer so far
	kindGossip      messageKind = 5
	kindDigest      messageKind = 6 // the first part of an exchange
	kindSame        messageKind = 7 // the views are equal
	kindFull        messageKind = 8
	kindEnd         messageKind = 9 // the first unused number
)

var (
	errForeign   = errors.New("of another fleet, or no message of a fleet")
	errNewer     = errors.New("of a later version")
	errMalformed = errors.New("malformed")
)

// message is a decoded message.
type message struct {
	kind        messageKind
	sequence    uint64
	target      string // name of the intended recipient; in a ping request, the address to probe
	incarnation uint64 // of the target
	viewHash    uint64
	sender      Member
	members     []Member
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextBytes)]
	return append(append(b, byte(len(s))), s...)
}

// encodeHeader writes a message without the records that follow the sender's.
func (v *View) encodeHeader(msg *message) []byte {
	b := append(make([]byte, 0, 256), 'L', 'F', protocolMajor, protocolMinor)
	b = appendText(b, v.fleet)
	b = append(b, byte(msg.kind))
	b = binary.AppendUvarint(b, msg.sequence)
	b = appendText(b, msg.target)
	b = binary.AppendUvarint(b, msg.incarnation)
	b = binary.BigEndian.AppendUint64(b, v.hash)
	return appendRecord(b, &v.self.Member)
}

// appendRecord writes a member's record.
func appendRecord(b []byte, m *Member) []byte {
	var buffer [maxRecordBytes]byte
	r := appendText(buffer[:0], m.Name)
	r = binary.AppendUvarint(r, m.Incarnation)
	r = binary.AppendUvarint(r, m.Refutation)
	r = append(r, byte(m.State), byte(m.Flags))
	r = binary.AppendUvarint(r, uint64(m.Version))
	r = appendText(r, m.Address)
	r = appendText(r, m.Zone)
	r = appendText(r, m.Region)
	r = appendText(r, m.AccusedBy)
	return append(binary.AppendUvarint(b, uint64(len(r))), r...)
}

// reader decodes a message. After an error it returns zero values.
type reader struct {
	data []byte
	err  error
}

func (r *reader) bytes(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.data) {
		r.err = errMalformed
		return nil
	}
	head := r.data[:n]
	r.data = r.data[n:]
	return head
}

func (r *reader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.err = errMalformed
		return 0
	}
	r.bytes(size)
	return n
}

func (r *reader) text() string {
	n := int(r.byte())
	if n > maxTextBytes {
		r.err = errMalformed
	}
	return string(r.bytes(n))
}

func (r *reader) record() (m Member) {
	size := r.uvarint()
	if size > maxRecordBytes {
		r.err = errMalformed
	}
	in := reader{data: r.bytes(int(min(size, maxRecordBytes))), err: r.err}
	m.Name = in.text()
	m.Incarnation = in.uvarint()
	m.Refutation = in.uvarint()
	m.State = State(in.byte())
	m.Flags = Flags(in.byte())
	m.Version = uint32(in.uvarint())
	m.Address = in.text()
	m.Zone = in.text()
	m.Region = in.text()
	m.AccusedBy = in.text()
	r.err = in.err
	if r.err == nil && !isValidRecord(&m) {
		r.err = errMalformed
	}
	return m
}

func isValidRecord(m *Member) bool {
	return m.Name != "" && m.Address != "" && m.State != Unknown && m.State < anyState
}

// parseMessage decodes a message of a fleet. A message with any error is rejected as a whole.
func parseMessage(fleet string, data []byte) (msg message, err error) {
	r := reader{data: data}
	head := r.bytes(4)
	if r.err != nil || head[0] != 'L' || head[1] != 'F' {
		return msg, errForeign
	}
	if head[2] != protocolMajor {
		return msg, errNewer
	}
	if r.text() != fleet || r.err != nil {
		return msg, errForeign
	}
	msg.kind = messageKind(r.byte())
	msg.sequence = r.uvarint()
	msg.target = r.text()
	msg.incarnation = r.uvarint()
	if hash := r.bytes(8); hash != nil {
		msg.viewHash = binary.BigEndian.Uint64(hash)
	}
	msg.sender = r.record()
	for r.err == nil && len(r.data) > 0 {
		msg.members = append(msg.members, r.record())
	}
	if r.err != nil {
		return message{}, r.err
	}
	if msg.kind == 0 || msg.kind >= kindEnd {
		return message{}, errNewer // a kind of a later minor version
	}
	return msg, nil
}

// hashMember returns a member's contribution to the hash of a view.
func hashMember(m *Member) uint64 {
	h := fnv.New64a()
	var b [18]byte
	binary.BigEndian.PutUint64(b[:], m.Incarnation)
	binary.BigEndian.PutUint64(b[8:], m.Refutation)
	b[16] = byte(m.State)
	b[17] = byte(m.Flags)
	_, _ = h.Write([]byte(m.Name))
	_, _ = h.Write(b[:])
	x := h.Sum64()
	// FNV's high bits are alike for similar names, and the hashes are combined by exclusive or: they are mixed once more.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
