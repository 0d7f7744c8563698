package jsonrpc

import (
	"bufio"
	"strconv"
	"strings"

	"liftshift/internal/netconn"
)

// Limits of a message.
const (
	maxHeaderLines  = 16
	maxMessageBytes = 64 << 10
)

// readMessage reads the header and the body of a message, the body into buffer if that is large enough. An ErrMalformed means that
// framing is lost.
func readMessage(r *bufio.Reader, buffer []byte) ([]byte, error) {
	length := -1
	for n := 0; ; n++ {
		line, err := netconn.ReadLine(r)
		if err != nil {
			if n > 0 {
				err = netconn.UnexpectedEOF(err)
			}
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || n == maxHeaderLines {
			return nil, netconn.Malformed("head %q", netconn.Clip(line))
		}
		if !strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
			continue
		}
		value = strings.TrimSpace(value)
		m, err := strconv.ParseUint(value, 10, 31)
		if err != nil || m > maxMessageBytes || length >= 0 {
			return nil, netconn.Malformed("length %q", netconn.Clip([]byte(value)))
		}
		length = int(m)
	}
	if length < 0 {
		return nil, netconn.Malformed("a head without a length")
	}
	body, err := netconn.ReadBody(r, length, buffer)
	return body, netconn.UnexpectedEOF(err)
}

// appendMessage appends a message of a header and a body, which write appends.
func appendMessage(b []byte, write func([]byte) []byte) []byte {
	const maxDigits = 7 // of a length; the body is moved up to the digits that it takes
	b = append(b, "Content-Length: "...)
	at := len(b)
	b = append(b, "0000000\r\n\r\n"...)
	start := len(b)
	b = write(b)
	var digits [maxDigits]byte
	length := strconv.AppendInt(digits[:0], int64(len(b)-start), 10)
	spare := maxDigits - len(length)
	copy(b[at:], length)
	copy(b[at+len(length):], b[at+maxDigits:])
	return b[:len(b)-spare]
}
