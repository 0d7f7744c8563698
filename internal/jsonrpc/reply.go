package jsonrpc

import (
	"encoding/base64"
	"math"
	"strconv"

	"liftshift/internal/ledger"
)

// appendID appends the begin of an answer.
func appendID(b []byte, id []byte) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	if len(id) == 0 {
		return append(b, "null"...)
	}
	return append(b, id...)
}

// appendResult appends the result of a request.
func appendResult(b []byte, id, body []byte) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = append(appendID(b, id), `,"result":{"data":"`...)
		return append(base64.StdEncoding.AppendEncode(b, body), `"}}`...)
	})
}

// appendEmptyResult appends the answer to a cancellation.
func appendEmptyResult(b, id []byte) []byte {
	return appendMessage(b, func(b []byte) []byte { return append(appendID(b, id), `,"result":{}}`...) })
}

// appendReady appends the answer to a probe.
func appendReady(b []byte, id []byte, ready bool) []byte {
	return appendMessage(b, func(b []byte) []byte {
		return append(strconv.AppendBool(append(appendID(b, id), `,"result":{"fit":`...), ready), `}}`...)
	})
}

// appendError appends an error, with the time after which to retry if there is one.
func appendError(b []byte, id []byte, e rpcError, retryAfterMS float64) []byte {
	return appendMessage(b, func(b []byte) []byte {
		b = strconv.AppendInt(append(appendID(b, id), `,"error":{"code":`...), int64(e.code), 10)
		b = strconv.AppendQuoteToASCII(append(b, `,"message":`...), e.message)
		if retryAfterMS >= 1 {
			b = append(strconv.AppendInt(append(b, `,"data":{"holdoff":`...), int64(retryAfterMS), 10), '}')
		}
		return append(b, `}}`...)
	})
}

// appendOutcome appends what became of a request: the outcome, how many ms ago, and the answer where it is on record.
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

// appendWait appends the notification of how long a request will wait, in ms; below 0: not known.
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
