package jsonrpc

import (
	"cmp"
	"slices"
	"sync/atomic"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// openRequest is a request that is open on a connection.
type openRequest struct {
	tag        uint64
	id         []byte // of the JSON-RPC call
	requestID  string
	bodyBytes  int
	clientGone *atomic.Bool
	halfClosed *atomic.Bool // the client closed its writing side only
}

// handleMessage handles one message. What is wrong with it affects no other.
func (c *clientConn) handleMessage(text []byte, now float64) {
	m, wrong := parseCall(text)
	if wrong != nil {
		c.replyError(m.id, *wrong)
		return
	}
	switch m.method {
	case "probe":
		c.Push(func(b []byte) []byte { return appendReady(b, m.id, c.server.ready.Load()) })
	case "giveUp":
		c.cancel(m)
	case "outcome":
		if wrong = c.queryOutcome(m); wrong != nil {
			c.replyError(m.id, *wrong)
		}
	default:
		if wrong = c.submit(m, now); wrong != nil {
			c.replyError(m.id, *wrong)
		}
	}
}

// queryOutcome asks what became of a request, by its id or its idempotency key. It opens no request.
func (c *clientConn) queryOutcome(m call) *rpcError {
	if !c.server.servesOutcomes {
		return &rpcError{codeMethodNotFound, "no such method"}
	}
	if m.id == nil {
		return &rpcError{codeInvalidRequest, "no id"}
	}
	requestID, key, ok := parseOutcomeParams(m.params)
	if !ok {
		return &rpcError{codeInvalidParams, "either req or opkey is needed"}
	}
	id := slices.Clone(m.id)
	reply := func(e ledger.Effect) {
		c.Push(func(b []byte) []byte { return appendOutcome(b, id, e) })
	}
	c.server.queue.Put(dispatch.QueueItem{Query: &dispatch.OutcomeQuery{ID: requestID, IdempotencyKey: key, Reply: reply}})
	return nil
}

// replyError answers a message that can't be used. Under an id that is open no error may go out: it would pass for the answer of the
// open request.
func (c *clientConn) replyError(id []byte, e rpcError) {
	c.server.BadRequests.Add(1)
	c.mu.Lock()
	if !c.closing { // what comes as its connection ends is no fault of the client
		c.badMessages++
	}
	if slices.ContainsFunc(c.open, func(r openRequest) bool { return string(r.id) == string(id) }) {
		id = nil
	}
	c.mu.Unlock()
	retryAfterMS := 0.0
	if e.code == codeRejected {
		retryAfterMS = c.server.retryAfterMS
	}
	c.Push(func(b []byte) []byte { return appendError(b, id, e, retryAfterMS) })
}

// submit hands a request to the event loop.
func (c *clientConn) submit(m call, now float64) *rpcError {
	s := c.server
	class, ok := s.classes[m.method]
	if !ok {
		return &rpcError{codeMethodNotFound, "no such method"}
	}
	if m.id == nil {
		return &rpcError{codeInvalidRequest, "no id"}
	}
	params, wrong := parseRequestParams(m.params)
	if wrong != nil {
		return wrong
	}
	if class.Keyed && params.idempotencyKey == "" {
		return &rpcError{codeInvalidParams, "opkey is missing"}
	}
	var flags [2]atomic.Bool // in one allocation
	r := openRequest{id: slices.Clone(m.id), requestID: params.id, bodyBytes: len(params.body), clientGone: &flags[0], halfClosed: &flags[1]}
	if wrong = c.admit(&r); wrong != nil {
		return wrong
	}
	timeoutMS := params.timeoutMS
	if class.MaxDeadlineMS > 0 { // state that is kept until the deadline must not be kept for as long as a client says
		timeoutMS = min(timeoutMS, class.MaxDeadlineMS)
	}
	group, schema, _ := parseTables(params.body)
	s.queue.Submit(&dispatch.Request{
		ID:                params.id,
		Class:             m.method,
		OrderKey:          params.orderKey,
		IdempotencyKey:    params.idempotencyKey,
		TableGroup:        group,
		MemoryMB:          params.memoryMB,
		WorkMS:            params.workMS,
		Deadline:          now + timeoutMS,
		Team:              params.team,
		ClientAddr:        c.addr,
		Schema:            schema,
		WantsWaitEstimate: params.wantsWait,
		Retried:           params.retried,
		Body:              params.body,
		Client:            c,
		Tag:               r.tag,
		ClientGone:        r.clientGone,
		HalfClosed:        r.halfClosed,
	})
	return nil
}

// admit adds a request to the open ones, unless there is no room for it.
func (c *clientConn) admit(r *openRequest) *rpcError {
	s := c.server
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case slices.ContainsFunc(c.open, func(o openRequest) bool { return string(o.id) == string(r.id) }):
		return &rpcError{codeInvalidRequest, "id is open"}
	case c.closing:
		return &rpcError{codeRejected, "this connection takes no more"}
	case len(c.open) >= maxOpenRequests, s.maxOpen > 0 && s.queue.OpenRequests() >= s.maxOpen, !s.requestBudget.Reserve(r.bodyBytes):
		s.Rejected.Add(1)
		return &rpcError{codeRejected, "too much is open here"}
	}
	c.lastTag++
	r.tag = c.lastTag
	c.open = append(c.open, *r)
	return nil
}

// cancel ends a request of this connection on the client's behalf. A call with an id of its own gets an answer of its own.
func (c *clientConn) cancel(m call) {
	requestID, callID := parseCancelParams(m)
	matches := func(r openRequest) bool {
		return r.requestID == requestID || requestID == "" && string(r.id) == callID
	}
	var r openRequest
	c.mu.Lock()
	at := slices.IndexFunc(c.open, matches)
	if at >= 0 {
		r = c.open[at]
		c.open = slices.Delete(c.open, at, at+1)
	}
	c.mu.Unlock()
	if at >= 0 {
		c.abandon(r)
		c.endIfDone()
	}
	if m.id != nil && string(m.id) != string(r.id) {
		c.Push(func(b []byte) []byte { return appendEmptyResult(b, m.id) })
	}
}

// abandonOpen abandons all open requests.
func (c *clientConn) abandonOpen() {
	for _, r := range c.takeOpen() {
		c.abandon(r)
	}
}

// abandon tells the event loop that nobody waits for a request any more. An attempt on its way to an executor sees clientGone at its
// last step, however much is in the queue before the event.
func (c *clientConn) abandon(r openRequest) {
	r.clientGone.Store(true)
	c.server.requestBudget.Free(r.bodyBytes)
	if r.halfClosed.Load() {
		return // the event was sent
	}
	event := scheduler.Event{Kind: scheduler.ClientLeft, Request: r.requestID}
	c.server.queue.Put(dispatch.QueueItem{Event: event, Client: c, Token: r.tag})
}

// takeOpen takes out the open requests: nothing more is answered here.
func (c *clientConn) takeOpen() []openRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.open
	c.open = nil
	c.closing = true
	for _, r := range open {
		r.clientGone.Store(true) // all at once: the first event may have to wait for room in the queue
	}
	return open
}

// find returns the index of an open request by its tag.
func (c *clientConn) find(tag uint64) (at int, ok bool) {
	return slices.BinarySearchFunc(c.open, tag, func(r openRequest, tag uint64) int { return cmp.Compare(r.tag, tag) })
}

// reply writes the one answer of an open request.
func (c *clientConn) reply(tag uint64, write func(b, id []byte) []byte) {
	c.mu.Lock()
	at, ok := c.find(tag)
	if !ok {
		c.mu.Unlock()
		return
	}
	r := c.open[at]
	c.open = slices.Delete(c.open, at, at+1)
	c.Push(func(b []byte) []byte { return write(b, r.id) }) // under the lock: who sees it no longer open sees its answer queued
	c.mu.Unlock()
	c.server.requestBudget.Free(r.bodyBytes)
	c.endIfDone()
}

// endIfDone ends a connection that takes no more requests and has its last answer.
func (c *clientConn) endIfDone() {
	c.mu.Lock()
	done := c.closing && len(c.open) == 0
	c.mu.Unlock()
	if done {
		c.End(false)
	}
}

// WaitEstimated implements dispatch.WaitListener.
func (c *clientConn) WaitEstimated(tag uint64, startMS, endMS float64) {
	c.mu.Lock()
	at, ok := c.find(tag)
	var id []byte
	if ok {
		id = c.open[at].id
	}
	c.mu.Unlock()
	if ok {
		c.Push(func(b []byte) []byte { return appendWait(b, id, startMS, endMS) })
	}
}

// Succeeded implements dispatch.Client.
func (c *clientConn) Succeeded(tag uint64, body []byte) {
	c.reply(tag, func(b, id []byte) []byte { return appendResult(b, id, body) })
}

// Rejected implements dispatch.Client.
func (c *clientConn) Rejected(tag uint64, afterMS float64) {
	c.reply(tag, func(b, id []byte) []byte { return appendError(b, id, rpcError{codeRejected, "denied"}, afterMS) })
}

// Failed implements dispatch.Client.
func (c *clientConn) Failed(tag uint64) {
	c.reply(tag, func(b, id []byte) []byte { return appendError(b, id, rpcError{codeFailed, "written off"}, 0) })
}
