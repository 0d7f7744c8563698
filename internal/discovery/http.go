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
	maxHeaderFields = 64
	maxBodyBytes    = 4 << 20
)

// httpResponse is an HTTP response without its header.
type httpResponse struct {
	status           int
	body             []byte
	closesConnection bool // no further request can be sent over the connection
}

// responseHeader holds the status line and those header fields that determine how the body is read.
type responseHeader struct {
	status           int
	contentLength    int // -1 if there is no such field
	chunked          bool
	closesConnection bool
}

// readResponse reads an HTTP/1.x response. Its body has a content length, is chunked, or ends with the connection.
func readResponse(reader *bufio.Reader) (httpResponse, error) {
	header, err := readHeader(reader)
	if err != nil {
		return httpResponse{}, err
	}
	response := httpResponse{status: header.status, closesConnection: header.closesConnection}
	switch {
	case header.chunked:
		response.body, err = readChunks(reader)
	case header.contentLength >= 0:
		response.body, err = netconn.ReadBody(reader, header.contentLength, nil)
	default:
		response.closesConnection = true
		response.body, err = io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
		if err == nil && len(response.body) > maxBodyBytes {
			err = netconn.Malformed("response body longer than %d bytes", maxBodyBytes)
		}
	}
	return response, netconn.UnexpectedEOF(err)
}

// readHeader reads the status line and the header fields.
func readHeader(reader *bufio.Reader) (header responseHeader, err error) {
	line, err := netconn.ReadLine(reader)
	if err != nil {
		return header, err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	header.status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 || header.status < 100 {
		return header, netconn.Malformed("status line %q of a response", netconn.Clip(line))
	}
	header.closesConnection = version == "HTTP/1.0"
	header.contentLength = -1
	for n := 0; ; n++ {
		line, err = netconn.ReadLine(reader)
		if err != nil {
			return header, netconn.UnexpectedEOF(err)
		}
		if len(line) == 0 {
			return header, nil
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || name == "" || n == maxHeaderFields {
			return header, netconn.Malformed("header field %d of a response, at most %d allowed: %q",
				n+1, maxHeaderFields, netconn.Clip(line))
		}
		if err := header.setField(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return header, err
		}
	}
}

// setField applies a header field, whose name is in lower case. It ignores the fields that don't matter for the body.
func (h *responseHeader) setField(name, value string) (err error) {
	switch name {
	case "content-length":
		h.contentLength, err = strconv.Atoi(value)
		if err != nil || h.contentLength < 0 || h.contentLength > maxBodyBytes {
			return netconn.Malformed("content-length %q of a response, expected 0 to %d",
				netconn.Clip([]byte(value)), maxBodyBytes)
		}
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
		if !h.chunked {
			return netconn.Malformed("transfer-encoding %q of a response, expected chunked", netconn.Clip([]byte(value)))
		}
	case "connection":
		keepAlive := strings.EqualFold(value, "keep-alive")
		h.closesConnection = h.closesConnection && !keepAlive || strings.EqualFold(value, "close")
	}
	return nil
}

// readChunks reads a chunked body and skips its trailers.
func readChunks(reader *bufio.Reader) (body []byte, err error) {
	for {
		line, err := netconn.ReadLine(reader)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, netconn.Malformed("chunk size %q of a response of at most %d bytes", netconn.Clip(line), maxBodyBytes)
		}
		if n == 0 {
			break
		}
		chunk, err := netconn.ReadBody(reader, int(n), nil)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if line, err = netconn.ReadLine(reader); err != nil {
			return nil, err
		}
		if len(line) > 0 {
			return nil, netconn.Malformed("%q after a chunk of a response, expected a line end", netconn.Clip(line))
		}
	}
	for n := 0; ; n++ {
		line, err := netconn.ReadLine(reader)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
		if n == maxHeaderFields {
			return nil, netconn.Malformed("response with more than %d trailers", maxHeaderFields)
		}
	}
}
