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

// The format. A file is a header and records behind it. A log file has its full length from the start, filled with zeros: so an end
// that was cut off shows, and a sync has no length to write. All numbers are little-endian.
//
// header: 8 bytes "liftstor", 4 format version, 1 kind, 1 flags, 2 zero, 8 number of the file, 8 number of the previous log file,
// 8 valid bytes of that one, 8 length of the file, 8 records (snapshots), 4 zero, 4 CRC-32C of all this
//
// record: 4 CRC-32C over file number, offset and what follows; 4 length of the value, 1 kind, 16 key, 8 time at which it expires
// in ms (0: never), the value
const (
	// Version is the version of the format that this program writes, and the newest that it reads.
	Version = 1
	// MaxValue is the length in bytes of the longest value.
	MaxValue = 64 << 10

	headerSize       = 64
	recordHeaderSize = 33
	magic            = "liftstor"

	kindLog      = 1
	kindSnapshot = 2
)

// The kinds of records. A record that more of its batch follow has the bit moreFollows: a batch is valid whole or not at all.
const (
	putRecord    = 1
	deleteRecord = 2
	moreFollows  = 0x80
)

// flagInDoubt is the flag of a log file before which something may have been lost.
const flagInDoubt = 1

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

// fileHeader is the header of a file.
type fileHeader struct {
	kind        byte
	inDoubt     bool
	id          uint64
	previous    uint64 // the previous log file, 0: none
	previousEnd int64  // its valid bytes
	length      int64  // of this file
	records     uint64 // in a snapshot
}

func (h fileHeader) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	flags := byte(0)
	if h.inDoubt {
		flags = flagInDoubt
	}
	b = append(b, h.kind, flags, 0, 0)
	for _, n := range []uint64{h.id, h.previous, uint64(h.previousEnd), uint64(h.length), h.records} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader reads a header and checks it against the kind and number that the name of the file gives.
func decodeHeader(b []byte, kind byte, id uint64) (h fileHeader, err error) {
	if len(b) < headerSize {
		return h, fmt.Errorf("%w: a file of %d bytes has no header", ErrDamaged, len(b))
	}
	b = b[:headerSize]
	if binary.LittleEndian.Uint32(b[headerSize-4:]) != crc32.Checksum(b[:headerSize-4], castagnoli) {
		return h, fmt.Errorf("%w: the checksum of the header is wrong", ErrDamaged)
	}
	if string(b[:8]) != magic {
		return h, fmt.Errorf("%w: not a file of a store", ErrDamaged)
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v > Version {
		return h, fmt.Errorf("%w: format %d, this program knows up to %d", ErrNewer, v, Version)
	}
	number := func(offset int) uint64 { return binary.LittleEndian.Uint64(b[offset:]) }
	h = fileHeader{
		kind:        b[12],
		inDoubt:     b[13]&flagInDoubt != 0,
		id:          number(16),
		previous:    number(24),
		previousEnd: int64(number(32)),
		length:      int64(number(40)),
		records:     number(48),
	}
	if h.kind != kind || h.id != id {
		return h, fmt.Errorf("%w: the header of another file", ErrDamaged)
	}
	return h, nil
}

// appendRecord appends a record without its checksum, which sealRecord adds when the record's offset is known.
func appendRecord(b []byte, kind byte, key index.Key, expires int64, value []byte) []byte {
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(value)))
	b = append(b, kind)
	b = append(b, key[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(expires))
	return append(b, value...)
}

// sealRecord writes the checksum of a record for its file and offset, so that one which was moved, or left from before, is not valid.
func sealRecord(b []byte, file uint64, offset int64) {
	binary.LittleEndian.PutUint32(b, recordChecksum(b, file, offset))
}

func recordChecksum(b []byte, file uint64, offset int64) uint32 {
	var where [16]byte
	binary.LittleEndian.PutUint64(where[:], file)
	binary.LittleEndian.PutUint64(where[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(where[:], castagnoli), castagnoli, b[4:])
}

// record is one record as read. Its value points into the bytes that it was read from.
type record struct {
	kind    byte
	key     index.Key
	expires int64
	value   []byte
	size    int
}

// deletes tells whether the record ends the one before it under its key.
func (r record) deletes() bool { return r.kind&^moreFollows == deleteRecord }

// endsBatch tells whether the record is the last of its batch.
func (r record) endsBatch() bool { return r.kind&moreFollows == 0 }

// decodeRecord reads the record at an offset of a file, from the bytes that begin there; false if there is no valid one.
func decodeRecord(b []byte, file uint64, offset int64) (r record, ok bool) {
	if len(b) < recordHeaderSize {
		return r, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n > MaxValue || int(n) > len(b)-recordHeaderSize {
		return r, false
	}
	b = b[:recordHeaderSize+int(n)]
	if binary.LittleEndian.Uint32(b) != recordChecksum(b, file, offset) {
		return r, false
	}
	r = parseRecord(b)
	kind := r.kind &^ moreFollows
	return r, kind == putRecord || kind == deleteRecord
}

// parseRecord takes a whole, valid record apart.
func parseRecord(b []byte) record {
	r := record{kind: b[8], expires: int64(binary.LittleEndian.Uint64(b[25:])), value: b[recordHeaderSize:], size: len(b)}
	copy(r.key[:], b[9:25])
	return r
}

const (
	logSuffix        = ".log"
	snapshotSuffix   = ".snap"
	temporarySuffix  = ".new"   // being written; not yet part of the store
	quarantineSuffix = ".aside" // taken out of the store by a repair
	lockName         = "lock"
)

func fileName(id uint64, suffix string) string { return fmt.Sprintf("%016x%s", id, suffix) }

// parseFileName returns the number in the name of a file.
func parseFileName(name, suffix string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}

// location is where a record stands.
type location struct {
	file   uint32 // number of the file; snapshotBit is set for a snapshot
	offset uint32
	size   uint32
}

const snapshotBit = 1 << 31

// snapshotID returns the number under which the records of a snapshot are sealed and found.
func snapshotID(id uint64) uint32 { return uint32(id) | snapshotBit }

// isLogFrom tells whether a file is the log file of a number, or a later one.
func isLogFrom(file uint32, id uint64) bool { return file&snapshotBit == 0 && uint64(file) >= id }

// fileNameOf returns the name of the file in a location.
func fileNameOf(file uint32) string {
	if file&snapshotBit != 0 {
		return fileName(uint64(file&^snapshotBit), snapshotSuffix)
	}
	return fileName(uint64(file), logSuffix)
}
