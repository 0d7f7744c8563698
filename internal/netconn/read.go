package netconn

import (
	"bufio"
	"errors"
	"io"
)

// ReadLine reads a line that ends with CR LF or LF; one longer than the reader's buffer is malformed.
func ReadLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, Malformed("a line of over %d bytes", len(line))
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

// ReadBody reads n bytes into buffer, as far as that goes. It grows the buffer as bytes come, so that a claimed length alone takes no
// memory.
func ReadBody(r io.Reader, n int, buffer []byte) ([]byte, error) {
	const firstBytes = 4 << 10
	body := buffer[:0]
	if cap(buffer) == 0 {
		body = make([]byte, 0, min(n, firstBytes))
	}
	for len(body) < n {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(n, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		m, err := io.ReadFull(r, body[len(body):min(n, cap(body))])
		body = body[:len(body)+m]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Clip returns the first bytes of b, for an error message.
func Clip(b []byte) []byte { return b[:min(len(b), 40)] }
