package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

func text(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }

func TestGroupOfAStatement(t *testing.T) {
	for statement, want := range map[string]uint64{
		"SELECT day, count(*) FROM ops_4.visits WHERE tag = 'x' GROUP BY day":                 4,
		"INSERT INTO sales_17.stock SELECT * FROM staging.batch":                              17,
		"INSERT INTO staging.batch SELECT * FROM sales_17.stock":                              17,
		"select a.id, 'from lake_0.decoy' as note\n  from lake_1.lines a\n where a.tag = 'q'": 1,
		"SELECT id -- was: from mart_1.old\nFROM ops_3.orders LIMIT 5":                        3,
		"SELECT /* from mart_1.old */ id FROM ops_3.orders":                                   3,
		"SELECT 'it''s from a_1.b' FROM c_2.d":                                                2,
		`SELECT "from x_9.y" FROM "sales_8" . "orders"`:                                       8,
		`SELECT 1 FROM "odd ""name""_6".t`:                                                    6,
		"WITH w AS (SELECT * FROM lake_9.visits) SELECT sum(n) FROM w":                        9,
		"SELECT t_1.a FROM staging.s, sales_17.orders t_1":                                    17,
		"SELECT t_1.a FROM staging.s JOIN sales_17.orders t_1 ON t_1.a = s.a":                 17,
		"UPDATE mart_12.lines SET n = 1":                                                      12,
		"SELECT ops_4.visits.id":                                                              4,
		"TRUNCATE TABLE big_data_33.lines":                                                    33,
		"MERGE INTO cat.sales_5.t USING staging.s ON s.id = t.id":                             5,
		"SELECT 1.5 FROM staging.s":                                                           0,
		"select 'unended from a_1.b":                                                          0,
		"select /* unended from a_1.b":                                                        0,
		"SELECT x FROM sales_.t, sales_1a.t, _7.t, sales_99999999999999999999.t":              0,
		"": 0,
	} {
		got, _ := groupOf([]byte(statement))
		assert.Equal(t, want, got, statement)
	}
}

func TestMessagesBehindTheirHeads(t *testing.T) {
	r := text("Content-Length: 2\r\n\r\n{}content-length:3\r\nContent-Type: x\r\n\r\n[1]")
	a, err := readMessage(r, nil)
	assert.NoError(t, err)
	assert.Equal(t, "{}", string(a))
	a, _ = readMessage(r, nil)
	assert.Equal(t, "[1]", string(a))
	_, err = readMessage(r, nil)
	assert.Equal(t, io.EOF, err)
	for _, lost := range []string{"\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: 999999999\r\n\r\n",
		"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "what\r\n\r\n", strings.Repeat("x", 5000) + "\r\n",
		strings.Repeat("a: b\r\n", 30), "Content-Length: 0x10\r\n\r\n"} {
		_, err = readMessage(text(lost), nil)
		assert.ErrorIs(t, err, errMalformed, lost)
	}
	for _, half := range []string{"Content-Le", "Content-Length: 5\r\n", "Content-Length: 5\r\n\r\nab"} {
		_, err = readMessage(text(half), nil)
		assert.Equal(t, io.ErrUnexpectedEOF, err, half)
	}
}

func TestCallsThatCannotBeUsed(t *testing.T) {
	for in, want := range map[string]int{"{": codeParse, "[]": codeRequest, "null": codeRequest, `"x"`: codeRequest,
		`{"jsonrpc":"1.0","id":1,"method":"x"}`: codeRequest, `{"jsonrpc":"2.0","id":1}`: codeRequest,
		`{"jsonrpc":"2.0","id":{},"method":"x"}`: codeRequest, `{"jsonrpc":"2.0","id":1,"method":7}`: codeRequest} {
		_, f := readCall([]byte(in))
		assert.Equal(t, want, f.code, in)
	}
	c, f := readCall([]byte(`{"jsonrpc":"2.0","id":007,"method":"x"}`))
	assert.Equal(t, codeParse, f.code, "%v", c)
	c, f = readCall([]byte(`{"jsonrpc":"2.0","id":12,"method":"x","params":{"a":1}}`))
	assert.Nil(t, f)
	assert.Equal(t, []string{"12", "x", `{"a":1}`}, []string{string(c.id), c.method, string(c.params)})
}

func TestFieldsOfARequest(t *testing.T) {
	a, f := readAsked([]byte(`{"req":"9b1f","timeout":1500,"opkey":"5c","ms":820.5,"ram":96,"data":"c2VsZWN0"}`))
	assert.Nil(t, f)
	assert.Equal(t, asked{req: "9b1f", mark: "5c", timeout: 1500, work: 820.5, ram: 96, body: []byte("select")}, a)
	for _, bad := range []string{``, `[]`, `{"timeout":5,"data":""}`, `{"req":"a","data":""}`,
		`{"req":"a","timeout":0,"data":""}`, `{"req":"a","timeout":"5","data":""}`, `{"req":"a","timeout":5}`,
		`{"req":"a","timeout":5,"data":"%"}`, `{"req":"a,b=c","timeout":5,"data":""}`,
		`{"req":"a","timeout":5,"opkey":"x y","data":""}`, `{"req":"a","timeout":5,"ms":-1,"data":""}`,
		`{"req":"a","timeout":1e300,"data":""}`} {
		_, f := readAsked([]byte(bad))
		assert.NotNil(t, f, bad)
	}
}

func TestAnswersAsWritten(t *testing.T) {
	assert.Equal(t, "Content-Length: 53\r\n\r\n"+`{"jsonrpc":"2.0","id":7,"result":{"data":"YQliCg=="}}`,
		string(appendResult(nil, []byte("7"), []byte("a\tb\n"))))
	got, err := readMessage(bufio.NewReader(bytes.NewReader(appendError(nil, nil, fault{codeDenied, "no"}, 200.9))), nil)
	assert.NoError(t, err)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":null,"error":{"code":-32008,"message":"no","data":{"holdoff":200}}}`, string(got))
	got, _ = readMessage(bufio.NewReader(bytes.NewReader(appendFit(nil, []byte(`"x"`), true))), nil)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":"x","result":{"fit":true}}`, string(got))
}

func TestArrays(t *testing.T) {
	parts, err := readArray(text(string(appendArray(nil, "more", "9b", "a\r\nb", ""))), nil)
	assert.NoError(t, err)
	assert.Equal(t, [][]byte{[]byte("more"), []byte("9b"), []byte("a\r\nb"), {}}, parts)
	for _, bad := range []string{"+OK\r\n", "*9\r\n", "*-1\r\n", "*1\r\n+x\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999999\r\n",
		"*1\r\n$1\r\nxyz\r\n", "*\r\n", "*1x\r\n", "*1\r\n$99999999999999999999\r\n"} {
		_, err := readArray(text(bad), nil)
		assert.ErrorIs(t, err, errMalformed, bad)
	}
	_, err = readArray(text("*1\r\n$5\r\nab"), nil)
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

// A length that is only claimed must take no memory.
func TestAClaimedLengthTakesNoMemory(t *testing.T) {
	r := strings.NewReader("x")
	n := testing.AllocsPerRun(10, func() {
		r.Reset("x")
		b, err := readBody(r, 1<<30, nil)
		assert.Nil(t, b)
		assert.Error(t, err)
	})
	assert.Less(t, n, 10.0)
	b, err := readBody(strings.NewReader(strings.Repeat("y", 50000)), 40000, nil)
	assert.NoError(t, err)
	assert.Len(t, b, 40000, nil)
}

func TestFieldsOfAnAnswer(t *testing.T) {
	names := []string{"queue", "x0", "x1"}
	a, err := readAnswer("batches=3,report=1,0.5,2,cpu=12.5,used=64,other=x", names)
	assert.NoError(t, err)
	assert.Equal(t, told{pages: 3, page: -1, spent: 12.5, used: 64, report: []float64{1, 0.5, 2}}, a)
	a, _ = readAnswer("-", names)
	assert.Equal(t, told{pages: 1, page: -1}, a)
	for report, want := range map[string][]float64{"x1:0.4;backlog:2;new:7;x0:0.5": {2, 0.5, 0.4}, "x1:0.4": {0, 0, 0.4},
		"1;x": nil, "1,1,1,1": nil, "x0:NaN": nil} {
		a, err := readAnswer("report="+report, names)
		assert.NoError(t, err, "a report that can't be read costs no answer")
		assert.Equal(t, want, a.report, report)
	}
	for _, bad := range []string{"batches=x", "num=NaN", "x", "batch=1e3"} {
		_, err := readAnswer(bad, names)
		assert.ErrorIs(t, err, errMalformed, bad)
	}
}

func TestResponses(t *testing.T) {
	r := text("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" +
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
		_, err := readResponse(text(bad))
		assert.ErrorIs(t, err, errMalformed, bad)
	}
	_, err := readResponse(text("HTTP/1.1 200\r\ncontent-length: 5\r\n\r\nab"))
	assert.Equal(t, io.ErrUnexpectedEOF, err)
}

const one = `{"name":"s-1","address":"127.0.0.1:9","zone":"z","type":"t","group":2,"status":"Ready","weight":4,"since_ms":77}`

func TestAPageOfChangesIsTakenWholeOrNotAtAll(t *testing.T) {
	last, list, err := readChanges([]byte(`{"seq":9,"results":[{"seq":4,"fleet":{"snapshot":true,"endpoints":[` + one +
		`]}},{"seq":6,"object":{}},{"seq":8,"fleet":{"endpoints":[{"name":"s-1","status":"Gone"}]}}]}`))
	assert.NoError(t, err)
	assert.Equal(t, uint64(9), last)
	assert.Equal(t, []uint64{4, 8}, []uint64{list[0].seq, list[1].seq})
	assert.Equal(t, scheduler.Endpoint{Executor: executorID("s-1"), Zone: "z", Kind: "t", Cell: 2, Units: 4, StartedAt: 77},
		list[0].list[0].entry)
	assert.Equal(t, scheduler.Removed, list[1].list[0].entry.Availability)
	for _, bad := range []string{"", "[]", `{"results":[]}`, `{"seq":1,"results":[{"seq":2}]}`,
		`{"seq":9,"results":[{"seq":3},{"seq":3}]}`, `{"seq":9,"results":[{"fleet":{}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","address":"a","status":"Odd"}]}}]}`,
		`{"seq":9,"results":[{"seq":1,"fleet":{"endpoints":[{"name":"x","status":"Ready"}]}}]}`} {
		_, _, err := readChanges([]byte(bad))
		assert.True(t, errors.Is(err, errMalformed), bad)
	}
}

// An executor's number comes of its name alone: all controllers must walk one order.
func TestExecutorNumbersByHand(t *testing.T) {
	assert.Equal(t, uint32(0xCBF43926), executorID("123456789"))
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte("Content-Length: 2\r\n\r\n{}"))
	f.Add(appendMessage(nil, func(b []byte) []byte {
		return append(b, `{"id":1,"jsonrpc":"2.0","method":"x","params":{"req":"a","timeout":5,"data":"c2VsZWN0"}}`...)
	}))
	for _, bad := range []string{"Content-Length: -1\r\n\r\n", "Content-Length: 60000000\r\n\r\n{", "Content-Length: 9\r\n\r\n{}", "x",
		"Content-Length: 83\r\n\r\n" + `{"id":1,"jsonrpc":"2.0","method":"x","params":{"req":"","timeout":1e999,"ms":"NaN"}}`} {
		f.Add([]byte(bad))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			m, err := readMessage(r, nil)
			if err != nil {
				return
			}
			c, fault := readCall(m)
			gaveUp(c)
			if a, wrong := readAsked(c.params); fault == nil && wrong == nil && (!plain(a.req) || a.timeout <= 0) {
				t.Fatalf("taken: %+v", a)
			}
		}
	})
}

func FuzzArray(f *testing.F) {
	f.Add(appendArray(nil, "9b1f03aa5c7e2d41", "news", "remark=pct,num=0.5", ""))
	f.Add(appendArray(nil, "9b1f03aa5c7e2d41", "data", "batches=2,report=1,2", "a\tb\tc\n"))
	for _, bad := range []string{"*4\r\n$1\r\na\r\n$4\r\ndata\r\n$1\r\n-\r\n$3000000000\r\nxx", "*4\r\n:5\r\n", "*1\r\n$2\r\nabxx\r\n",
		"*2\r\n$1\r\na\r\n$12\r\nbatches=-900\r\n"} {
		f.Add([]byte(bad))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			parts, err := readArray(r, nil)
			if err != nil {
				return
			}
			size := 0
			for _, p := range parts {
				size += len(p)
				_, _ = readAnswer(string(p), []string{"queue"})
				if wholeRows(p) && bytes.Count(p, []byte("\t")) != 2*bytes.Count(p, []byte("\n")) {
					t.Fatalf("no rows: %q", p)
				}
			}
			if size > len(in) {
				t.Fatal("more came out than went in")
			}
		}
	})
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
	f.Add([]byte(`{"seq":41,"results":[{"seq":41,"fleet":{"index":7,"snapshot":false,"endpoints":[` + one + `]}}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		last, list, err := readChanges(in)
		for _, c := range list {
			if err != nil || c.seq > last {
				t.Fatal("half applied")
			}
		}
	})
}

func FuzzStatement(f *testing.F) {
	f.Add("SELECT 'it''s', \"a\"\"b\" /* x */ FROM sales_17.orders -- y")
	f.Add("WITH w AS (SELECT * FROM lake_9.visits) SELECT 1 FROM w, x_1.y")
	f.Fuzz(func(_ *testing.T, in string) { groupOf([]byte(in)) })
}

func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"a":1, "b" : {"c":[1,"]}",{}]},"d":"x\"y","e":null ,"f":-1.5e3}`))
	f.Add([]byte(` { } `))
	f.Fuzz(func(t *testing.T, in []byte) {
		var want map[string]json.RawMessage
		if !json.Valid(in) || bytes.ContainsAny(in, "\\") || !utf8.Valid(in) {
			return
		}
		object := json.Unmarshal(in, &want) == nil && want != nil
		got := map[string]json.RawMessage{}
		if members(in, func(name, value []byte) { got[string(name)] = value }) != object {
			t.Fatalf("object: %v", object)
		}
		if object && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s, not %s", got, want)
		}
	})
}
