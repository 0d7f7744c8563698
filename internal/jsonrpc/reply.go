package jsonrpc

import (
	"encoding/base64"
	"math"
	"strconv"

	"liftshift/internal/ledger"
)

// appendResponseStart appends the beginning of a JSON-RPC response, up to and including the call's id.
func appendResponseStart(b []byte, callID []byte) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	if len(callID) == 0 {
		return append(b, "null"...)
	}
	return append(b, callID...)
}

// appendResult appends the result of a request.
func appendResult(b []byte, callID, body []byte) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(appendResponseStart(b, callID), `,"result":{"data":"`...)
		return append(base64.StdEncoding.AppendEncode(b, body), `"}}`...)
	})
}

// appendEmptyResult appends the answer to a cancellation.
func appendEmptyResult(b, callID []byte) []byte {
	return appendMessage(b, func(b []byte) []byte {
		return append(appendResponseStart(b, callID), `,"result":{}}`...)
	})
}

// appendProbeResult appends the answer to a probe.
func appendProbeResult(b []byte, callID []byte, ready bool) []byte {
	return appendMessage(b, func(b []byte) []byte {
		return append(strconv.AppendBool(append(appendResponseStart(b, callID), `,"result":{"fit":`...), ready), `}}`...)
	})
}

// appendError appends an error, with the time after which the client may retry if that is at least 1 ms.
func appendError(b []byte, callID []byte, e rpcError, retryAfterMS float64) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = strconv.AppendInt(append(appendResponseStart(b, callID), `,"error":{"code":`...), int64(e.code), 10)
		b = strconv.AppendQuoteToASCII(append(b, `,"message":`...), e.message)
		if retryAfterMS >= 1 {
			b = append(strconv.AppendInt(append(b, `,"data":{"holdoff":`...), int64(retryAfterMS), 10), '}')
		}
		return append(b, `}}`...)
	})
}

// appendOutcomeResult appends the outcome of a request, its age in milliseconds, and the request's answer if the ledger
// kept it.
func appendOutcomeResult(b, callID []byte, effect ledger.Effect) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(appendResponseStart(b, callID), `,"result":{"outcome":"`...)
		b = append(append(b, effect.Outcome.String()...), '"')
		if effect.Outcome != ledger.Unknown && effect.Outcome != ledger.Open {
			b = strconv.AppendInt(append(b, `,"age":`...), int64(effect.AgeMS), 10)
		}
		if effect.Body != nil {
			b = append(base64.StdEncoding.AppendEncode(append(b, `,"data":"`...), effect.Body), '"')
		}
		return append(b, `}}`...)
	})
}

// appendWaitEstimate appends the notification of a request's estimated wait, in milliseconds from now. A negative
// startMS means that the wait is unknown.
func appendWaitEstimate(b, callID []byte, startMS, endMS float64) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(append(b, `{"jsonrpc":"2.0","method":"wait","params":{"id":`...), callID...)
		if startMS < 0 {
			return append(b, `,"unknown":true}}`...)
		}
		b = strconv.AppendInt(append(b, `,"start":`...), int64(math.Ceil(startMS)), 10)
		b = strconv.AppendInt(append(b, `,"end":`...), int64(math.Ceil(endMS)), 10)
		return append(b, `}}`...)
	})
}
