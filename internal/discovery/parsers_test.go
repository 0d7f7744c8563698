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

func TestReadResponse(t *testing.T) {
	r := newReader("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" +
		"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2;x=y\r\ncd\r\n1\r\ne\r\n0\r\nt: u\r\n\r\n" +
		"HTTP/1.0 200 OK\r\n\r\nto the end")
	for _, want := range []response{{200, []byte("ab"), false}, {503, []byte("cde"), true}, {200, []byte("to the end"), true}} {
		got, err := readResponse(r)
		assert.NoError(t, err)
		assert.Equal(t, want, got)
	}
	for _, bad := range []string{"RESP 200\r\n\r\n", "HTTP/1.1 2 x\r\n\r\n", "HTTP/1.1 200\r\nno colon\r\n\r\n",
		"HTTP/1.1 200\r\ncontent-length: -1\r\n\r\n", "HTTP/1.1 200\r\ncontent-length: 99999999\r\n\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: gzip\r\n\r\n", "HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
		"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc\r\n", "HTTP/1.1 200\r\n" + strings.Repeat("a: b\r\n", 100)} {
		_, err := readResponse(newReader(bad))
		assert.ErrorIs(t, err, netconn.ErrMalformed, bad)
	}
	_, err := readResponse(newReader("HTTP/1.1 200\r\ncontent-length: 5\r\n\r\nab"))
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

const endpointJSON = `{"name":"s-1","address":"127.0.0.1:9","zone":"z","type":"t","group":2,"status":"Ready","weight":4,"since_ms":77}`

func TestParseChanges_AllOrNothing(t *testing.T) {
	last, list, err := parseChanges([]byte(`{"seq":9,"results":[{"seq":4,"fleet":{"snapshot":true,"endpoints":[` + endpointJSON +
		`]}},{"seq":6,"object":{}},{"seq":8,"fleet":{"endpoints":[{"name":"s-1","status":"Gone"}]}}]}`))
	assert.NoError(t, err)
	assert.Equal(t, uint64(9), last)
	assert.Equal(t, []uint64{4, 8}, []uint64{list[0].seq, list[1].seq})
	assert.Equal(t, scheduler.Endpoint{Executor: executorID("s-1"), Zone: "z", Kind: "t", Cell: 2, Units: 4, StartedAt: 77},
		list[0].endpoints[0].Entry)
	assert.Equal(t, scheduler.Removed, list[1].endpoints[0].Entry.Availability)
	for _, bad := range []string{"", "[]", `{"results":[]}`, `{"seq":1,"results":[{"seq":2}]}`,
		`{"seq":9,"results":[{"seq":3},{"seq":3}]}`, `{"seq":9,"results":[{"fleet":{}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","address":"a","status":"Odd"}]}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","status":"Ready"}]}}]}`} {
		_, _, err := parseChanges([]byte(bad))
		assert.True(t, errors.Is(err, netconn.ErrMalformed), bad)
	}
}

// An executor's id depends on its name alone: all controllers must have the same.
func TestExecutorID(t *testing.T) {
	assert.Equal(t, uint32(0xCBF43926), executorID("123456789"))
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"seq\":1,\"results\":[]}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if a, err := readResponse(bufio.NewReader(bytes.NewReader(in))); err == nil && len(a.body) > len(in) {
			t.Fatal("more came out than went in")
		}
	})
}

func FuzzChanges(f *testing.F) {
	f.Add([]byte(`{"seq":41,"results":[{"seq":41,"fleet":{"index":7,"snapshot":false,"endpoints":[` + endpointJSON + `]}}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		last, list, err := parseChanges(in)
		for _, c := range list {
			if err != nil || c.seq > last {
				t.Fatal("half applied")
			}
		}
	})
}
