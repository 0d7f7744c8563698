package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

func TestReadResponse_AcceptsEachBodyFramingAndRejectsMalformed(t *testing.T) {
	reader := newReader("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" +
		"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
		"2;x=y\r\ncd\r\n1\r\ne\r\n0\r\nt: u\r\n\r\n" +
		"HTTP/1.0 200 OK\r\n\r\nto the end")
	for _, want := range []httpResponse{
		{status: 200, body: []byte("ab"), closesConnection: false},
		{status: 503, body: []byte("cde"), closesConnection: true},
		{status: 200, body: []byte("to the end"), closesConnection: true},
	} {
		got, err := readResponse(reader)
		assert.NoError(t, err)
		assert.Equal(t, want, got)
	}
	for _, malformed := range []string{
		"RESP 200\r\n\r\n",
		"HTTP/1.1 2 x\r\n\r\n",
		"HTTP/1.1 200\r\nno colon\r\n\r\n",
		"HTTP/1.1 200\r\ncontent-length: -1\r\n\r\n",
		"HTTP/1.1 200\r\ncontent-length: 99999999\r\n\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: gzip\r\n\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc\r\n",
		"HTTP/1.1 200\r\n" + strings.Repeat("a: b\r\n", 100),
	} {
		_, err := readResponse(newReader(malformed))
		assert.ErrorIs(t, err, netconn.ErrMalformed, malformed)
	}
	_, err := readResponse(newReader("HTTP/1.1 200\r\ncontent-length: 5\r\n\r\nab"))
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

// endpointJSON is a valid entry of the endpoint list.
const endpointJSON = `{"name":"s-1","address":"127.0.0.1:9","zone":"z","type":"t","group":2,"status":"Ready",` +
	`"weight":4,"since_ms":77}`

func TestParseChanges_AllOrNothing(t *testing.T) {
	last, changes, err := parseChanges([]byte(`{"seq":9,"results":[` +
		`{"seq":4,"fleet":{"snapshot":true,"endpoints":[` + endpointJSON + `]}},` +
		`{"seq":6,"object":{}},` +
		`{"seq":8,"fleet":{"endpoints":[{"name":"s-1","status":"Gone"}]}}]}`))
	assert.NoError(t, err)
	assert.Equal(t, uint64(9), last)
	assert.Equal(t, []uint64{4, 8}, []uint64{changes[0].seq, changes[1].seq})
	want := scheduler.Endpoint{Executor: executorID("s-1"), Zone: "z", Kind: "t", Cell: 2, Units: 4, StartedAt: 77}
	assert.Equal(t, want, changes[0].endpoints[0].Entry)
	assert.Equal(t, scheduler.Removed, changes[1].endpoints[0].Entry.Availability)
	for _, malformed := range []string{
		"",
		"[]",
		`{"results":[]}`,
		`{"seq":1,"results":[{"seq":2}]}`,
		`{"seq":9,"results":[{"seq":3},{"seq":3}]}`,
		`{"seq":9,"results":[{"fleet":{}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","address":"a","status":"Odd"}]}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","status":"Ready"}]}}]}`,
	} {
		_, _, err := parseChanges([]byte(malformed))
		assert.True(t, errors.Is(err, netconn.ErrMalformed), malformed)
	}
}

// All controllers must derive the same id from a name, so the checksum must not change.
func TestExecutorID_IsChecksumOfName(t *testing.T) {
	assert.Equal(t, uint32(0xCBF43926), executorID("123456789"))
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"seq\":1,\"results\":[]}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		response, err := readResponse(bufio.NewReader(bytes.NewReader(input)))
		if err == nil && len(response.body) > len(input) {
			t.Fatalf("a response of %d bytes has a body of %d bytes", len(input), len(response.body))
		}
	})
}

func FuzzChanges(f *testing.F) {
	f.Add([]byte(`{"seq":41,"results":[` +
		`{"seq":41,"fleet":{"index":7,"snapshot":false,"endpoints":[` + endpointJSON + `]}}]}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		last, changes, err := parseChanges(input)
		for _, change := range changes {
			if err != nil || change.seq > last {
				t.Fatalf("parseChanges returns event %d with page number %d and error %v", change.seq, last, err)
			}
		}
	})
}
