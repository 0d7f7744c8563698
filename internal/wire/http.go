package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// Limits of an HTTP response.
const (
	mostHeads = 64
	mostPage  = 4 << 20
)

// response is what came for one call.
type response struct {
	status int
	body   []byte
	closes bool // the connection serves no further call
}

// readResponse reads an HTTP/1.1 response with a length or in chunks.
func readResponse(r *bufio.Reader) (a response, err error) {
	line, err := readLine(r)
	if err != nil {
		return a, err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	a.status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 || a.status < 100 {
		return a, malformed("status line %q", clip(line))
	}
	a.closes = version == "HTTP/1.0"
	length, chunked := -1, false
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil {
			return a, broken(err)
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || name == "" || n == mostHeads {
			return a, malformed("head %q", clip(line))
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > mostPage {
				return a, malformed("length %q", clip([]byte(value)))
			}
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return a, malformed("encoding %q", clip([]byte(value)))
			}
		case "connection":
			a.closes = a.closes && !strings.EqualFold(value, "keep-alive") || strings.EqualFold(value, "close")
		}
	}
	switch {
	case chunked:
		a.body, err = readChunks(r)
	case length >= 0:
		a.body, err = readBody(r, length, nil)
	default: // to the end of the connection
		a.closes = true
		a.body, err = io.ReadAll(io.LimitReader(r, mostPage+1))
		if err == nil && len(a.body) > mostPage {
			err = malformed("a body of over %d bytes", mostPage)
		}
	}
	return a, broken(err)
}

func readChunks(r *bufio.Reader) (body []byte, err error) {
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > mostPage {
			return nil, malformed("chunk of %q", clip(line))
		}
		if n == 0 {
			break
		}
		chunk, err := readBody(r, int(n), nil)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		if len(line) > 0 {
			return nil, malformed("%q behind a chunk", clip(line))
		}
	}
	for n := 0; ; n++ { // trailers
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
		if n == mostHeads {
			return nil, malformed("trailers without end")
		}
	}
}
