package discovery

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"liftshift/internal/netconn"
)

// Limits of an HTTP response.
const (
	maxHeaders   = 64
	maxBodyBytes = 4 << 20
)

// response is an HTTP response.
type response struct {
	status           int
	body             []byte
	closesConnection bool // the connection serves no further call
}

// header is what the head of a response tells about its body.
type header struct {
	status           int
	length           int // -1: not told
	chunked          bool
	closesConnection bool
}

// readResponse reads an HTTP/1.1 response with a length, in chunks, or to the end of the connection.
func readResponse(r *bufio.Reader) (response, error) {
	h, err := readHeader(r)
	if err != nil {
		return response{}, err
	}
	a := response{status: h.status, closesConnection: h.closesConnection}
	switch {
	case h.chunked:
		a.body, err = readChunks(r)
	case h.length >= 0:
		a.body, err = netconn.ReadBody(r, h.length, nil)
	default:
		a.closesConnection = true
		a.body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
		if err == nil && len(a.body) > maxBodyBytes {
			err = netconn.Malformed("a body of over %d bytes", maxBodyBytes)
		}
	}
	return a, netconn.UnexpectedEOF(err)
}

// readHeader reads the status line and the header fields.
func readHeader(r *bufio.Reader) (h header, err error) {
	line, err := netconn.ReadLine(r)
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	h.status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 || h.status < 100 {
		return h, netconn.Malformed("status line %q", netconn.Clip(line))
	}
	h.closesConnection = version == "HTTP/1.0"
	h.length = -1
	for n := 0; ; n++ {
		line, err = netconn.ReadLine(r)
		if err != nil {
			return h, netconn.UnexpectedEOF(err)
		}
		if len(line) == 0 {
			return h, nil
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || name == "" || n == maxHeaders {
			return h, netconn.Malformed("head %q", netconn.Clip(line))
		}
		if err := h.field(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return h, err
		}
	}
}

// field takes over a header field.
func (h *header) field(name, value string) (err error) {
	switch name {
	case "content-length":
		h.length, err = strconv.Atoi(value)
		if err != nil || h.length < 0 || h.length > maxBodyBytes {
			return netconn.Malformed("length %q", netconn.Clip([]byte(value)))
		}
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
		if !h.chunked {
			return netconn.Malformed("encoding %q", netconn.Clip([]byte(value)))
		}
	case "connection":
		keepAlive := strings.EqualFold(value, "keep-alive")
		h.closesConnection = h.closesConnection && !keepAlive || strings.EqualFold(value, "close")
	}
	return nil
}

// readChunks reads a chunked body with its trailers.
func readChunks(r *bufio.Reader) (body []byte, err error) {
	for {
		line, err := netconn.ReadLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, netconn.Malformed("chunk of %q", netconn.Clip(line))
		}
		if n == 0 {
			break
		}
		chunk, err := netconn.ReadBody(r, int(n), nil)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if line, err = netconn.ReadLine(r); err != nil {
			return nil, err
		}
		if len(line) > 0 {
			return nil, netconn.Malformed("%q behind a chunk", netconn.Clip(line))
		}
	}
	for n := 0; ; n++ { // trailers
		line, err := netconn.ReadLine(r)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
		if n == maxHeaders {
			return nil, netconn.Malformed("trailers without end")
		}
	}
}
