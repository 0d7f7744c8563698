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
	reader := newReader("Content-Length: 2\r\n\r\n{}content-length:3\r\nContent-Type: x\r\n\r\n[1]")
	body, err := readMessage(reader, nil)
	assert.NoError(t, err)
	assert.Equal(t, "{}", string(body))
	body, _ = readMessage(reader, nil)
	assert.Equal(t, "[1]", string(body))
	_, err = readMessage(reader, nil)
	assert.Equal(t, io.EOF, err)
	for _, malformed := range []string{
		"\r\n",
		"Content-Length: -1\r\n\r\n",
		"Content-Length: 999999999\r\n\r\n",
		"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"what\r\n\r\n",
		strings.Repeat("x", 5000) + "\r\n",
		strings.Repeat("a: b\r\n", 30),
		"Content-Length: 0x10\r\n\r\n",
	} {
		_, err = readMessage(newReader(malformed), nil)
		assert.ErrorIs(t, err, netconn.ErrMalformed, malformed)
	}
	for _, truncated := range []string{"Content-Le", "Content-Length: 5\r\n", "Content-Length: 5\r\n\r\nab"} {
		_, err = readMessage(newReader(truncated), nil)
		assert.Equal(t, io.ErrUnexpectedEOF, err, truncated)
	}
}

func TestParseCall(t *testing.T) {
	for text, want := range map[string]int{
		"{":                                      codeParseError,
		"[]":                                     codeInvalidRequest,
		"null":                                   codeInvalidRequest,
		`"x"`:                                    codeInvalidRequest,
		`{"jsonrpc":"1.0","id":1,"method":"x"}`:  codeInvalidRequest,
		`{"jsonrpc":"2.0","id":1}`:               codeInvalidRequest,
		`{"jsonrpc":"2.0","id":{},"method":"x"}`: codeInvalidRequest,
		`{"jsonrpc":"2.0","id":1,"method":7}`:    codeInvalidRequest,
	} {
		_, rpcErr := parseCall([]byte(text))
		assert.Equal(t, want, rpcErr.code, text)
	}
	call, rpcErr := parseCall([]byte(`{"jsonrpc":"2.0","id":007,"method":"x"}`))
	assert.Equal(t, codeParseError, rpcErr.code, "%v", call)
	call, rpcErr = parseCall([]byte(`{"jsonrpc":"2.0","id":12,"method":"x","params":{"a":1}}`))
	assert.Nil(t, rpcErr)
	assert.Equal(t, []string{"12", "x", `{"a":1}`}, []string{string(call.id), call.method, string(call.params)})
}

func TestParseRequestParams(t *testing.T) {
	const valid = `{"req":"9b1f","timeout":1500,"opkey":"5c","ms":820.5,"ram":96,"data":"c2VsZWN0"}`
	got, rpcErr := parseRequestParams([]byte(valid))
	assert.Nil(t, rpcErr)
	want := requestParams{
		id:             "9b1f",
		idempotencyKey: "5c",
		timeoutMS:      1500,
		workMS:         820.5,
		memoryMB:       96,
		data:           []byte("c2VsZWN0"),
	}
	assert.Equal(t, want, got)
	for _, invalid := range []string{
		``,
		`[]`,
		`{"timeout":5,"data":""}`,
		`{"req":"a","data":""}`,
		`{"req":"a","timeout":0,"data":""}`,
		`{"req":"a","timeout":"5","data":""}`,
		`{"req":"a","timeout":5}`,
		`{"req":"a","timeout":5,"data":5}`,
		`{"req":"a,b=c","timeout":5,"data":""}`,
		`{"req":"a","timeout":5,"opkey":"x y","data":""}`,
		`{"req":"a","timeout":5,"ms":-1,"data":""}`,
		`{"req":"a","timeout":1e300,"data":""}`,
	} {
		_, rpcErr := parseRequestParams([]byte(invalid))
		assert.NotNil(t, rpcErr, invalid)
	}
}

func TestAppendReplies(t *testing.T) {
	assert.Equal(t, "Content-Length: 53\r\n\r\n"+`{"jsonrpc":"2.0","id":7,"result":{"data":"YQliCg=="}}`,
		string(appendResult(nil, []byte("7"), []byte("a\tb\n"))))
	message := appendError(nil, nil, rpcError{codeRejected, "no"}, 200.9)
	got, err := readMessage(bufio.NewReader(bytes.NewReader(message)), nil)
	assert.NoError(t, err)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":null,"error":{"code":-32008,"message":"no","data":{"holdoff":200}}}`,
		string(got))
	message = appendProbeResult(nil, []byte(`"x"`), true)
	got, _ = readMessage(bufio.NewReader(bytes.NewReader(message)), nil)
	assert.JSONEq(t, `{"jsonrpc":"2.0","id":"x","result":{"fit":true}}`, string(got))
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte("Content-Length: 2\r\n\r\n{}"))
	f.Add(appendMessage(nil, func(b []byte) []byte {
		return append(b, `{"id":1,"jsonrpc":"2.0","method":"x","params":{"req":"a","timeout":5,"data":"c2VsZWN0"}}`...)
	}))
	for _, malformed := range []string{
		"Content-Length: -1\r\n\r\n",
		"Content-Length: 60000000\r\n\r\n{",
		"Content-Length: 9\r\n\r\n{}",
		"x",
		"Content-Length: 83\r\n\r\n" + `{"id":1,"jsonrpc":"2.0","method":"x","params":{"req":"","timeout":1e999,"ms":"NaN"}}`,
	} {
		f.Add([]byte(malformed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := bufio.NewReader(bytes.NewReader(input))
		for {
			text, err := readMessage(reader, nil)
			if err != nil {
				return
			}
			call, callErr := parseCall(text)
			parseCancelParams(call)
			params, paramsErr := parseRequestParams(call.params)
			if callErr == nil && paramsErr == nil && (!isPlainName(params.id) || params.timeoutMS <= 0) {
				t.Fatalf("parseRequestParams accepted %s as %+v", call.params, params)
			}
		}
	})
}

func FuzzStatement(f *testing.F) {
	f.Add("SELECT 'it''s', \"a\"\"b\" /* x */ FROM sales_17.orders -- y")
	f.Add("WITH w AS (SELECT * FROM lake_9.visits) SELECT 1 FROM w, x_1.y")
	f.Fuzz(func(_ *testing.T, statement string) { tableGroupOf([]byte(statement)) })
}

// FuzzMembers compares forEachMember with encoding/json.
func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"a":1, "b" : {"c":[1,"]}",{}]},"d":"x\"y","e":null ,"f":-1.5e3}`))
	f.Add([]byte(` { } `))
	f.Fuzz(func(t *testing.T, input []byte) {
		var want map[string]json.RawMessage
		if !json.Valid(input) || bytes.ContainsAny(input, "\\") || !utf8.Valid(input) {
			return
		}
		isObject := json.Unmarshal(input, &want) == nil && want != nil
		got := map[string]json.RawMessage{}
		if forEachMember(input, func(name, value []byte) { got[string(name)] = value }) != isObject {
			t.Fatalf("forEachMember(%s) = %v, want %v", input, !isObject, isObject)
		}
		if isObject && !reflect.DeepEqual(got, want) {
			t.Fatalf("members of %s: got %s, want %s", input, got, want)
		}
	})
}
