package membership

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

// The wire format of a message:
//
//	"LF" major minor  fleet  kind  sequence  target  incarnation  view hash  sender's record  records...
//
// A string is encoded as its length in one byte and its bytes, a number as a uvarint, the hash as 8 bytes in big-endian
// order. A record is encoded as its length as a uvarint and its fields. Bytes after the known fields belong to a later
// minor version of the protocol and are skipped.
const (
	protocolMajor    = 1
	protocolMinor    = 0
	maxDatagramBytes = 1200 // fits into one packet on common networks
	maxTextBytes     = 64
	maxRecordBytes   = 400
)

// messageKind is the purpose of a message.
type messageKind uint8

// Kinds of messages. The numbers are part of the wire format.
const (
	kindPing        messageKind = 1
	kindAck         messageKind = 2
	kindPingRequest messageKind = 3 // asks the recipient to probe a third member
	kindNack        messageKind = 4 // the recipient of a ping request has no answer from the third member yet
	kindGossip      messageKind = 5 // carries records and needs no answer
	kindDigest      messageKind = 6 // starts an exchange with the hash of the sender's view
	kindSame        messageKind = 7 // answers that the views are equal or that nothing more needs to be sent
	kindFull        messageKind = 8 // carries all records of the sender's view
	kindEnd         messageKind = 9 // first unused number
)

var (
	errForeign      = errors.New("message of another fleet, or no membership message")
	errNewerVersion = errors.New("message of a later protocol version")
	errMalformed    = errors.New("malformed message")
)

// message is a decoded message.
type message struct {
	kind        messageKind
	sequence    uint64
	target      string // name of the intended recipient; in a ping request, the address to probe
	incarnation uint64 // incarnation of the target
	viewHash    uint64
	sender      Member
	members     []Member
}

// appendText appends an encoded string, truncated to maxTextBytes.
func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextBytes)]
	return append(append(b, byte(len(s))), s...)
}

// encodeHeader encodes a message up to and including the sender's record, without the records that follow it.
func (v *View) encodeHeader(msg *message) []byte {
	data := append(make([]byte, 0, 256), 'L', 'F', protocolMajor, protocolMinor)
	data = appendText(data, v.fleet)
	data = append(data, byte(msg.kind))
	data = binary.AppendUvarint(data, msg.sequence)
	data = appendText(data, msg.target)
	data = binary.AppendUvarint(data, msg.incarnation)
	data = binary.BigEndian.AppendUint64(data, v.hash)
	return appendRecord(data, &v.self.Member)
}

// appendRecord appends a member's encoded record.
func appendRecord(data []byte, m *Member) []byte {
	var buffer [maxRecordBytes]byte
	record := appendText(buffer[:0], m.Name)
	record = binary.AppendUvarint(record, m.Incarnation)
	record = binary.AppendUvarint(record, m.Refutation)
	record = append(record, byte(m.State), byte(m.Flags))
	record = binary.AppendUvarint(record, uint64(m.Version))
	record = appendText(record, m.Address)
	record = appendText(record, m.Zone)
	record = appendText(record, m.Region)
	record = appendText(record, m.AccusedBy)
	return append(binary.AppendUvarint(data, uint64(len(record))), record...)
}

// fieldReader decodes the fields of a message one after the other. After an error, its methods return zero values.
type fieldReader struct {
	data []byte
	err  error
}

func (r *fieldReader) bytes(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.data) {
		r.err = errMalformed
		return nil
	}
	head := r.data[:n]
	r.data = r.data[n:]
	return head
}

func (r *fieldReader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *fieldReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.err = errMalformed
		return 0
	}
	r.bytes(size)
	return n
}

func (r *fieldReader) text() string {
	n := int(r.byte())
	if n > maxTextBytes {
		r.err = errMalformed
	}
	return string(r.bytes(n))
}

func (r *fieldReader) record() (m Member) {
	size := r.uvarint()
	if size > maxRecordBytes {
		r.err = errMalformed
	}
	fields := fieldReader{data: r.bytes(int(min(size, maxRecordBytes))), err: r.err}
	m.Name = fields.text()
	m.Incarnation = fields.uvarint()
	m.Refutation = fields.uvarint()
	m.State = State(fields.byte())
	m.Flags = Flags(fields.byte())
	m.Version = uint32(fields.uvarint())
	m.Address = fields.text()
	m.Zone = fields.text()
	m.Region = fields.text()
	m.AccusedBy = fields.text()
	r.err = fields.err
	if r.err == nil && !isValidRecord(&m) {
		r.err = errMalformed
	}
	return m
}

// isValidRecord reports whether a decoded record has a name, an address and a state of this protocol version.
func isValidRecord(m *Member) bool {
	return m.Name != "" && m.Address != "" && m.State != Unknown && m.State < anyState
}

// parseMessage decodes a message of the given fleet. A message with an error anywhere is rejected as a whole.
func parseMessage(fleet string, data []byte) (msg message, err error) {
	fields := fieldReader{data: data}
	head := fields.bytes(4)
	if fields.err != nil || head[0] != 'L' || head[1] != 'F' {
		return msg, errForeign
	}
	if head[2] != protocolMajor {
		return msg, errNewerVersion
	}
	if fields.text() != fleet || fields.err != nil {
		return msg, errForeign
	}
	msg.kind = messageKind(fields.byte())
	msg.sequence = fields.uvarint()
	msg.target = fields.text()
	msg.incarnation = fields.uvarint()
	if hash := fields.bytes(8); hash != nil {
		msg.viewHash = binary.BigEndian.Uint64(hash)
	}
	msg.sender = fields.record()
	for fields.err == nil && len(fields.data) > 0 {
		msg.members = append(msg.members, fields.record())
	}
	if fields.err != nil {
		return message{}, fields.err
	}
	if msg.kind == 0 || msg.kind >= kindEnd {
		return message{}, errNewerVersion // a kind that a later minor version introduced
	}
	return msg, nil
}

// hashMember returns a member's contribution to the hash of a view.
func hashMember(m *Member) uint64 {
	hasher := fnv.New64a()
	var fields [18]byte
	binary.BigEndian.PutUint64(fields[:], m.Incarnation)
	binary.BigEndian.PutUint64(fields[8:], m.Refutation)
	fields[16] = byte(m.State)
	fields[17] = byte(m.Flags)
	_, _ = hasher.Write([]byte(m.Name))
	_, _ = hasher.Write(fields[:])
	hash := hasher.Sum64()
	// Similar names give similar high bits in FNV, and the hashes of all members are combined by XOR. These steps of
	// MurmurHash3's finalizer spread the bits.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}
