package resp

import (
	"bufio"
	"strconv"
	"strings"

	"liftshift/internal/netconn"
)

// Limits of a reply: far above what the protocol has.
const (
	maxParts     = 8
	maxBulkBytes = 64 << 10
)

// readLength reads a line of a type byte and a length up to a limit.
func readLength(r *bufio.Reader, kind byte, limit int) (int, error) {
	line, err := netconn.ReadLine(r)
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != kind || line[1] < '0' || line[1] > '9' {
		return 0, netconn.Malformed("%q where a length behind %q is due", netconn.Clip(line), kind)
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n > limit {
		return 0, netconn.Malformed("a length of %q, at most %d", netconn.Clip(line[1:]), limit)
	}
	return n, nil
}

// readArray reads an array of bulk strings into parts, which is reused.
func readArray(r *bufio.Reader, parts [][]byte) ([][]byte, error) {
	n, err := readLength(r, '*', maxParts)
	if err != nil {
		return nil, err
	}
	parts = parts[:0]
	for range n {
		size, err := readLength(r, '$', maxBulkBytes)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		bulk, err := netconn.ReadBody(r, size, nil)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		end, err := netconn.ReadLine(r)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		if len(end) > 0 {
			return nil, netconn.Malformed("%q behind a bulk string", netconn.Clip(end))
		}
		parts = append(parts, bulk)
	}
	return parts, nil
}

// appendArray appends an array of bulk strings.
func appendArray(b []byte, parts ...string) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(parts)), 10), '\r', '\n')
	for _, part := range parts {
		b = append(strconv.AppendInt(append(b, '$'), int64(len(part)), 10), '\r', '\n')
		b = append(append(b, part...), '\r', '\n')
	}
	return b
}

// forEachField calls each for every name and value of a list name=value,name=value. A part without a name belongs to the value before
// it: load reports are lists themselves.
func forEachField(list string, each func(name, value string) error) error {
	if list == "" || list == "-" {
		return nil
	}
	name, value, open := "", "", false
	flush := func() error {
		if !open {
			return nil
		}
		return each(name, value)
	}
	for part := range strings.SplitSeq(list, ",") {
		n, v, ok := strings.Cut(part, "=")
		if !ok {
			if !open {
				return netconn.Malformed("a field without a name: %q", netconn.Clip([]byte(part)))
			}
			value += "," + part
			continue
		}
		if err := flush(); err != nil {
			return err
		}
		name, value, open = n, v, true
	}
	return flush()
}
