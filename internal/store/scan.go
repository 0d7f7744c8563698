package store

import (
	"errors"
	"io"
)

const (
	scanBytes    = 256 << 10      // initial size of the read buffer
	maxScanBytes = 64 * scanBytes // the buffer does not grow further to find the end of a batch
)

// extent is the position of a record in a buffer.
type extent struct{ offset, size int64 }

// scanRecords passes the valid records of a file up to an offset to visit, batch by batch. It returns the offset at
// which the last complete batch ends and the number of records before it.
func scanRecords(
	file io.ReaderAt, id uint64, end int64, visit func(record, location),
) (valid int64, records int, err error) {
	buffer := make([]byte, min(scanBytes, max(0, end-headerSize)))
	valid = headerSize
	for start := int64(headerSize); start < end; {
		data := buffer[:min(int64(len(buffer)), end-start)]
		if err := readFull(file, data, start); err != nil {
			return valid, records, err
		}
		complete, count := scanBuffer(data, id, start, visit)
		records += count
		valid = start + complete
		more := start+int64(len(data)) < end
		switch {
		case complete > 0 && more:
			start += complete
		case complete == 0 && more && !allZero(data) && len(buffer) < maxScanBytes:
			buffer = make([]byte, 4*len(buffer)) // the batch may be longer than the buffer
		default:
			return valid, records, nil
		}
	}
	return valid, records, nil
}

// scanBuffer passes the records of the complete batches in data, which begins at an offset of a file, to visit. It
// returns the length of these batches and the number of their records.
func scanBuffer(data []byte, id uint64, start int64, visit func(record, location)) (complete int64, records int) {
	var batch []extent
	for used := int64(0); ; {
		r, ok := decodeRecord(data[used:], id, start+used)
		if !ok {
			return complete, records
		}
		batch = append(batch, extent{used, int64(r.size)})
		used += int64(r.size)
		if !r.endsBatch() {
			continue
		}
		for _, e := range batch {
			visit(parseRecord(data[e.offset:e.offset+e.size]), location{uint32(id), uint32(start + e.offset), uint32(e.size)})
		}
		records += len(batch)
		batch = batch[:0]
		complete = used
	}
}

// readFull fills b from an offset of a file. It is not an error if the file ends exactly where b does.
func readFull(file io.ReaderAt, b []byte, offset int64) error {
	n, err := file.ReadAt(b, offset)
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

// onlyZeros reports whether all bytes of a file in [start, end) are zero.
func onlyZeros(file io.ReaderAt, start, end int64) (bool, error) {
	buffer := make([]byte, scanBytes)
	for start < end {
		data := buffer[:min(int64(len(buffer)), end-start)]
		if err := readFull(file, data, start); err != nil {
			return false, err
		}
		if !allZero(data) {
			return false, nil
		}
		start += int64(len(data))
	}
	return true, nil
}
