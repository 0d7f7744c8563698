package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Limits of a client's message.
const (
	mostHeadLines = 16
	mostMessage   = 64 << 10
)

// The codes of errors.
const (
	codeParse   = -32700
	codeRequest = -32600
	codeMethod  = -32601
	codeParams  = -32602
	codeDenied  = -32008
	codeFailed  = -32000
)

// readMessage reads a message behind its head. An error that is malformed means that framing is lost.
func readMessage(r *bufio.Reader) ([]byte, error) {
	length := -1
	for n := 0; ; n++ {
		line, err := readLine(r)
		if err != nil {
			if n > 0 {
				err = broken(err)
			}
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || n == mostHeadLines {
			return nil, malformed("head %q", clip(line))
		}
		if !strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
			continue
		}
		value = strings.TrimSpace(value)
		m, err := strconv.ParseUint(value, 10, 31)
		if err != nil || m > mostMessage || length >= 0 {
			return nil, malformed("length %q", clip([]byte(value)))
		}
		length = int(m)
	}
	if length < 0 {
		return nil, malformed("a head without a length")
	}
	body, err := readBody(r, length)
	return body, broken(err)
}

// call is one message of a client.
type call struct {
	id     json.RawMessage // as it came; nil if there is none
	method string
	params json.RawMessage
}

// fault is an error that one message gets.
type fault struct {
	code int
	text string
}

// readCall takes a message apart. With a fault, the id is still there if it could be read.
func readCall(text []byte) (c call, f *fault) {
	var m map[string]json.RawMessage
	if !json.Valid(text) {
		return c, &fault{codeParse, "not JSON"}
	}
	if json.Unmarshal(text, &m) != nil || m == nil {
		return c, &fault{codeRequest, "not an object"}
	}
	if id := m["id"]; len(id) > 0 {
		if id[0] != '"' && id[0] != '-' && !digit(id[0]) || len(id) > 64 {
			return c, &fault{codeRequest, "id is neither a number nor a short text"}
		}
		c.id = id
	}
	if string(m["jsonrpc"]) != `"2.0"` {
		return c, &fault{codeRequest, "jsonrpc is not 2.0"}
	}
	if json.Unmarshal(m["method"], &c.method) != nil || c.method == "" {
		return c, &fault{codeRequest, "no method"}
	}
	c.params = m["params"]
	return c, nil
}

// asked is what a search says of itself.
type asked struct {
	req, mark, key     string
	timeout, work, ram float64
	repeat             bool
	body               []byte
}

// readAsked takes the fields of a search.
func readAsked(params json.RawMessage) (a asked, f *fault) {
	var p struct {
		Req     string   `json:"req"`
		Timeout *float64 `json:"timeout"`
		Opkey   string   `json:"opkey"`
		Subject string   `json:"subject"`
		Resent  bool     `json:"resent"`
		MS      float64  `json:"ms"`
		RAM     float64  `json:"ram"`
		Data    *string  `json:"data"`
	}
	if len(params) == 0 || json.Unmarshal(params, &p) != nil {
		return a, &fault{codeParams, "params don't fit"}
	}
	switch {
	case !plain(p.Req):
		return a, &fault{codeParams, "req is missing or wrong"}
	case p.Timeout == nil || !(*p.Timeout > 0) || *p.Timeout > math.MaxInt32:
		return a, &fault{codeParams, "timeout is missing or wrong"}
	case p.MS < 0 || p.RAM < 0:
		return a, &fault{codeParams, "an estimate below 0"}
	case p.Opkey != "" && !plain(p.Opkey):
		return a, &fault{codeParams, "opkey is wrong"}
	case p.Data == nil:
		return a, &fault{codeParams, "data is missing"}
	}
	body, err := base64.StdEncoding.DecodeString(*p.Data)
	if err != nil {
		return a, &fault{codeParams, "data is not base64"}
	}
	return asked{req: p.Req, mark: p.Opkey, key: p.Subject, timeout: *p.Timeout, work: p.MS, ram: p.RAM,
		repeat: p.Resent, body: body}, nil
}

// plain tells whether a text can go into any field of any protocol as it is.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if !digit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// gaveUp gives the search that a giveUp names: by req, or by the id of its call.
func gaveUp(c call) (req, id string) {
	var p struct {
		Req string          `json:"req"`
		ID  json.RawMessage `json:"id"`
	}
	_ = json.Unmarshal(c.params, &p)
	if len(p.ID) == 0 {
		p.ID = c.id
	}
	return p.Req, string(p.ID)
}

// appendMessage writes a message of a head and a body, which write appends.
func appendMessage(b []byte, write func([]byte) []byte) []byte {
	const room = 7 // digits of a length; the body moves up to those that it takes
	b = append(b, "Content-Length: "...)
	at := len(b)
	b = append(b, "0000000\r\n\r\n"...)
	start := len(b)
	b = write(b)
	var digits [room]byte
	length := strconv.AppendInt(digits[:0], int64(len(b)-start), 10)
	spare := room - len(length)
	copy(b[at:], length)
	copy(b[at+len(length):], b[at+room:])
	return b[:len(b)-spare]
}

func appendID(b []byte, id []byte) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	if len(id) == 0 {
		return append(b, "null"...)
	}
	return append(b, id...)
}

// appendResult writes a result of the bytes of an answer.
func appendResult(b []byte, id, body []byte) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(appendID(b, id), `,"result":{"data":"`...)
		return append(base64.StdEncoding.AppendEncode(b, body), `"}}`...)
	})
}

// appendFit writes the answer to a probe.
func appendFit(b []byte, id []byte, fit bool) []byte {
	return appendMessage(b, func(b []byte) []byte {
		return append(strconv.AppendBool(append(appendID(b, id), `,"result":{"fit":`...), fit), `}}`...)
	})
}

// appendError writes an error, with a time to stay away if there is one.
func appendError(b []byte, id []byte, f fault, awayMS float64) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = strconv.AppendInt(append(appendID(b, id), `,"error":{"code":`...), int64(f.code), 10)
		b = strconv.AppendQuoteToASCII(append(b, `,"message":`...), f.text)
		if awayMS >= 1 {
			b = append(strconv.AppendInt(append(b, `,"data":{"holdoff":`...), int64(awayMS), 10), '}')
		}
		return append(b, `}}`...)
	})
}
