package membership

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

// What goes over the wire. A datagram is at most mostDatagram bytes:
//
//	"LF" major minor  fleet  kind  number  target  life  hash  own record  records...
//
// Texts are a byte of length and their bytes, numbers are uvarints, the hash is 8 bytes. A record is its length as a uvarint and
// its fields; what stands behind the fields that are known here is of a later minor version and skipped.
const (
	major        = 1
	minor        = 0
	mostDatagram = 1200
	mostText     = 64
	mostRecord   = 400
)

// messageKind is what a message is for.
type messageKind uint8

// Message kinds. Their numbers go over the wire: they stay.
const (
	ping     messageKind = 1
	ack      messageKind = 2
	request  messageKind = 3 // ask a third one for us
	nack     messageKind = 4 // the third one did not answer so far; but I do
	gossip   messageKind = 5
	digest   messageKind = 6 // the first part of an exchange
	same     messageKind = 7 // the views are equal
	full     messageKind = 8
	lastKind messageKind = 9 // the first number that is free
)

var (
	errForeign   = errors.New("of another fleet, or no message of a fleet")
	errNewer     = errors.New("of a later version")
	errMalformed = errors.New("malformed")
)

// message is what one member says to another.
type message struct {
	kind   messageKind
	number uint64
	target string // name of who is meant; its address in a request
	life   uint64
	hash   uint64
	own    Member
	news   []Member
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), mostText)]
	return append(append(b, byte(len(s))), s...)
}

// header is all but the news.
func (v *View) header(m *message) []byte {
	b := append(make([]byte, 0, 256), 'L', 'F', major, minor)
	b = appendText(b, v.fleet)
	b = binary.AppendUvarint(append(b, byte(m.kind)), m.number)
	b = binary.AppendUvarint(appendText(b, m.target), m.life)
	b = binary.BigEndian.AppendUint64(b, v.hash)
	return appendRecord(b, &v.self.Member)
}

// appendRecord writes a record; its length is one byte, or two.
func appendRecord(b []byte, m *Member) []byte {
	var room [mostRecord]byte
	r := appendText(room[:0], m.Name)
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

// reader takes a message apart. After an error it gives nothing more.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.b) {
		r.err = errMalformed
		return nil
	}
	head := r.b[:n]
	r.b = r.b[n:]
	return head
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.err = errMalformed
		return 0
	}
	r.take(size)
	return n
}

func (r *reader) text() string {
	n := int(r.byte())
	if n > mostText {
		r.err = errMalformed
	}
	return string(r.take(n))
}

func (r *reader) record() (m Member) {
	n := r.number()
	if n > mostRecord {
		r.err = errMalformed
	}
	in := reader{b: r.take(int(min(n, mostRecord))), err: r.err}
	m.Name, m.Incarnation, m.Refutation = in.text(), in.number(), in.number()
	m.State, m.Flags = State(in.byte()), Flags(in.byte())
	m.Version = uint32(in.number())
	m.Address, m.Zone, m.Region, m.AccusedBy = in.text(), in.text(), in.text(), in.text()
	if r.err = in.err; r.err == nil && (m.Name == "" || m.Address == "" || m.State == Unknown || m.State >= anyPhase) {
		r.err = errMalformed
	}
	return m
}

// parse reads a message of this fleet. It is believed whole or not at all.
func parse(fleet string, data []byte) (m message, err error) {
	r := reader{b: data}
	if head := r.take(4); r.err != nil || head[0] != 'L' || head[1] != 'F' {
		return m, errForeign
	} else if head[2] != major {
		return m, errNewer
	}
	if r.text() != fleet || r.err != nil {
		return m, errForeign
	}
	m.kind = messageKind(r.byte())
	m.number, m.target, m.life = r.number(), r.text(), r.number()
	if h := r.take(8); h != nil {
		m.hash = binary.BigEndian.Uint64(h)
	}
	m.own = r.record()
	for r.err == nil && len(r.b) > 0 {
		m.news = append(m.news, r.record())
	}
	if r.err != nil {
		return message{}, r.err
	}
	if m.kind == 0 || m.kind >= lastKind {
		return message{}, errNewer // a kind that a later minor version knows
	}
	return m, nil
}

// hashOf is what a member adds to the hash of a view.
func hashOf(m *Member) uint64 {
	h := fnv.New64a()
	var b [18]byte
	binary.BigEndian.PutUint64(b[:], m.Incarnation)
	binary.BigEndian.PutUint64(b[8:], m.Refutation)
	b[16], b[17] = byte(m.State), byte(m.Flags)
	_, _ = h.Write([]byte(m.Name))
	_, _ = h.Write(b[:])
	x := h.Sum64() // FNV's high bits are near for near texts: mixed once more, as hashes are joined by exclusive or
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
