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

// The errors go back to the peer that called: their texts do not change.
var (
	errReplyTimeout = errors.New("no answer in time")
	errStopping     = errors.New("this member stops")
)

// A datagram is its kind, a number of 8 bytes that its answer bears, too, and a batch. The kinds go over the wire: they do not change.
const (
	frameBatch    = 'w'
	frameReply    = 'a'
	frameMustCall = 'c' // the reply is too long for a datagram: the batch is to be sent by a call

	frameHeaderBytes = 9
	maxDatagramBatch = clusternet.MaxHandoffDatagram - frameHeaderBytes
)

// datagramReply is a reply to a datagram.
type datagramReply struct {
	to   netip.AddrPort
	data []byte
}

func frame(kind byte, number uint64, data []byte) []byte {
	b := append(make([]byte, 0, frameHeaderBytes+len(data)), kind)
	return append(binary.BigEndian.AppendUint64(b, number), data...)
}

// handleCall takes a batch that another member sent by a call, and returns the reply. Any goroutine may call it.
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

// handleDatagram takes a datagram. The transport's goroutine calls it, and it does not wait.
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
		if d := a.findInFlight(number); d != nil {
			d.stream.handleReply(a, number, nil)
		}
	}
}

func (a *Agent) handleBatchDatagram(from netip.AddrPort, number uint64, payload []byte) {
	batch, err := handoff.ReadBatch(payload, a.clock.Now())
	if err != nil || !fitsDatagram(batch) {
		return
	}
	reply := func(data []byte, err error) {
		if err != nil {
			return // the sender will call, and be given the error
		}
		out := frame(frameReply, number, data)
		if len(out) > clusternet.MaxHandoffDatagram {
			out = frame(frameMustCall, number, nil)
		}
		select {
		case a.replyOut <- datagramReply{from, out}:
		default:
			a.dropped.Add(1)
		}
	}
	if !a.loop.TryPut(dispatch.QueueItem{Message: batchReceived{batch, reply}}) {
		a.dropped.Add(1)
	}
}

func (a *Agent) handleReplyDatagram(number uint64, payload []byte) {
	d := a.findInFlight(number)
	if d == nil {
		return
	}
	reply, err := handoff.ReadBatch(payload, a.clock.Now())
	if err != nil {
		return
	}
	d.stream.handleReply(a, number, reply)
}

// findInFlight returns an unanswered datagram by its number, or nil.
func (a *Agent) findInFlight(number uint64) *datagram {
	v, _ := a.inFlight.Load(number)
	d, _ := v.(*datagram)
	return d
}

// sendReplies sends the replies to datagrams.
func (a *Agent) sendReplies() {
	for {
		select {
		case r := <-a.replyOut:
			a.transport.SendHandoff(r.to, r.data)
		case <-a.stop:
			return
		}
	}
}
