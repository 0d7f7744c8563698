package netconn

import (
	"bufio"
	"errors"
	"io"
)

// maxClipBytes limits the excerpts of input in error messages.
const maxClipBytes = 40

// ReadLine reads a line that ends with CR LF or LF and returns it without its end, valid until the next read. A line
// longer than the reader's buffer is malformed.
func ReadLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, Malformed("line longer than %d bytes", len(line))
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

// ReadBody reads n bytes and returns them in buffer or, if that is too small, in a new one. The new buffer grows as
// bytes arrive, so that a large announced length alone allocates no memory.
func ReadBody(r io.Reader, n int, buffer []byte) ([]byte, error) {
	const initialBytes = 4 << 10
	body := buffer[:0]
	if cap(buffer) == 0 {
		body = make([]byte, 0, min(n, initialBytes))
	}
	for len(body) < n {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(n, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		added, err := io.ReadFull(r, body[len(body):min(n, cap(body))])
		body = body[:len(body)+added]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Clip returns the first bytes of b, short enough for an error message.
func Clip(b []byte) []byte { return b[:min(len(b), maxClipBytes)] }
