package handoffnet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
)

const (
	answerTimeoutMS     = 30  // after which a batch whose datagram was not answered is sent by a call
	diskAnswerTimeoutMS = 150 // the same where answers wait for disks
)

// outgoingBatch is a batch that waits to be sent.
type outgoingBatch struct {
	batch    *handoff.Batch
	data     []byte
	queuedAt float64
}

// tooOld reports whether a batch has waited so long that the ages in it would be wrong.
func (b *outgoingBatch) tooOld(now float64) bool { return now > b.queuedAt+maxQueuedMS }

// datagram is a batch that was sent as one and is not answered.
type datagram struct {
	outgoingBatch
	stream  *peerStream
	expires float64 // when it is sent by a call; 0: at once, as the peer asked
}

// peerStream sends batches to one member.
type peerStream struct {
	to    string
	queue chan outgoingBatch
	wake  chan struct{}

	// State of the stream's goroutine.
	next     *outgoingBatch
	address  string
	addrPort netip.AddrPort

	mu       sync.Mutex
	path     transportPath
	inFlight []uint64 // numbers of datagrams, the oldest first
}

// sendBatch queues a batch for a member; it never waits.
func (a *Agent) sendBatch(to string, batch *handoff.Batch, now float64) {
	out := outgoingBatch{batch, batch.Append(nil, now), now}
	select {
	case a.stream(to).queue <- out:
	default:
		a.dropped.Add(1)
	}
}

// stream returns the stream to a member, and starts it if need be.
func (a *Agent) stream(to string) *peerStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.streams[to]; s != nil {
		return s
	}
	if len(a.streams) >= maxStreams { // most are to members that have left
		for name, old := range a.streams {
			close(old.queue)
			delete(a.streams, name)
			break
		}
	}
	s := &peerStream{to: to, queue: make(chan outgoingBatch, streamQueue), wake: make(chan struct{}, 1)}
	a.streams[to] = s
	go s.run(a)
	return s
}

// run sends what is queued, until the queue is closed or the agent stops.
func (s *peerStream) run(a *Agent) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if s.next == nil && !s.receive(a, alarm) {
			return
		}
		if first := s.next; first != nil {
			s.next = nil
			if first.tooOld(a.clock.Now()) {
				a.dropped.Add(1)
			} else {
				s.send(a, *first)
			}
		}
		if due := s.expire(a); due > 0 {
			alarm.Reset(time.Duration((due - a.clock.Now()) * float64(time.Millisecond)))
		}
	}
}

// receive waits for a batch, or for something to do about datagrams. It reports whether the stream goes on.
func (s *peerStream) receive(a *Agent, alarm *time.Timer) bool {
	select {
	case out, open := <-s.queue:
		if !open {
			s.forgetInFlight(a)
			return false
		}
		s.next = &out
	case <-s.wake:
	case <-alarm.C:
	case <-a.stop:
		return false
	}
	return true
}

// send sends a batch, and what waits with it.
func (s *peerStream) send(a *Agent, first outgoingBatch) {
	asDatagram := s.takeDatagram(a, len(first.data)) && fitsDatagram(first.batch)
	room := maxCallBytes
	if asDatagram {
		room = maxDatagramBatch
	}
	merged := s.merge(a, first, room)
	if !asDatagram || !s.sendDatagram(a, merged) {
		s.call(a, merged)
	}
}

func (s *peerStream) takeDatagram(a *Agent, size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return size <= maxDatagramBatch && s.path.takeDatagram(a.clock.Now(), len(s.inFlight))
}

// fitsDatagram reports whether the replies to a batch are short, and nothing in it depends on the whole of what is agreed.
func fitsDatagram(batch *handoff.Batch) bool {
	return !slices.ContainsFunc(batch.Items, func(it handoff.Item) bool { return it.Op == handoff.OpFetch || it.Op == handoff.OpAdopt })
}

// merge puts the queued batches together with the first, up to so many bytes.
func (s *peerStream) merge(a *Agent, first outgoingBatch, room int) outgoingBatch {
	batch := *first.batch
	batch.Items = slices.Clone(batch.Items)
	merged := outgoingBatch{&batch, first.data, first.queuedAt}
	for len(merged.data) < room {
		select {
		case out, open := <-s.queue:
			if !open {
				return merged
			}
			if !mergeable(&merged, &out, room) || out.tooOld(a.clock.Now()) {
				s.next = &out
				return merged
			}
			merged.data = append(merged.data, out.data...) // read as one batch: repeated fields add up, of others the last counts
			batch.Items = append(batch.Items, out.batch.Items...)
		default:
			return merged
		}
	}
	return merged
}

// mergeable reports whether a batch can go with others, of which all have one sender and version of the table.
func mergeable(merged, out *outgoingBatch, room int) bool {
	if out.batch.Version != merged.batch.Version || out.batch.From != merged.batch.From {
		return false
	}
	if room != maxDatagramBatch {
		return true
	}
	return len(merged.data)+len(out.data) <= room && fitsDatagram(out.batch)
}

// sendDatagram sends a batch as a datagram, and reports whether the member has an address for it.
func (s *peerStream) sendDatagram(a *Agent, out outgoingBatch) bool {
	s.resolve(a)
	if !s.addrPort.IsValid() {
		return false
	}
	timeoutMS := float64(answerTimeoutMS)
	if a.copies != nil {
		timeoutMS = diskAnswerTimeoutMS
	}
	number := a.number.Add(1)
	a.inFlight.Store(number, &datagram{out, s, a.clock.Now() + timeoutMS})
	s.mu.Lock()
	s.inFlight = append(s.inFlight, number)
	s.mu.Unlock()
	a.datagrams.Add(1)
	a.transport.SendHandoff(s.addrPort, frame(frameBatch, number, out.data))
	return true
}

// expire sends by calls the batches whose datagrams were not answered in time. It returns when it is to be called again, or 0.
func (s *peerStream) expire(a *Agent) (due float64) {
	for {
		now := a.clock.Now()
		expired, next := s.takeExpired(a, now)
		if expired == nil {
			return next
		}
		if expired.tooOld(now) {
			a.dropped.Add(1)
		} else {
			s.call(a, expired.outgoingBatch)
		}
	}
}

// takeExpired takes the oldest datagram if its time is over. Else it returns when that will be, or 0.
func (s *peerStream) takeExpired(a *Agent, now float64) (expired *datagram, due float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.inFlight) > 0 {
		d := a.findInFlight(s.inFlight[0])
		if d != nil && now < d.expires {
			return nil, d.expires
		}
		s.dropOldest(a, d, now)
		if d != nil {
			return d, 0
		}
	}
	return nil, 0
}

// dropOldest forgets the oldest datagram, which is nil if it was answered. s.mu is held.
func (s *peerStream) dropOldest(a *Agent, d *datagram, now float64) {
	a.inFlight.Delete(s.inFlight[0])
	s.inFlight = append(s.inFlight[:0], s.inFlight[1:]...)
	if d != nil && d.expires > 0 {
		s.path.handle(now, inputUnanswered)
		a.unanswered.Add(1)
	}
}

// forgetInFlight forgets all unanswered datagrams.
func (s *peerStream) forgetInFlight(a *Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.inFlight) > 0 {
		s.dropOldest(a, a.findInFlight(s.inFlight[0]), a.clock.Now())
	}
}

// handleReply takes the reply to a datagram; nil if it is too long for one, so that the batch is to be sent by a call.
func (s *peerStream) handleReply(a *Agent, number uint64, reply *handoff.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := a.findInFlight(number)
	if d == nil {
		return // a repeat, or a call was faster
	}
	s.path.handle(a.clock.Now(), inputAnswered)
	isThis := func(n uint64) bool { return n == number }
	if reply == nil {
		d.expires = 0
		s.inFlight = slices.Insert(slices.DeleteFunc(s.inFlight, isThis), 0, number)
	} else if a.loop.TryPut(dispatch.QueueItem{Message: batchAnswered{s.to, d.batch, reply}}) {
		a.inFlight.Delete(number)
		s.inFlight = slices.DeleteFunc(s.inFlight, isThis)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call sends a batch by a call, and posts the reply.
func (s *peerStream) call(a *Agent, out outgoingBatch) {
	a.calls.Add(1)
	reply := s.exchange(a, out.data)
	select {
	case <-a.stop:
	default:
		a.post(batchAnswered{s.to, out.batch, reply})
	}
}

// exchange calls the member, and returns its reply, or nil.
func (s *peerStream) exchange(a *Agent, data []byte) *handoff.Batch {
	s.resolve(a)
	if s.address == "" {
		a.callsFailed.Add(1)
		time.Sleep(noAddressWait)
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

// resolve looks up the address of the member.
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
