package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"liftshift/internal/ledger"
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

// readMessage reads a message behind its head, into room if that is enough. An error that is malformed means
// that framing is lost.
func readMessage(r *bufio.Reader, room []byte) ([]byte, error) {
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
	body, err := readBody(r, length, room)
	return body, broken(err)
}

// call is one message of a client. Its parts are parts of the message's bytes.
type call struct {
	id     []byte // as it came; nil if there is none
	method string
	params []byte
}

// fault is an error that one message gets.
type fault struct {
	code int
	text string
}

// readCall takes a message apart. With a fault, the id is still there if it could be read.
func readCall(text []byte) (c call, f *fault) {
	if !json.Valid(text) {
		return c, &fault{codeParse, "not JSON"}
	}
	var version, method, id []byte
	if !members(text, func(name, value []byte) {
		switch string(name) {
		case "jsonrpc":
			version = value
		case "method":
			method, _ = quoted(value)
		case "id":
			id = value
		case "params":
			c.params = value
		}
	}) {
		return c, &fault{codeRequest, "not an object"}
	}
	switch {
	case len(id) > 0 && (id[0] != '"' && id[0] != '-' && !digit(id[0]) || len(id) > 64):
		return c, &fault{codeRequest, "id is neither a number nor a short text"}
	case string(version) != `"2.0"`:
		c.id = id
		return c, &fault{codeRequest, "jsonrpc is not 2.0"}
	case len(method) == 0:
		c.id = id
		return c, &fault{codeRequest, "no method"}
	}
	c.id, c.method = id, string(method)
	return c, nil
}

// asked is what a request says of itself.
type asked struct {
	req, mark, key     string
	team               string
	waits              bool
	timeout, work, ram float64
	repeat             bool
	body               []byte
}

// readAsked takes the fields of a request.
func readAsked(params []byte) (a asked, f *fault) {
	wrong := ""
	data := []byte(nil)
	text := func(to *string, name string, value []byte) {
		t, ok := quoted(value)
		if !ok {
			wrong = name
		}
		*to = string(t)
	}
	number := func(to *float64, name string, value []byte) {
		n, ok := amount(value)
		if !ok || n < 0 {
			wrong = name
		}
		*to = n
	}
	if len(params) == 0 || !members(params, func(name, value []byte) {
		switch string(name) {
		case "req":
			text(&a.req, "req", value)
		case "opkey":
			text(&a.mark, "opkey", value)
		case "subject":
			text(&a.key, "subject", value)
		case "timeout":
			number(&a.timeout, "timeout", value)
		case "ms":
			number(&a.work, "ms", value)
		case "ram":
			number(&a.ram, "ram", value)
		case "team": // what is none is nobody's
			if t, ok := quoted(value); ok && plain(string(t)) {
				a.team = string(t)
			}
		case "waits":
			a.waits = string(value) == "true"
		case "resent":
			a.repeat = string(value) == "true"
		case "data":
			var ok bool
			if data, ok = quoted(value); !ok {
				wrong = "data"
			}
		}
	}) {
		return a, &fault{codeParams, "params don't fit"}
	}
	switch {
	case wrong != "":
		return a, &fault{codeParams, wrong + " is wrong"}
	case !plain(a.req):
		return a, &fault{codeParams, "req is missing or wrong"}
	case !(a.timeout > 0) || a.timeout > math.MaxInt32:
		return a, &fault{codeParams, "timeout is missing or wrong"}
	case a.mark != "" && !plain(a.mark):
		return a, &fault{codeParams, "opkey is wrong"}
	case data == nil:
		return a, &fault{codeParams, "data is missing"}
	}
	a.body = make([]byte, base64.StdEncoding.DecodedLen(len(data)))
	n, err := base64.StdEncoding.Decode(a.body, data)
	if err != nil {
		return a, &fault{codeParams, "data is not base64"}
	}
	a.body = a.body[:n]
	return a, nil
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

// gaveUp gives the request that a giveUp names: by req, or by the id of its call.
func gaveUp(c call) (req, id string) {
	id = string(c.id)
	members(c.params, func(name, value []byte) {
		switch string(name) {
		case "req":
			text, _ := quoted(value)
			req = string(text)
		case "id":
			id = string(value)
		}
	})
	return req, id
}

// asksOutcome gives the request that a call of outcome names, by req or by opkey.
func asksOutcome(params []byte) (req, mark string, ok bool) {
	ok = len(params) > 0 && members(params, func(name, value []byte) {
		text, _ := quoted(value)
		switch string(name) {
		case "req":
			req = string(text)
		case "opkey":
			mark = string(text)
		}
	})
	return req, mark, ok && (req == "") != (mark == "") && plain(req+mark)
}

// appendOutcome writes what became of a request: the word, how many ms ago, and the answer where it was kept.
func appendOutcome(b, id []byte, e ledger.Effect) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(append(append(appendID(b, id), `,"result":{"outcome":"`...), e.Outcome.String()...), '"')
		if e.Outcome != ledger.Unknown && e.Outcome != ledger.Open {
			b = strconv.AppendInt(append(b, `,"age":`...), int64(e.AgeMS), 10)
		}
		if e.Body != nil {
			b = append(base64.StdEncoding.AppendEncode(append(b, `,"data":"`...), e.Body), '"')
		}
		return append(b, `}}`...)
	})
}

// appendWait writes how long a request will wait, in ms; below 0: not known.
func appendWait(b, id []byte, startMS, endMS float64) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(append(b, `{"jsonrpc":"2.0","method":"wait","params":{"id":`...), id...)
		if startMS < 0 {
			return append(b, `,"unknown":true}}`...)
		}
		b = strconv.AppendInt(append(b, `,"start":`...), int64(math.Ceil(startMS)), 10)
		b = strconv.AppendInt(append(b, `,"end":`...), int64(math.Ceil(endMS)), 10)
		return append(b, `}}`...)
	})
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
