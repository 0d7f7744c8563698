package jsonrpc

import (
	"cmp"
	"encoding/base64"
	"slices"
	"sync/atomic"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// openRequest is a request that was submitted on a connection and is not answered yet.
type openRequest struct {
	tag        uint64 // identifies the request on its connection
	callID     []byte // id of the JSON-RPC call
	requestID  string
	clientGone *atomic.Bool // set once no further attempt may start
	halfClosed *atomic.Bool // set if the client closed only its writing side
}

// handleMessage handles one message that arrived at time now. An unusable message is answered with an error and does
// not affect other messages of the connection.
func (c *clientConn) handleMessage(text []byte, now float64) {
	call, rpcErr := parseCall(text)
	if rpcErr != nil {
		c.replyError(call.id, *rpcErr)
		return
	}
	switch call.method {
	case "probe":
		c.Push(func(b []byte) []byte { return appendProbeResult(b, call.id, c.server.ready.Load()) })
	case "giveUp":
		c.cancel(call)
	case "outcome":
		if rpcErr = c.queryOutcome(call); rpcErr != nil {
			c.replyError(call.id, *rpcErr)
		}
	default:
		if rpcErr = c.submit(call, now); rpcErr != nil {
			c.replyError(call.id, *rpcErr)
		}
	}
}

// queryOutcome asks the event loop for the outcome of a request, by its id or its idempotency key. It opens no request.
func (c *clientConn) queryOutcome(call rpcCall) *rpcError {
	if !c.server.servesOutcomes {
		return &rpcError{codeMethodNotFound, "no such method"}
	}
	if call.id == nil {
		return &rpcError{codeInvalidRequest, "no id"}
	}
	requestID, key, ok := parseOutcomeParams(call.params)
	if !ok {
		return &rpcError{codeInvalidParams, "either req or opkey is needed"}
	}
	callID := slices.Clone(call.id)
	reply := func(effect ledger.Effect) {
		c.Push(func(b []byte) []byte { return appendOutcomeResult(b, callID, effect) })
	}
	query := &dispatch.OutcomeQuery{ID: requestID, IdempotencyKey: key, Reply: reply}
	c.server.queue.Put(dispatch.QueueItem{Query: query})
	return nil
}

// replyError answers a message that is unusable or over a limit. If a request with the same call id is open, the error
// goes out without an id: the client would take it for the answer of the open request.
func (c *clientConn) replyError(callID []byte, e rpcError) {
	c.server.BadRequests.Add(1)
	c.mu.Lock()
	if !c.closing && e.unusable() { // messages that arrive while the connection ends are not the client's fault
		c.badMessages++
	}
	if slices.ContainsFunc(c.openRequests, func(r openRequest) bool { return string(r.callID) == string(callID) }) {
		callID = nil
	}
	c.mu.Unlock()
	retryAfterMS := 0.0
	if e.code == codeRejected {
		retryAfterMS = c.server.retryAfterMS
	}
	c.Push(func(b []byte) []byte { return appendError(b, callID, e, retryAfterMS) })
}

// parseRequest validates a call that submits a request, and returns the request's class and parameters.
func (s *Server) parseRequest(call rpcCall) (class ClassLimits, params requestParams, rpcErr *rpcError) {
	class, found := s.classes[call.method]
	if !found {
		return class, params, &rpcError{codeMethodNotFound, "no such method"}
	}
	if call.id == nil {
		return class, params, &rpcError{codeInvalidRequest, "no id"}
	}
	params, rpcErr = parseRequestParams(call.params)
	if rpcErr == nil && class.Keyed && params.idempotencyKey == "" {
		rpcErr = &rpcError{codeInvalidParams, "opkey is missing"}
	}
	return class, params, rpcErr
}

// submit validates a request that arrived at time now and submits it to the event loop.
func (c *clientConn) submit(call rpcCall, now float64) *rpcError {
	server := c.server
	class, params, rpcErr := server.parseRequest(call)
	if rpcErr != nil {
		return rpcErr
	}
	var flags [2]atomic.Bool // one allocation for both
	open := openRequest{
		callID:     slices.Clone(call.id),
		requestID:  params.id,
		clientGone: &flags[0],
		halfClosed: &flags[1],
	}
	bodyBytes := base64.StdEncoding.DecodedLen(len(params.data))
	if rpcErr = c.admit(&open, bodyBytes); rpcErr != nil {
		return rpcErr
	}
	body, rpcErr := c.decodeBody(params.data, bodyBytes)
	if rpcErr != nil {
		c.withdraw(&open, bodyBytes)
		return rpcErr
	}
	timeoutMS := params.timeoutMS
	if class.MaxDeadlineMS > 0 { // clients must not choose for how long state that lives until the deadline is kept
		timeoutMS = min(timeoutMS, class.MaxDeadlineMS)
	}
	group, schema, _ := parseTables(body)
	server.queue.Submit(&dispatch.Request{
		ID:                params.id,
		Class:             call.method,
		OrderKey:          params.orderKey,
		IdempotencyKey:    params.idempotencyKey,
		TableGroup:        group,
		MemoryMB:          params.memoryMB,
		WorkMS:            params.workMS,
		ArrivedAt:         c.dataArrivedAt,
		Deadline:          now + timeoutMS,
		Team:              params.team,
		ClientAddr:        c.clientAddr,
		Schema:            schema,
		WantsWaitEstimate: params.wantsWait,
		Retried:           params.retried,
		Body:              body,
		BodyBudget:        server.requestBudget,
		Client:            c,
		Tag:               open.tag,
		ClientGone:        open.clientGone,
		HalfClosed:        open.halfClosed,
	})
	return nil
}

// admit assigns a tag to a request, adds it to the open requests and reserves memory for its body, unless a limit is
// reached or the connection is closing. The event loop frees the memory.
func (c *clientConn) admit(r *openRequest, bodyBytes int) *rpcError {
	server := c.server
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case slices.ContainsFunc(c.openRequests, func(o openRequest) bool { return string(o.callID) == string(r.callID) }):
		return &rpcError{codeInvalidRequest, "id is open"}
	case c.closing:
		return &rpcError{codeRejected, "this connection takes no more"}
	case len(c.openRequests) >= maxOpenRequests,
		server.maxOpen > 0 && server.queue.OpenRequests() >= server.maxOpen,
		!server.requestBudget.Reserve(bodyBytes):
		server.Rejected.Add(1)
		return &rpcError{codeRejected, "too much is open here"}
	}
	c.lastTag++
	r.tag = c.lastTag
	c.openRequests = append(c.openRequests, *r)
	return nil
}

// decodeBody decodes the body of an admitted request, for which bodyBytes are reserved, and frees what it does not need.
func (c *clientConn) decodeBody(data []byte, bodyBytes int) ([]byte, *rpcError) {
	body, err := base64.StdEncoding.AppendDecode(make([]byte, 0, bodyBytes), data)
	if err != nil {
		return nil, &rpcError{codeInvalidParams, "data is not base64"}
	}
	c.server.requestBudget.Free(bodyBytes - len(body))
	return body, nil
}

// withdraw takes back the admission of a request that is not submitted.
func (c *clientConn) withdraw(r *openRequest, bodyBytes int) {
	c.mu.Lock()
	if index, ok := c.findLocked(r.tag); ok {
		c.openRequests = slices.Delete(c.openRequests, index, index+1)
	}
	c.mu.Unlock()
	c.server.requestBudget.Free(bodyBytes)
}

// cancel ends a request of this connection on behalf of the client. If the cancellation has an id that differs
// from that of the cancelled call, it gets an empty result of its own.
func (c *clientConn) cancel(call rpcCall) {
	requestID, callID := parseCancelParams(call)
	matches := func(r openRequest) bool {
		return r.requestID == requestID || requestID == "" && string(r.callID) == callID
	}
	var cancelled openRequest
	c.mu.Lock()
	index := slices.IndexFunc(c.openRequests, matches)
	if index >= 0 {
		cancelled = c.openRequests[index]
		c.openRequests = slices.Delete(c.openRequests, index, index+1)
	}
	if call.id != nil && string(call.id) != string(cancelled.callID) { // queued while holding mu, as in reply
		c.Push(func(b []byte) []byte { return appendEmptyResult(b, call.id) })
	}
	c.mu.Unlock()
	if index >= 0 {
		c.abandon(cancelled)
		c.endIfDone()
	}
}

// abandonOpenRequests abandons all open requests.
func (c *clientConn) abandonOpenRequests() {
	for _, r := range c.takeOpenRequests() {
		c.abandon(r)
	}
}

// abandon tells the event loop that the client no longer waits for a request. It sets clientGone first: an attempt that
// is about to be sent to an executor checks the flag, even while the event still waits in the queue.
func (c *clientConn) abandon(r openRequest) {
	r.clientGone.Store(true)
	if r.halfClosed.Load() {
		return // answerHalfClosed has sent the event
	}
	event := scheduler.Event{Kind: scheduler.ClientLeft, Request: r.requestID}
	c.server.queue.Put(dispatch.QueueItem{Event: event, Client: c, Token: r.tag})
}

// takeOpenRequests removes and returns all open requests, so that none of them is answered any more, and makes the
// connection reject further requests.
func (c *clientConn) takeOpenRequests() []openRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeOpenRequestsLocked()
}

// takeOpenRequestsLocked is takeOpenRequests for a caller that holds mu.
func (c *clientConn) takeOpenRequestsLocked() []openRequest {
	taken := c.openRequests
	c.openRequests = nil
	c.closing = true
	for _, r := range taken {
		r.clientGone.Store(true) // for all requests before the first event, which may have to wait for room in the queue
	}
	return taken
}

// findLocked returns the index of the open request with a tag. The caller holds mu.
func (c *clientConn) findLocked(tag uint64) (index int, ok bool) {
	return slices.BinarySearchFunc(c.openRequests, tag, func(r openRequest, tag uint64) int {
		return cmp.Compare(r.tag, tag)
	})
}

// reply queues the final answer of a request and closes the request. It does nothing if the request is no longer open.
func (c *clientConn) reply(tag uint64, appendReply func(b, callID []byte) []byte) {
	c.mu.Lock()
	index, ok := c.findLocked(tag)
	if !ok {
		c.mu.Unlock()
		return
	}
	r := c.openRequests[index]
	c.openRequests = slices.Delete(c.openRequests, index, index+1)
	// Push while holding mu: isDone must not see the request closed before its answer is queued.
	c.Push(func(b []byte) []byte { return appendReply(b, r.callID) })
	c.mu.Unlock()
	c.endIfDone()
}

// endIfDone ends a closing connection once it has no open request.
func (c *clientConn) endIfDone() {
	c.mu.Lock()
	done := c.closing && len(c.openRequests) == 0
	c.mu.Unlock()
	if done {
		c.End(false)
	}
}

// WaitEstimated implements dispatch.WaitListener.
func (c *clientConn) WaitEstimated(tag uint64, startMS, endMS float64) {
	c.mu.Lock()
	index, ok := c.findLocked(tag)
	var callID []byte
	if ok {
		callID = c.openRequests[index].callID
	}
	c.mu.Unlock()
	if ok {
		c.Push(func(b []byte) []byte { return appendWaitEstimate(b, callID, startMS, endMS) })
	}
}

// Succeeded implements dispatch.Client.
func (c *clientConn) Succeeded(tag uint64, body []byte) {
	c.reply(tag, func(b, callID []byte) []byte { return appendResult(b, callID, body) })
}

// Rejected implements dispatch.Client.
func (c *clientConn) Rejected(tag uint64, retryAfterMS float64) {
	c.reply(tag, func(b, callID []byte) []byte {
		return appendError(b, callID, rpcError{codeRejected, "denied"}, retryAfterMS)
	})
}

// Failed implements dispatch.Client.
func (c *clientConn) Failed(tag uint64) {
	c.reply(tag, func(b, callID []byte) []byte {
		return appendError(b, callID, rpcError{codeFailed, "written off"}, 0)
	})
}
