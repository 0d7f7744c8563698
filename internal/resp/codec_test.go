package resp

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/netconn"
)

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }

func TestReadArray(t *testing.T) {
	parts, err := readArray(newReader(string(appendArray(nil, "more", "9b", "a\r\nb", ""))), nil)
	assert.NoError(t, err)
	assert.Equal(t, [][]byte{[]byte("more"), []byte("9b"), []byte("a\r\nb"), {}}, parts)
	for _, malformed := range []string{
		"+OK\r\n",
		"*9\r\n",
		"*-1\r\n",
		"*1\r\n+x\r\n",
		"*1\r\n$-1\r\n",
		"*1\r\n$99999999\r\n",
		"*1\r\n$1\r\nxyz\r\n",
		"*\r\n",
		"*1x\r\n",
		"*1\r\n$99999999999999999999\r\n",
	} {
		_, err := readArray(newReader(malformed), nil)
		assert.ErrorIs(t, err, netconn.ErrMalformed, "%q", malformed)
	}
	_, err = readArray(newReader("*1\r\n$5\r\nab"), nil)
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

func TestParseReplyFields(t *testing.T) {
	names := []string{"queue", "x0", "x1"}
	fields, err := parseReplyFields("batches=3,report=1,0.5,2,cpu=12.5,used=64,other=x", names)
	assert.NoError(t, err)
	want := replyFields{pageCount: 3, pageIndex: -1, costMS: 12.5, usedMB: 64, report: []float64{1, 0.5, 2}}
	assert.Equal(t, want, fields)
	fields, _ = parseReplyFields("-", names)
	assert.Equal(t, replyFields{pageCount: 1, pageIndex: -1}, fields)
	for report, want := range map[string][]float64{
		"x1:0.4;backlog:2;new:7;x0:0.5": {2, 0.5, 0.4},
		"x1:0.4":                        {0, 0, 0.4},
		"1;x":                           nil,
		"1,1,1,1":                       nil,
		"x0:NaN":                        nil,
	} {
		fields, err := parseReplyFields("report="+report, names)
		assert.NoError(t, err, "an invalid load report %q must not lose the answer", report)
		assert.Equal(t, want, fields.report, report)
	}
	for _, malformed := range []string{"batches=x", "num=NaN", "x", "batch=1e3"} {
		_, err := parseReplyFields(malformed, names)
		assert.ErrorIs(t, err, netconn.ErrMalformed, "%q", malformed)
	}
}

func FuzzArray(f *testing.F) {
	f.Add(appendArray(nil, "9b1f03aa5c7e2d41", "news", "remark=pct,num=0.5", ""))
	f.Add(appendArray(nil, "9b1f03aa5c7e2d41", "data", "batches=2,report=1,2", "a\tb\tc\n"))
	for _, malformed := range []string{
		"*4\r\n$1\r\na\r\n$4\r\ndata\r\n$1\r\n-\r\n$3000000000\r\nxx",
		"*4\r\n:5\r\n",
		"*1\r\n$2\r\nabxx\r\n",
		"*2\r\n$1\r\na\r\n$12\r\nbatches=-900\r\n",
	} {
		f.Add([]byte(malformed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bufio.NewReader(bytes.NewReader(input))
		for {
			parts, err := readArray(r, nil)
			if err != nil {
				return
			}
			size := 0
			for _, part := range parts {
				size += len(part)
				_, _ = parseReplyFields(string(part), []string{"queue"})
				if isCompleteRows(part) && bytes.Count(part, []byte("\t")) != 2*bytes.Count(part, []byte("\n")) {
					t.Fatalf("isCompleteRows accepts %q, which has not 2 tabs per line", part)
				}
			}
			if size > len(input) {
				t.Fatalf("the parts have %d bytes, more than the %d bytes of the input", size, len(input))
			}
		}
	})
}
