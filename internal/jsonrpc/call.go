package jsonrpc

import (
	"encoding/base64"
	"encoding/json"
	"math"
)

// Error codes of JSON-RPC, and this server's own.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeRejected       = -32008
	codeFailed         = -32000
)

// call is one message of a client. Its fields are slices of the message's bytes.
type call struct {
	id     []byte // unparsed; nil if there is none
	method string
	params []byte
}

// rpcError is the error that a message is answered with.
type rpcError struct {
	code    int
	message string
}

// parseCall parses a message. With an error, the id is set if it could be read.
func parseCall(text []byte) (c call, wrong *rpcError) {
	if !json.Valid(text) {
		return c, &rpcError{codeParseError, "not JSON"}
	}
	var version, method, id []byte
	if !forEachMember(text, func(name, value []byte) {
		switch string(name) {
		case "jsonrpc":
			version = value
		case "method":
			method, _ = stringValue(value)
		case "id":
			id = value
		case "params":
			c.params = value
		}
	}) {
		return c, &rpcError{codeInvalidRequest, "not an object"}
	}
	switch {
	case len(id) > 0 && (id[0] != '"' && id[0] != '-' && !isDigit(id[0]) || len(id) > 64):
		return c, &rpcError{codeInvalidRequest, "id is neither a number nor a short text"}
	case string(version) != `"2.0"`:
		c.id = id
		return c, &rpcError{codeInvalidRequest, "jsonrpc is not 2.0"}
	case len(method) == 0:
		c.id = id
		return c, &rpcError{codeInvalidRequest, "no method"}
	}
	c.id, c.method = id, string(method)
	return c, nil
}

// requestParams are the params of a request.
type requestParams struct {
	id, idempotencyKey, orderKey string
	team                         string
	wantsWait                    bool
	timeoutMS, workMS, memoryMB  float64
	retried                      bool
	body                         []byte
}

// paramsReader collects the members of a request's params. It keeps the name of the last one that is wrong.
type paramsReader struct {
	requestParams
	data  []byte // base64; nil: missing
	wrong string
}

// parseRequestParams reads and validates the params of a request.
func parseRequestParams(params []byte) (requestParams, *rpcError) {
	reader := paramsReader{}
	if len(params) == 0 || !forEachMember(params, reader.member) {
		return requestParams{}, &rpcError{codeInvalidParams, "params don't fit"}
	}
	if text := reader.problem(); text != "" {
		return requestParams{}, &rpcError{codeInvalidParams, text}
	}
	body := make([]byte, base64.StdEncoding.DecodedLen(len(reader.data)))
	n, err := base64.StdEncoding.Decode(body, reader.data)
	if err != nil {
		return requestParams{}, &rpcError{codeInvalidParams, "data is not base64"}
	}
	reader.body = body[:n]
	return reader.requestParams, nil
}

func (r *paramsReader) member(name, value []byte) {
	switch string(name) {
	case "req":
		r.text(&r.id, "req", value)
	case "opkey":
		r.text(&r.idempotencyKey, "opkey", value)
	case "subject":
		r.text(&r.orderKey, "subject", value)
	case "timeout":
		r.number(&r.timeoutMS, "timeout", value)
	case "ms":
		r.number(&r.workMS, "ms", value)
	case "ram":
		r.number(&r.memoryMB, "ram", value)
	case "team": // one that is no name counts as none
		if text, ok := stringValue(value); ok && isPlainName(string(text)) {
			r.team = string(text)
		}
	case "waits":
		r.wantsWait = string(value) == "true"
	case "resent":
		r.retried = string(value) == "true"
	case "data":
		var ok bool
		r.data, ok = stringValue(value)
		if !ok {
			r.wrong = "data"
		}
	}
}

func (r *paramsReader) text(to *string, name string, value []byte) {
	text, ok := stringValue(value)
	if !ok {
		r.wrong = name
	}
	*to = string(text)
}

func (r *paramsReader) number(to *float64, name string, value []byte) {
	n, ok := numberValue(value)
	if !ok || n < 0 {
		r.wrong = name
	}
	*to = n
}

// problem returns what is wrong with the members; empty: nothing.
func (r *paramsReader) problem() string {
	switch {
	case r.wrong != "":
		return r.wrong + " is wrong"
	case !isPlainName(r.id):
		return "req is missing or wrong"
	case !(r.timeoutMS > 0) || r.timeoutMS > math.MaxInt32: // NaN is wrong, too
		return "timeout is missing or wrong"
	case r.idempotencyKey != "" && !isPlainName(r.idempotencyKey):
		return "opkey is wrong"
	case r.data == nil:
		return "data is missing"
	}
	return ""
}

// isPlainName returns whether a text can go into any field of any protocol as it is.
func isPlainName(s string) bool {
	for _, c := range []byte(s) {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// parseCancelParams returns the request that a cancellation names: by its id, or by the id of its call.
func parseCancelParams(c call) (requestID, callID string) {
	callID = string(c.id)
	forEachMember(c.params, func(name, value []byte) {
		switch string(name) {
		case "req":
			text, _ := stringValue(value)
			requestID = string(text)
		case "id":
			callID = string(value)
		}
	})
	return requestID, callID
}

// parseOutcomeParams returns the request that a query names, by its id or by its idempotency key.
func parseOutcomeParams(params []byte) (requestID, key string, ok bool) {
	ok = len(params) > 0 && forEachMember(params, func(name, value []byte) {
		text, _ := stringValue(value)
		switch string(name) {
		case "req":
			requestID = string(text)
		case "opkey":
			key = string(text)
		}
	})
	hasOne := (requestID == "") != (key == "")
	return requestID, key, ok && hasOne && isPlainName(requestID+key)
}
