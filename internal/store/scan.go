package store

import (
	"errors"
	"io"
)

const (
	scanBytes    = 256 << 10      // read at once
	maxScanBytes = 64 * scanBytes // past which no batch is looked for
)

// extent is where a record stands in a buffer.
type extent struct{ offset, size int64 }

// scanRecords hands on the valid records of a file up to an offset, batch by batch, and returns where the last whole batch ends.
func scanRecords(f io.ReaderAt, file uint64, end int64, each func(record, location)) (valid int64, records int, err error) {
	buf := make([]byte, min(scanBytes, max(0, end-headerSize)))
	valid = headerSize
	for from := int64(headerSize); from < end; {
		b := buf[:min(int64(len(buf)), end-from)]
		if err := readFull(f, b, from); err != nil {
			return valid, records, err
		}
		whole, n := scanBuffer(b, file, from, each)
		records += n
		valid = from + whole
		more := from+int64(len(b)) < end
		switch {
		case whole > 0 && more:
			from += whole
		case whole == 0 && more && !allZero(b) && len(buf) < maxScanBytes:
			buf = make([]byte, 4*len(buf)) // a batch longer than what was read, or the end
		default:
			return valid, records, nil
		}
	}
	return valid, records, nil
}

// scanBuffer hands on the records of the whole batches in a buffer, read at an offset of a file. It returns the bytes and the number
// of those records.
func scanBuffer(b []byte, file uint64, from int64, each func(record, location)) (whole int64, records int) {
	var batch []extent
	for used := int64(0); ; {
		r, ok := decodeRecord(b[used:], file, from+used)
		if !ok {
			return whole, records
		}
		batch = append(batch, extent{used, int64(r.size)})
		used += int64(r.size)
		if !r.endsBatch() {
			continue
		}
		for _, e := range batch {
			each(parseRecord(b[e.offset:e.offset+e.size]), location{uint32(file), uint32(from + e.offset), uint32(e.size)})
		}
		records += len(batch)
		batch = batch[:0]
		whole = used
	}
}

// readFull fills b from an offset of a file. A file that ends with b is no error.
func readFull(f io.ReaderAt, b []byte, offset int64) error {
	n, err := f.ReadAt(b, offset)
	if errors.Is(err, io.EOF) && n == len(b) {
		return nil
	}
	return err
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// onlyZeros tells whether a file has nothing but zeros between two offsets.
func onlyZeros(f io.ReaderAt, from, to int64) (bool, error) {
	buf := make([]byte, scanBytes)
	for from < to {
		b := buf[:min(int64(len(buf)), to-from)]
		if err := readFull(f, b, from); err != nil {
			return false, err
		}
		if !allZero(b) {
			return false, nil
		}
		from += int64(len(b))
	}
	return true, nil
}
