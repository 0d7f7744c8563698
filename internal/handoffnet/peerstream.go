package handoffnet

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
)

const (
	answerTimeoutMS     = 30  // time after which a batch whose datagram was not answered is sent by a call
	diskAnswerTimeoutMS = 150 // the same where copies are persisted, so that answers wait for disk writes
)

// outgoingBatch is a batch that is to be sent, with its encoding.
type outgoingBatch struct {
	batch    *handoff.Batch
	data     []byte
	queuedAt float64
}

// isStale reports whether a batch was queued so long ago that the ages encoded in it have become wrong.
func (b *outgoingBatch) isStale(now float64) bool { return now > b.queuedAt+maxQueuedMS }

// encoded returns the encoding of a batch that is sent now.
func (b *outgoingBatch) encoded(now float64) []byte {
	return b.batch.AppendDelay(slices.Clip(b.data), max(0, now-b.queuedAt))
}

// datagram is a batch that was sent as a datagram and has not been answered.
type datagram struct {
	outgoingBatch
	stream *peerStream
	// expires is the time at which the batch is sent by a call instead. It is 0, for at once, if the reply is too long
	// for a datagram.
	expires float64
}

// peerStream sends batches to one member, on a goroutine of its own.
type peerStream struct {
	to    string
	queue chan outgoingBatch
	wake  chan struct{} // tells the stream's goroutine to check the datagrams in flight
	// calling is set while the stream's goroutine waits for the reply to a call.
	calling atomic.Bool

	// State of the stream's goroutine.
	next     *outgoingBatch // a batch that was taken from the queue and not sent yet
	address  string
	addrPort netip.AddrPort // parsed from address; invalid if that is not an IP address and port

	mu       sync.Mutex // guards the fields below
	path     transportPath
	inFlight []uint64 // numbers of unanswered datagrams, in the order in which they expire
}

// sendBatch queues a batch for a member. It never blocks: if the queue is full, the batch is dropped.
func (a *Agent) sendBatch(to string, batch *handoff.Batch, now float64) {
	outgoing := outgoingBatch{batch, batch.Append(nil, now), now}
	s := a.stream(to)
	if s.calling.Load() && batch.SaysNothingRan() {
		s.sendUntracked(a, outgoing)
	}
	select {
	case s.queue <- outgoing:
	default:
		a.dropped.Add(1)
	}
}

// sendUntracked sends a batch as a datagram whose reply is ignored, besides the one that waits in the queue. The member
// may not answer for as long as it is paused: what is sent now is received then, even if this controller is lost before.
func (s *peerStream) sendUntracked(a *Agent, outgoing outgoingBatch) {
	addresses := a.addresses.Load()
	if addresses == nil || len(outgoing.data) > maxDatagramBatch || !suitsDatagram(outgoing.batch) {
		return
	}
	to, err := netip.ParseAddrPort((*addresses)[s.to])
	if err != nil {
		return
	}
	a.datagrams.Add(1)
	a.transport.SendHandoff(to, encodeFrame(frameBatch, a.lastDatagramNumber.Add(1), outgoing.data))
}

// stream returns the stream to a member and starts it if there is none. At maxStreams, it first closes another stream.
func (a *Agent) stream(to string) *peerStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.streams[to]; s != nil {
		return s
	}
	if len(a.streams) >= maxStreams { // most of these members have left the fleet
		for name, old := range a.streams {
			close(old.queue)
			delete(a.streams, name)
			break
		}
	}
	s := &peerStream{to: to, queue: make(chan outgoingBatch, streamQueueSize), wake: make(chan struct{}, 1)}
	a.streams[to] = s
	go s.run(a)
	return s
}

// run sends queued batches and repeats expired datagrams as calls, until the queue is closed or the agent stops.
func (s *peerStream) run(a *Agent) {
	expiryTimer := time.NewTimer(time.Hour)
	defer expiryTimer.Stop()
	for {
		if s.next == nil && !s.wait(a, expiryTimer) {
			return
		}
		if first := s.next; first != nil {
			s.next = nil
			if first.isStale(a.clock.Now()) {
				s.dropStale(a, first.batch)
			} else {
				s.send(a, *first)
			}
		}
		if nextExpiry := s.expire(a); nextExpiry > 0 {
			expiryTimer.Reset(time.Duration((nextExpiry - a.clock.Now()) * float64(time.Millisecond)))
		}
	}
}

// wait waits for a batch, or until datagrams in flight may have expired. It returns false once the stream has ended.
func (s *peerStream) wait(a *Agent, expiryTimer *time.Timer) bool {
	select {
	case outgoing, open := <-s.queue:
		if !open {
			s.dropInFlight(a)
			return false
		}
		s.next = &outgoing
	case <-s.wake:
	case <-expiryTimer.C:
	case <-a.stop:
		return false
	}
	return true
}

// send sends a batch, merged with the batches that are queued behind it.
func (s *peerStream) send(a *Agent, first outgoingBatch) {
	asDatagram := s.allowDatagram(a, len(first.data)) && suitsDatagram(first.batch)
	maxBytes := maxCallBytes
	if asDatagram {
		maxBytes = maxDatagramBatch
	}
	merged := s.merge(a, first, maxBytes)
	if !asDatagram || !s.sendDatagram(a, merged) {
		s.sendByCall(a, merged)
	}
}

// allowDatagram reports whether a batch of this size may go as a datagram now.
func (s *peerStream) allowDatagram(a *Agent, size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return size <= maxDatagramBatch && s.path.allowDatagram(a.clock.Now(), len(s.inFlight))
}

// suitsDatagram reports whether a batch has only operations that are allowed in a datagram. OpFetch is answered with
// long pages, and OpAdopt depends on the whole placement table rather than on its version alone.
func suitsDatagram(batch *handoff.Batch) bool {
	return !slices.ContainsFunc(batch.Items, func(item handoff.Item) bool {
		return item.Op == handoff.OpFetch || item.Op == handoff.OpAdopt
	})
}

// merge appends queued batches to the first one, until that has maxBytes.
func (s *peerStream) merge(a *Agent, first outgoingBatch, maxBytes int) outgoingBatch {
	batch := *first.batch
	batch.Items = slices.Clone(batch.Items)
	merged := outgoingBatch{&batch, first.data, first.queuedAt}
	for len(merged.data) < maxBytes {
		select {
		case outgoing, open := <-s.queue:
			if !open {
				return merged
			}
			if !mergeable(&merged, &outgoing, maxBytes) || outgoing.isStale(a.clock.Now()) {
				s.next = &outgoing
				return merged
			}
			// Concatenated protobuf messages are read as one: repeated fields are joined, and of other fields the last
			// value counts.
			merged.data = append(merged.data, outgoing.data...)
			if batch.StoreUntil == 0 && outgoing.batch.StoreUntil != 0 {
				batch.StoreUntil = outgoing.batch.StoreUntil - (outgoing.queuedAt - merged.queuedAt)
			}
			batch.Items = append(batch.Items, outgoing.batch.Items...)
		default:
			return merged
		}
	}
	return merged
}

// mergeable reports whether a batch can be merged with others: these have the same sender and table version, and a
// datagram has to stay within its bounds.
func mergeable(merged, outgoing *outgoingBatch, maxBytes int) bool {
	if outgoing.batch.Version != merged.batch.Version || outgoing.batch.From != merged.batch.From {
		return false
	}
	if maxBytes != maxDatagramBatch {
		return true
	}
	return len(merged.data)+len(outgoing.data) <= maxBytes && suitsDatagram(outgoing.batch)
}

// sendDatagram sends a batch as a datagram. It returns false if the member has no address for datagrams.
func (s *peerStream) sendDatagram(a *Agent, outgoing outgoingBatch) bool {
	s.resolve(a)
	if !s.addrPort.IsValid() {
		return false
	}
	timeoutMS := float64(answerTimeoutMS)
	if a.copies != nil {
		timeoutMS = diskAnswerTimeoutMS
	}
	number := a.lastDatagramNumber.Add(1)
	a.inFlight.Store(number, &datagram{outgoing, s, a.clock.Now() + timeoutMS})
	s.mu.Lock()
	s.inFlight = append(s.inFlight, number)
	s.mu.Unlock()
	a.datagrams.Add(1)
	a.transport.SendHandoff(s.addrPort, encodeFrame(frameBatch, number, outgoing.encoded(a.clock.Now())))
	return true
}

// expire sends the batches of expired datagrams by calls. It returns the time at which the next datagram expires, or 0.
func (s *peerStream) expire(a *Agent) (nextExpiry float64) {
	for {
		now := a.clock.Now()
		expired, next := s.takeExpired(a, now)
		if expired == nil {
			return next
		}
		if expired.isStale(now) {
			s.dropStale(a, expired.batch)
		} else {
			s.sendByCall(a, expired.outgoingBatch)
		}
	}
}

// takeExpired removes the oldest datagram and returns it if it has expired. Otherwise it returns the time at which that
// one expires, or 0 if none is in flight.
func (s *peerStream) takeExpired(a *Agent, now float64) (expired *datagram, nextExpiry float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.inFlight) > 0 {
		oldest := a.findInFlight(s.inFlight[0])
		if oldest != nil && now < oldest.expires {
			return nil, oldest.expires
		}
		s.dropOldest(a, oldest, now)
		if oldest != nil {
			return oldest, 0
		}
	}
	return nil, 0
}

// dropOldest removes the oldest datagram in flight, and counts it as unanswered unless it was answered (nil) or the
// member asked for a call. The caller holds s.mu.
func (s *peerStream) dropOldest(a *Agent, oldest *datagram, now float64) {
	a.inFlight.Delete(s.inFlight[0])
	s.inFlight = append(s.inFlight[:0], s.inFlight[1:]...)
	if oldest != nil && oldest.expires > 0 {
		s.path.handle(now, inputUnanswered)
		a.unanswered.Add(1)
	}
}

// dropInFlight removes all datagrams in flight.
func (s *peerStream) dropInFlight(a *Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.inFlight) > 0 {
		s.dropOldest(a, a.findInFlight(s.inFlight[0]), a.clock.Now())
	}
}

// handleReply posts the reply to a datagram to the dispatch loop. If the reply is nil, it is too long for a datagram,
// and the batch is sent by a call at once. If the loop's queue is full, the datagram stays in flight and expires.
func (s *peerStream) handleReply(a *Agent, number uint64, reply *handoff.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := a.findInFlight(number)
	if answered == nil {
		return // a duplicate, or the datagram has expired
	}
	s.path.handle(a.clock.Now(), inputAnswered)
	isAnswered := func(n uint64) bool { return n == number }
	if reply == nil {
		answered.expires = 0
		s.inFlight = slices.Insert(slices.DeleteFunc(s.inFlight, isAnswered), 0, number)
	} else if a.loop.TryPut(dispatch.QueueItem{Message: batchAnswered{s.to, answered.batch, reply}}) {
		a.inFlight.Delete(number)
		s.inFlight = slices.DeleteFunc(s.inFlight, isAnswered)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dropStale drops a batch that was queued too long, and tells the manager that it was lost.
func (s *peerStream) dropStale(a *Agent, batch *handoff.Batch) {
	a.dropped.Add(1)
	s.postAnswer(a, batch, nil)
}

// sendByCall sends a batch by a call and posts the reply to the dispatch loop.
func (s *peerStream) sendByCall(a *Agent, outgoing outgoingBatch) {
	a.calls.Add(1)
	s.calling.Store(true)
	reply := s.callMember(a, outgoing.encoded(a.clock.Now()))
	s.calling.Store(false)
	s.postAnswer(a, outgoing.batch, reply)
}

// postAnswer posts the reply to a batch, nil if there is none, to the dispatch loop.
func (s *peerStream) postAnswer(a *Agent, batch, reply *handoff.Batch) {
	select {
	case <-a.stop:
	default:
		a.post(batchAnswered{s.to, batch, reply})
	}
}

// callMember calls the member and returns its reply, or nil if the call failed.
func (s *peerStream) callMember(a *Agent, data []byte) *handoff.Batch {
	s.resolve(a)
	if s.address == "" {
		a.callsFailed.Add(1)
		time.Sleep(noAddressDelay)
		return nil
	}
	received, err := a.transport.CallSync(s.address, clusternet.HandoffMethod, data)
	if err != nil {
		a.callsFailed.Add(1)
		return nil
	}
	reply, err := handoff.ReadBatch(received, a.clock.Now())
	if err != nil {
		a.callsFailed.Add(1)
		return nil
	}
	return reply
}

// resolve updates the member's address from the latest configuration.
func (s *peerStream) resolve(a *Agent) {
	address := ""
	if addresses := a.addresses.Load(); addresses != nil {
		address = (*addresses)[s.to]
	}
	if address != s.address {
		s.address = address
		s.addrPort, _ = netip.ParseAddrPort(address)
	}
}
