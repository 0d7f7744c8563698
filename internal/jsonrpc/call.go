package jsonrpc

import (
	"encoding/json"
	"math"
)

// Error codes. Those up to codeInvalidParams are defined by JSON-RPC, the others by this server.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInvalidParams  = -32602
	codeRejected       = -32008
	codeFailed         = -32000
)

// rpcCall is a JSON-RPC call or notification. The slices refer to the bytes of its message.
type rpcCall struct {
	id     []byte // unparsed; nil if there is none
	method string
	params []byte
}

// rpcError is the error object of a JSON-RPC response.
type rpcError struct {
	code    int
	message string
}

// unusable reports whether the error says that the message can't be used. A request that is rejected over a limit can be
// used: the client may send it again, and its connection must not end for it.
func (e rpcError) unusable() bool { return e.code != codeRejected }

// parseCall parses the body of a message. If it returns an error, the id of the call is set if it could be read.
func parseCall(text []byte) (call rpcCall, rpcErr *rpcError) {
	if !json.Valid(text) {
		return call, &rpcError{codeParseError, "not JSON"}
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
			call.params = value
		}
	}) {
		return call, &rpcError{codeInvalidRequest, "not an object"}
	}
	switch {
	case len(id) > 0 && (id[0] != '"' && id[0] != '-' && !isDigit(id[0]) || len(id) > 64):
		return call, &rpcError{codeInvalidRequest, "id is neither a number nor a short text"}
	case string(version) != `"2.0"`:
		call.id = id
		return call, &rpcError{codeInvalidRequest, "jsonrpc is not 2.0"}
	case len(method) == 0:
		call.id = id
		return call, &rpcError{codeInvalidRequest, "no method"}
	}
	call.id, call.method = id, string(method)
	return call, nil
}

// requestParams holds the params of a call that submits a request.
type requestParams struct {
	id, idempotencyKey, orderKey string
	team                         string
	wantsWait                    bool // the client accepts estimates of how long the request will wait
	timeoutMS, workMS, memoryMB  float64
	retried                      bool   // the client sends the request again
	data                         []byte // the body in base64; nil if missing
}

// paramsReader collects the members of a request's params.
type paramsReader struct {
	requestParams
	invalidName string // the last member with an invalid value; empty: none
}

// parseRequestParams reads and validates the params of a request. The body stays encoded: it takes memory only once the
// request is admitted.
func parseRequestParams(params []byte) (requestParams, *rpcError) {
	reader := paramsReader{}
	if len(params) == 0 || !forEachMember(params, reader.readMember) {
		return requestParams{}, &rpcError{codeInvalidParams, "params don't fit"}
	}
	if problem := reader.problem(); problem != "" {
		return requestParams{}, &rpcError{codeInvalidParams, problem}
	}
	return reader.requestParams, nil
}

// readMember stores one member of the params; members with unknown names are ignored.
func (r *paramsReader) readMember(name, value []byte) {
	switch string(name) {
	case "req":
		r.readText(&r.id, "req", value)
	case "opkey":
		r.readText(&r.idempotencyKey, "opkey", value)
	case "subject":
		r.readText(&r.orderKey, "subject", value)
	case "timeout":
		r.readNumber(&r.timeoutMS, "timeout", value)
	case "ms":
		r.readNumber(&r.workMS, "ms", value)
	case "ram":
		r.readNumber(&r.memoryMB, "ram", value)
	case "team": // an invalid team name is ignored: the request then has no team
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
			r.invalidName = "data"
		}
	}
}

// readText stores a string value in target, and marks the member as invalid if the value is not a string.
func (r *paramsReader) readText(target *string, name string, value []byte) {
	text, ok := stringValue(value)
	if !ok {
		r.invalidName = name
	}
	*target = string(text)
}

// readNumber stores a number in target, and marks the member as invalid if the value is not a number or is negative.
func (r *paramsReader) readNumber(target *float64, name string, value []byte) {
	number, ok := numberValue(value)
	if !ok || number < 0 {
		r.invalidName = name
	}
	*target = number
}

// problem returns why the params are invalid, or an empty string if they are valid.
func (r *paramsReader) problem() string {
	switch {
	case r.invalidName != "":
		return r.invalidName + " is wrong"
	case !isPlainName(r.id):
		return "req is missing or wrong"
	case !(r.timeoutMS > 0) || r.timeoutMS > math.MaxInt32: // the negation also catches NaN
		return "timeout is missing or wrong"
	case r.idempotencyKey != "" && !isPlainName(r.idempotencyKey):
		return "opkey is wrong"
	case r.data == nil:
		return "data is missing"
	}
	return ""
}

// isPlainName reports whether a text can be used without escaping in any field of any protocol of the controller: it
// consists of 1 to 64 ASCII letters, digits, '-', '_' and '.'.
func isPlainName(s string) bool {
	for _, c := range []byte(s) {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// parseCancelParams returns the request that a cancellation names: by request id, or by the id of the call that
// submitted it. The latter defaults to the id of the cancellation itself.
func parseCancelParams(call rpcCall) (requestID, callID string) {
	callID = string(call.id)
	forEachMember(call.params, func(name, value []byte) {
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

// parseOutcomeParams returns the request that an outcome query names, by its id or by its idempotency key. It returns
// false if the params do not hold exactly one of the two.
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
