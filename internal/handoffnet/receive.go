package handoffnet

import (
	"context"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
)

// Errors that are returned to the calling member. The texts are part of the wire format.
var (
	errReplyTimeout = errors.New("no answer in time")
	errStopping     = errors.New("this member stops")
)

// A datagram consists of a kind (1 byte), a number (8 bytes, big endian), which the reply repeats, and an encoded
// batch. The values of the kinds are part of the wire format.
const (
	frameBatch    = 'w'
	frameReply    = 'a'
	frameMustCall = 'c' // the reply is too long for a datagram; the sender has to send the batch by a call

	frameHeaderBytes = 9
	delayBytes       = 9 // of what handoff.Batch.AppendDelay appends

	maxDatagramBatch = clusternet.MaxDatagramPayload - frameHeaderBytes - delayBytes // bytes of an encoded batch
)

// datagramReply is an encoded reply to a datagram and the address that it goes to.
type datagramReply struct {
	to   netip.AddrPort
	data []byte
}

// encodeFrame returns the content of a datagram.
func encodeFrame(kind byte, number uint64, data []byte) []byte {
	encoded := append(make([]byte, 0, frameHeaderBytes+len(data)), kind)
	return append(binary.BigEndian.AppendUint64(encoded, number), data...)
}

// handleCall posts a batch that another member sent by a call to the dispatch loop and returns the manager's reply. It
// may be called from any goroutine.
func (a *Agent) handleCall(ctx context.Context, data []byte) ([]byte, error) {
	batch, err := handoff.ReadBatch(data, a.clock.Now())
	if err != nil {
		return nil, err
	}
	type result struct {
		data []byte
		err  error
	}
	replied := make(chan result, 1)
	go a.post(batchReceived{batch, func(data []byte, err error) { replied <- result{data, err} }})
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case r := <-replied:
		return r.data, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timeout.C:
		return nil, errReplyTimeout
	case <-a.stop:
		return nil, errStopping
	}
}

// handleDatagram handles a datagram of another member. It runs on the transport's goroutine and never blocks.
func (a *Agent) handleDatagram(from netip.AddrPort, data []byte) {
	if len(data) < frameHeaderBytes {
		return
	}
	number := binary.BigEndian.Uint64(data[1:])
	payload := data[frameHeaderBytes:]
	switch data[0] {
	case frameBatch:
		a.handleBatchDatagram(from, number, payload)
	case frameReply:
		a.handleReplyDatagram(number, payload)
	case frameMustCall:
		if sent := a.findInFlight(number); sent != nil {
			sent.stream.handleReply(a, number, nil)
		}
	}
}

// handleBatchDatagram posts a received batch to the dispatch loop, with a callback that queues the reply datagram.
func (a *Agent) handleBatchDatagram(from netip.AddrPort, number uint64, payload []byte) {
	batch, err := handoff.ReadBatch(payload, a.clock.Now())
	if err != nil || !suitsDatagram(batch) {
		return
	}
	reply := func(data []byte, err error) {
		if err != nil {
			return // the sender repeats the batch by a call, whose reply can carry an error
		}
		encoded := encodeFrame(frameReply, number, data)
		if len(encoded) > clusternet.MaxDatagramPayload {
			encoded = encodeFrame(frameMustCall, number, nil)
		}
		select {
		case a.datagramReplies <- datagramReply{from, encoded}:
		default:
			a.dropped.Add(1)
		}
	}
	if !a.loop.TryPut(dispatch.QueueItem{Message: batchReceived{batch, reply}}) {
		a.dropped.Add(1)
	}
}

// handleReplyDatagram passes the reply to a datagram to the stream that sent the datagram.
func (a *Agent) handleReplyDatagram(number uint64, payload []byte) {
	sent := a.findInFlight(number)
	if sent == nil {
		return
	}
	reply, err := handoff.ReadBatch(payload, a.clock.Now())
	if err != nil {
		return
	}
	sent.stream.handleReply(a, number, reply)
}

// findInFlight returns the unanswered datagram with a number, or nil.
func (a *Agent) findInFlight(number uint64) *datagram {
	value, _ := a.inFlight.Load(number)
	found, _ := value.(*datagram)
	return found
}

// sendReplies sends the queued replies to datagrams until the agent stops.
func (a *Agent) sendReplies() {
	for {
		select {
		case reply := <-a.datagramReplies:
			a.transport.SendHandoff(reply.to, reply.data)
		case <-a.stop:
			return
		}
	}
}
