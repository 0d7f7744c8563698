package jsonrpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/netconn"
)

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }

func TestTableGroupOf(t *testing.T) {
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
		got, _ := tableGroupOf([]byte(statement))
		assert.Equal(t, want, got, statement)
	}
}

func TestReadMessage(t *testing.T) {
	r := newReader("Content-Length: 2\r\n\r\n{}content-length:3\r\nContent-Type: x\r\n\r\n[1]")
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
		_, err = readMessage(newReader(lost), nil)
		assert.ErrorIs(t, err, netconn.ErrMalformed, lost)
	}
	for _, half := range []string{"Content-Le", "Content-Length: 5\r\n", "Content-Length: 5\r\n\r\nab"} {
		_, err = readMessage(newReader(half), nil)
		assert.Equal(t, io.ErrUnexpectedEOF, err, half)
	}
}

func TestParseCall(t *testing.T) {
	for in, want := range map[string]int{"{": codeParseError, "[]": codeInvalidRequest, "null": codeInvalidRequest, `"x"`: codeInvalidRequest,
		`{"jsonrpc":"1.0","id":1,"method":"x"}`: codeInvalidRequest, `{"jsonrpc":"2.0","id":1}`: codeInvalidRequest,
		`{"jsonrpc":"2.0","id":{},"method":"x"}`: codeInvalidRequest, `{"jsonrpc":"2.0","id":1,"method":7}`: codeInvalidRequest} {
		_, f := parseCall([]byte(in))
		assert.Equal(t, want, f.code, in)
	}
	c, f := parseCall([]byte(`{"jsonrpc":"2.0","id":007,"method":"x"}`))
	assert.Equal(t, codeParseError, f.code, "%v", c)
	c, f = parseCall([]byte(`{"jsonrpc":"2.0","id":12,"method":"x","params":{"a":1}}`))
	assert.Nil(t, f)
	assert.Equal(t, []string{"12", "x", `{"a":1}`}, []string{string(c.id), c.method, string(c.params)})
}

func TestParseRequestParams(t *testing.T) {
	a, f := parseRequestParams([]byte(`{"req":"9b1f","timeout":1500,"opkey":"5c","ms":820.5,"ram":96,"data":"c2VsZWN0"}`))
	assert.Nil(t, f)
	assert.Equal(t, requestParams{id: "9b1f", idempotencyKey: "5c", timeoutMS: 1500, workMS: 820.5, memoryMB: 96, body: []byte("select")}, a)
	for _, bad := range []string{``, `[]`, `{"timeout":5,"data":""}`, `{"req":"a","data":""}`,
		`{"req":"a","timeout":0,"data":""}`, `{"req":"a","timeout":"5","data":""}`, `{"req":"a","timeout":5}`,
		`{"req":"a","timeout":5,"data":"%"}`, `{"req":"a,b=c","timeout":5,"data":""}`,
		`{"req":"a","timeout":5,"opkey":"x y","data":""}`, `{"req":"a","timeout":5,"ms":-1,"data":""}`,
		`{"req":"a","timeout":1e300,"data":""}`} {
		_, f := parseRequestParams([]byte(bad))
		assert.NotNil(t, f, bad)
	}
}

func TestAppendReplies(t *testing.T) {
	assert.Equal(t, "Content-Length: 53\r\n\r\n"+`{"jsonrpc":"2.0","id":7,"result":{"data":"YQliCg=="}}`,
		string(appendResult(nil, []byte("7"), []byte("a\tb\n"))))
	got, err := readMessage(bufio.NewReader(bytes.NewReader(appendError(nil, nil, rpcError{codeRejected, "no"}, 200.9))), nil)
	assert.NoError(t, err)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":null,"error":{"code":-32008,"message":"no","data":{"holdoff":200}}}`, string(got))
	got, _ = readMessage(bufio.NewReader(bytes.NewReader(appendReady(nil, []byte(`"x"`), true))), nil)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":"x","result":{"fit":true}}`, string(got))
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
			c, fault := parseCall(m)
			parseCancelParams(c)
			if a, wrong := parseRequestParams(c.params); fault == nil && wrong == nil && (!isPlainName(a.id) || a.timeoutMS <= 0) {
				t.Fatalf("taken: %+v", a)
			}
		}
	})
}

func FuzzStatement(f *testing.F) {
	f.Add("SELECT 'it''s', \"a\"\"b\" /* x */ FROM sales_17.orders -- y")
	f.Add("WITH w AS (SELECT * FROM lake_9.visits) SELECT 1 FROM w, x_1.y")
	f.Fuzz(func(_ *testing.T, in string) { tableGroupOf([]byte(in)) })
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
		if forEachMember(in, func(name, value []byte) { got[string(name)] = value }) != object {
			t.Fatalf("object: %v", object)
		}
		if object && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s, not %s", got, want)
		}
	})
}
