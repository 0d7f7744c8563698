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

// readHeader reads the header of a message and returns the length of its body. An error that wraps netconn.ErrMalformed
// means that the framing is lost: nothing more can be read from the connection.
func readHeader(r *bufio.Reader) (length int, err error) {
	length = -1
	for lineCount := 0; ; lineCount++ {
		line, err := netconn.ReadLine(r)
		if err != nil {
			if lineCount > 0 {
				err = netconn.UnexpectedEOF(err)
			}
			return 0, err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || lineCount == maxHeaderLines {
			return 0, netconn.Malformed(`header line %q: want at most %d lines "name: value"`,
				netconn.Clip(line), maxHeaderLines)
		}
		if !strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
			continue
		}
		value = strings.TrimSpace(value)
		parsed, err := strconv.ParseUint(value, 10, 31)
		if err != nil || parsed > maxMessageBytes || length >= 0 {
			return 0, netconn.Malformed("Content-Length %q: want a single number up to %d",
				netconn.Clip([]byte(value)), maxMessageBytes)
		}
		length = int(parsed)
	}
	if length < 0 {
		return 0, netconn.Malformed("header without Content-Length")
	}
	return length, nil
}

// appendMessage appends a message: a Content-Length header and the body that appendBody appends.
func appendMessage(b []byte, appendBody func([]byte) []byte) []byte {
	const maxDigits = 7 // space for the length; the body is moved up by the digits that the length does not need
	b = append(b, "Content-Length: "...)
	lengthPos := len(b)
	b = append(b, "0000000\r\n\r\n"...)
	start := len(b)
	b = appendBody(b)
	var digits [maxDigits]byte
	length := strconv.AppendInt(digits[:0], int64(len(b)-start), 10)
	spare := maxDigits - len(length)
	copy(b[lengthPos:], length)
	copy(b[lengthPos+len(length):], b[lengthPos+maxDigits:])
	return b[:len(b)-spare]
}
