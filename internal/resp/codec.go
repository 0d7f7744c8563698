package resp

import (
	"bufio"
	"strconv"
	"strings"

	"liftshift/internal/netconn"
)

// Limits of a reply, well above what executors send.
const (
	maxParts     = 8
	maxBulkBytes = 64 << 10
)

// readLength reads a line that consists of a type byte and a length of at most limit.
func readLength(r *bufio.Reader, typeByte byte, limit int) (int, error) {
	line, err := netconn.ReadLine(r)
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != typeByte || line[1] < '0' || line[1] > '9' {
		return 0, netconn.Malformed("got line %q, want %q and a length", netconn.Clip(line), typeByte)
	}
	length, err := strconv.Atoi(string(line[1:]))
	if err != nil || length > limit {
		return 0, netconn.Malformed("length %q is not a number or exceeds %d", netconn.Clip(line[1:]), limit)
	}
	return length, nil
}

// readArray reads an array of bulk strings. The result reuses the memory of parts.
func readArray(r *bufio.Reader, parts [][]byte) ([][]byte, error) {
	count, err := readLength(r, '*', maxParts)
	if err != nil {
		return nil, err
	}
	parts = parts[:0]
	for range count {
		size, err := readLength(r, '$', maxBulkBytes)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		bulk, err := netconn.ReadBody(r, size, nil)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		rest, err := netconn.ReadLine(r)
		if err != nil {
			return nil, netconn.UnexpectedEOF(err)
		}
		if len(rest) > 0 {
			return nil, netconn.Malformed("got %q after a bulk string, want a line end", netconn.Clip(rest))
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

// forEachField calls visit for each field of a list name=value,name=value. A part without a name continues the value of
// the field before it, because a load report is a comma-separated list itself.
func forEachField(list string, visit func(name, value string) error) error {
	if list == "" || list == "-" {
		return nil
	}
	name, value, hasField := "", "", false
	flush := func() error {
		if !hasField {
			return nil
		}
		return visit(name, value)
	}
	for part := range strings.SplitSeq(list, ",") {
		nextName, nextValue, named := strings.Cut(part, "=")
		if !named {
			if !hasField {
				return netconn.Malformed("the first field has no name: %q", netconn.Clip([]byte(part)))
			}
			value += "," + part
			continue
		}
		if err := flush(); err != nil {
			return err
		}
		name, value, hasField = nextName, nextValue, true
	}
	return flush()
}
