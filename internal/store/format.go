package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"liftshift/internal/index"
	"liftshift/internal/vfs"
)

// The format. A file is a head and records behind it. A log file has its full length from the start, filled with
// zeros: so an end that was cut off shows, and a sync has no length to write. All numbers are little-endian.
//
// head:   8 bytes "liftstor", 4 format version, 1 kind, 1 flags, 2 zero, 8 number of the file, 8 number of the log file
// before, 8 bytes of that which count, 8 length of the file, 8 records (snapshots), 4 zero, 4 CRC-32C of all this
// record: 4 CRC-32C over file number, place and what follows; 4 length of the value, 1 kind, 16 key, 8 time at which
// it goes in ms (0: never), the value
const (
	Version    = 1
	headSize   = 64
	recordHead = 33
	magic      = "liftstor"

	logFile      = 1
	snapshotFile = 2

	// MaxValue is the longest value: far above what is kept of a search, and far below a segment.
	MaxValue = 64 << 10
)

// Kinds of records. A record that more of its batch follow has the bit more: they count together or not at all.
const (
	putRecord    = 1
	deleteRecord = 2
	more         = 0x80
)

// doubtful is the flag of a log file behind which something may have been lost.
const doubtful = 1

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors that users of a store tell apart.
var (
	ErrDamaged = errors.New("damaged")
	ErrNewer   = errors.New("written by a newer version")
	ErrInUse   = vfs.ErrInUse
	ErrClosed  = errors.New("the store is closed")
	ErrFull    = errors.New("too much waits to be written")
	ErrTooLong = errors.New("too long for the store")
)

// head is the head of a file.
type head struct {
	kind    byte
	doubt   bool
	id      uint64
	before  uint64 // the log file before, 0: none
	trusted int64  // its bytes that count
	length  int64  // of this file
	records uint64 // in a snapshot
}

func (h head) bytes() []byte {
	b := make([]byte, 0, headSize)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	flags := byte(0)
	if h.doubt {
		flags = doubtful
	}
	b = append(b, h.kind, flags, 0, 0)
	for _, n := range []uint64{h.id, h.before, uint64(h.trusted), uint64(h.length), h.records} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readHead reads a head and checks it against the name of its file.
func readHead(b []byte, kind byte, id uint64) (h head, err error) {
	if len(b) < headSize {
		return h, fmt.Errorf("%w: a file of %d bytes has no head", ErrDamaged, len(b))
	}
	b = b[:headSize]
	if binary.LittleEndian.Uint32(b[headSize-4:]) != crc32.Checksum(b[:headSize-4], castagnoli) {
		return h, fmt.Errorf("%w: the head's checksum is wrong", ErrDamaged)
	}
	if string(b[:8]) != magic {
		return h, fmt.Errorf("%w: no file of a store", ErrDamaged)
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v > Version {
		return h, fmt.Errorf("%w: format %d, this program knows up to %d", ErrNewer, v, Version)
	}
	at := func(n int) uint64 { return binary.LittleEndian.Uint64(b[n:]) }
	h = head{kind: b[12], doubt: b[13]&doubtful != 0, id: at(16), before: at(24), trusted: int64(at(32)), length: int64(at(40)),
		records: at(48)}
	if h.kind != kind || h.id != id {
		return h, fmt.Errorf("%w: a head of another file", ErrDamaged)
	}
	return h, nil
}

// appendRecord writes a record whose checksum is still to come, when its place is known.
func appendRecord(b []byte, kind byte, key index.Key, expires int64, value []byte) []byte {
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(value)))
	b = append(b, kind)
	b = append(b, key[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(expires))
	return append(b, value...)
}

// seal writes the checksum of a record for its place: one that was moved, or left from before, is not taken for good.
func seal(record []byte, file uint64, at int64) {
	binary.LittleEndian.PutUint32(record, checksum(record, file, at))
}

func checksum(record []byte, file uint64, at int64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], file)
	binary.LittleEndian.PutUint64(place[8:], uint64(at))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, record[4:])
}

// record is one record as read.
type record struct {
	kind    byte
	key     index.Key
	expires int64
	value   []byte
	size    int
}

// recordAt reads the record that stands at a place of a file, from the bytes that begin there; false if there is no good
// one.
func recordAt(b []byte, file uint64, at int64) (r record, ok bool) {
	if len(b) < recordHead {
		return r, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > MaxValue || int(n) > len(b)-recordHead {
		return r, false
	}
	b = b[:recordHead+int(n)]
	if binary.LittleEndian.Uint32(b) != checksum(b, file, at) {
		return r, false
	}
	r = parse(b)
	kind := r.kind &^ more
	return r, kind == putRecord || kind == deleteRecord
}

// parse takes a whole record apart.
func parse(b []byte) record {
	r := record{kind: b[8], expires: int64(binary.LittleEndian.Uint64(b[25:])), value: b[recordHead:], size: len(b)}
	copy(r.key[:], b[9:25])
	return r
}

const (
	logEnding      = ".log"
	snapshotEnding = ".snap"
	newEnding      = ".new" // being written; not yet part of the store
	lockName       = "lock"
)

func fileName(id uint64, ending string) string { return fmt.Sprintf("%016x%s", id, ending) }

// parseName gives the number that is in a file's name.
func parseName(name, ending string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, ending)
	if !ok || len(text) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}
