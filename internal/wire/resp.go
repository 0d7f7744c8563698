package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errMalformed marks bytes that don't keep to a protocol: what follows them can't be trusted.
var errMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// Limits of an executor's answer: far above what the protocol has.
const (
	mostParts = 8
	mostBulk  = 64 << 10
)

// readLine reads a line that ends with CR LF or LF; one longer than the reader's buffer is malformed.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("a line of over %d bytes", len(line))
	}
	if err != nil {
		if len(line) > 0 && err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// readCount reads a line of a mark and a length up to most.
func readCount(r *bufio.Reader, mark byte, most int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != mark || line[1] < '0' || line[1] > '9' {
		return 0, malformed("%q where a length behind %q is due", clip(line), mark)
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n > most {
		return 0, malformed("a length of %q, at most %d", clip(line[1:]), most)
	}
	return n, nil
}

func clip(b []byte) []byte { return b[:min(len(b), 40)] }

// readArray reads an array of bulk strings into parts.
func readArray(r *bufio.Reader, parts [][]byte) ([][]byte, error) {
	n, err := readCount(r, '*', mostParts)
	if err != nil {
		return nil, err
	}
	parts = parts[:0]
	for range n {
		size, err := readCount(r, '$', mostBulk)
		if err != nil {
			return nil, broken(err)
		}
		bulk, err := readBody(r, size, nil)
		if err != nil {
			return nil, broken(err)
		}
		end, err := readLine(r)
		if err != nil {
			return nil, broken(err)
		}
		if len(end) > 0 {
			return nil, malformed("%q behind a bulk string", clip(end))
		}
		parts = append(parts, bulk)
	}
	return parts, nil
}

// broken makes an end within a message an unexpected one.
func broken(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendArray writes an array of bulk strings.
func appendArray(b []byte, parts ...string) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(parts)), 10), '\r', '\n')
	for _, part := range parts {
		b = append(strconv.AppendInt(append(b, '$'), int64(len(part)), 10), '\r', '\n')
		b = append(append(b, part...), '\r', '\n')
	}
	return b
}

// fields calls each for every name and value of a list name=value,name=value. A part without a name belongs
// to the value before it: load reports are lists themselves.
func fields(list string, each func(name, value string) error) error {
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
				return malformed("a field without a name: %q", clip([]byte(part)))
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
