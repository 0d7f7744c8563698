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

// The file format. A file is a header followed by records. A log file has its full length from the start, filled with
// zeros, so that a truncated file is detected and a sync has no file length to write. All numbers are little-endian.
//
// Header, 64 bytes:
//
//	8 magic "liftstor"
//	4 format version
//	1 kind of the file
//	1 flags
//	2 zero
//	8 number of the file
//	8 number of the previous log file
//	8 valid bytes of the previous log file
//	8 length of the file
//	8 number of records (snapshots only)
//	4 zero
//	4 CRC-32C of the bytes before
//
// Record:
//
//	4 CRC-32C of the file number, the offset and the bytes that follow
//	4 length of the value
//	1 kind of the record
//	16 key
//	8 expiry time in ms, 0 for never
//	the value
const (
	// Version is the version of the format that this program writes, and the newest that it reads.
	Version = 1
	// MaxValue is the maximum length of a value in bytes.
	MaxValue = 64 << 10

	headerSize       = 64
	recordHeaderSize = 33
	magic            = "liftstor"

	kindLog      = 1
	kindSnapshot = 2
)

// The kinds of records. The bit moreFollows is set on every record of a batch but the last: recovery applies a batch
// only if all of its records are valid.
const (
	putRecord    = 1
	deleteRecord = 2
	moreFollows  = 0x80
)

// flagInDoubt marks a log file that was created after a tail in doubt: records before it may be missing.
const flagInDoubt = 1

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors that callers compare with errors.Is.
var (
	ErrDamaged = errors.New("damaged")
	ErrNewer   = errors.New("written by a newer version")
	ErrInUse   = vfs.ErrInUse
	ErrClosed  = errors.New("the store is closed")
	ErrFull    = errors.New("the store's write queue is full")
	ErrTooLong = errors.New("batch or value too long for the store")
)

// fileHeader is the decoded header of a log file or a snapshot.
type fileHeader struct {
	kind        byte
	inDoubt     bool
	id          uint64
	previous    uint64 // number of the previous log file, 0 if there is none
	previousEnd int64  // valid bytes of the previous log file
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

// decodeHeader decodes a header and checks it against the kind and number in the name of its file.
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

// appendRecord appends a record with a zero checksum. writeChecksum fills it in once the offset of the record is known.
func appendRecord(b []byte, kind byte, key index.Key, expires int64, value []byte) []byte {
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(value)))
	b = append(b, kind)
	b = append(b, key[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(expires))
	return append(b, value...)
}

// writeChecksum stores the checksum of an encoded record. It covers the file number and the offset, so that a record at
// another position, or one left over from an earlier file, is not valid.
func writeChecksum(b []byte, file uint64, offset int64) {
	binary.LittleEndian.PutUint32(b, recordChecksum(b, file, offset))
}

func recordChecksum(b []byte, file uint64, offset int64) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], file)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, b[4:])
}

// record is a decoded record. Its value aliases the buffer that it was decoded from.
type record struct {
	kind    byte
	key     index.Key
	expires int64
	value   []byte
	size    int // encoded length, with the header
}

// isDeletion reports whether the record deletes its key.
func (r record) isDeletion() bool { return r.kind&^moreFollows == deleteRecord }

// endsBatch reports whether the record is the last of its batch.
func (r record) endsBatch() bool { return r.kind&moreFollows == 0 }

// decodeRecord decodes and verifies the record at the start of b, which was read at an offset of a file. It returns
// false if there is no valid record.
func decodeRecord(b []byte, file uint64, offset int64) (r record, ok bool) {
	if len(b) < recordHeaderSize {
		return r, false
	}
	valueSize := binary.LittleEndian.Uint32(b[4:])
	if valueSize > MaxValue || int(valueSize) > len(b)-recordHeaderSize {
		return r, false
	}
	b = b[:recordHeaderSize+int(valueSize)]
	if binary.LittleEndian.Uint32(b) != recordChecksum(b, file, offset) {
		return r, false
	}
	r = parseRecord(b)
	kind := r.kind &^ moreFollows
	return r, kind == putRecord || kind == deleteRecord
}

// parseRecord decodes the fields of a complete record without verifying its checksum.
func parseRecord(b []byte) record {
	r := record{
		kind: b[8], expires: int64(binary.LittleEndian.Uint64(b[25:])), value: b[recordHeaderSize:], size: len(b),
	}
	copy(r.key[:], b[9:25])
	return r
}

const (
	logSuffix        = ".log"
	snapshotSuffix   = ".snap"
	temporarySuffix  = ".new"   // a file that is being written and not yet part of the store
	quarantineSuffix = ".aside" // a file that a repair took out of the store
	lockName         = "lock"
)

func fileName(id uint64, suffix string) string { return fmt.Sprintf("%016x%s", id, suffix) }

// parseFileName returns the file number in a name with the given suffix.
func parseFileName(name, suffix string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}

// location is the position of a record on disk.
type location struct {
	file   uint32 // number of the log file, or snapshotID of the snapshot
	offset uint32
	size   uint32
}

// snapshotBit distinguishes a snapshot from the log file with the same number in location.file.
const snapshotBit = 1 << 31

// snapshotID returns the file number that locations and record checksums use for a snapshot.
func snapshotID(id uint64) uint32 { return uint32(id) | snapshotBit }

// isLogFrom reports whether a file, as in location.file, is the log file with number id or a later one.
func isLogFrom(file uint32, id uint64) bool { return file&snapshotBit == 0 && uint64(file) >= id }

// fileNameOf returns the name of a file, as in location.file.
func fileNameOf(file uint32) string {
	if file&snapshotBit != 0 {
		return fileName(uint64(file&^snapshotBit), snapshotSuffix)
	}
	return fileName(uint64(file), logSuffix)
}
