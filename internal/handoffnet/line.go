package handoffnet

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
)

// A datagram is its kind, a number of 8 bytes that its answer bears, too, and a batch.
const (
	wordsKind  = 'w'
	answerKind = 'a'
	callKind   = 'c' // the answer is too long for one: ask by a call
	headBytes  = 9
	mostSmall  = clusternet.MaxHandoffDatagram - headBytes
	overDiskMS = 150 // in place of overMS where answers wait for disks
)

// said is a batch that waits for its way.
type said struct {
	batch *handoff.Batch
	data  []byte
	at    float64
}

// flight is what went as a datagram.
type flight struct {
	said
	line *line
	over float64 // when it goes again, by a call
}

// reply is an answer to a datagram.
type reply struct {
	to   netip.AddrPort
	data []byte
}

// line carries what is said to one member.
type line struct {
	to   string
	in   chan said
	poke chan struct{}

	// Of its goroutine.
	next    *said
	address string
	at      netip.AddrPort

	mu    sync.Mutex
	lane  lane
	under []uint64 // flights, the oldest first
}

// say lines up a batch for a member; it never waits.
func (t *Agent) say(to string, b *handoff.Batch, now float64) {
	s := said{b, b.Append(nil, now), now}
	select {
	case t.line(to).in <- s:
	default:
		t.Dropped.Add(1)
	}
}

func (t *Agent) line(to string) *line {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[to]
	if l == nil {
		if len(t.lines) >= mostLines { // members that were
			for name, old := range t.lines {
				close(old.in)
				delete(t.lines, name)
				break
			}
		}
		l = &line{to: to, in: make(chan said, lineRoom), poke: make(chan struct{}, 1)}
		t.lines[to] = l
		go l.run(t)
	}
	return l
}

// run carries a line.
func (l *line) run(t *Agent) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if l.next == nil {
			select {
			case s, open := <-l.in:
				if !open {
					l.overdue(t, true)
					return
				}
				l.next = &s
			case <-l.poke:
			case <-alarm.C:
			case <-t.stop:
				return
			}
		}
		if first := l.next; first != nil {
			if l.next = nil; t.clock.Now() > first.at+staleMS {
				t.Dropped.Add(1)
			} else {
				l.carry(t, *first)
			}
		}
		if next := l.overdue(t, false); next > 0 {
			alarm.Reset(time.Duration((next - t.clock.Now()) * float64(time.Millisecond)))
		}
	}
}

// carry sends a batch, and what waits with it.
func (l *line) carry(t *Agent, first said) {
	l.mu.Lock()
	fits := len(first.data) <= mostSmall && l.lane.takes(t.clock.Now(), len(l.under))
	l.mu.Unlock()
	room := mostBatch
	if fits && short(first.batch) {
		room = mostSmall
	}
	all := l.gather(t, first, room)
	if room == mostBatch || !l.fly(t, all) {
		l.call(t, all)
	}
}

// short tells whether a batch's answers are short, and nothing in it depends on the whole of what was agreed.
func short(b *handoff.Batch) bool {
	return !slices.ContainsFunc(b.Items, func(it handoff.Item) bool { return it.Op == handoff.OpFetch || it.Op == handoff.OpAdopt })
}

// gather puts together what waits, up to so many bytes.
func (l *line) gather(t *Agent, first said, room int) said {
	sent := *first.batch
	sent.Items = slices.Clone(sent.Items)
	all := said{&sent, first.data, first.at}
	for len(all.data) < room {
		select {
		case s, open := <-l.in:
			if !open {
				return all
			}
			if s.batch.Version != sent.Version || s.batch.From != sent.From || t.clock.Now() > s.at+staleMS ||
				room == mostSmall && (len(all.data)+len(s.data) > room || !short(s.batch)) {
				l.next = &s
				return all
			}
			all.data = append(all.data, s.data...) // read as one: what repeats adds up, of the rest the last counts
			sent.Items = append(sent.Items, s.batch.Items...)
		default:
			return all
		}
	}
	return all
}

// fly sends a batch as a datagram.
func (l *line) fly(t *Agent, s said) bool {
	if l.resolve(t); !l.at.IsValid() {
		return false
	}
	over := overMS
	if t.copies != nil {
		over = overDiskMS
	}
	n := t.number.Add(1)
	t.flights.Store(n, &flight{s, l, t.clock.Now() + float64(over)})
	l.mu.Lock()
	l.under = append(l.under, n)
	l.mu.Unlock()
	t.Datagrams.Add(1)
	t.carrier.SendHandoff(l.at, frame(wordsKind, n, s.data))
	return true
}

func frame(kind byte, n uint64, data []byte) []byte {
	b := append(make([]byte, 0, headBytes+len(data)), kind)
	return append(binary.BigEndian.AppendUint64(b, n), data...)
}

// overdue has words go again by a call whose datagrams were not answered in time, and gives when it is to be looked again; 0: nothing
// is under way.
func (l *line) overdue(t *Agent, end bool) float64 {
	for {
		now := t.clock.Now()
		l.mu.Lock()
		if len(l.under) == 0 {
			l.mu.Unlock()
			return 0
		}
		v, _ := t.flights.Load(l.under[0])
		f, _ := v.(*flight)
		if f != nil && now < f.over && !end {
			next := f.over
			l.mu.Unlock()
			return next
		}
		t.flights.Delete(l.under[0])
		if l.under = append(l.under[:0], l.under[1:]...); f != nil && f.over > 0 {
			l.lane.play(now, silent)
			t.Unanswered.Add(1)
		}
		l.mu.Unlock()
		switch {
		case f == nil || end: // it was answered
		case now > f.at+staleMS:
			t.Dropped.Add(1)
		default:
			l.call(t, f.said)
		}
	}
}

// landed books an answer. A batch of nil: it is too long for a datagram.
func (l *line) landed(t *Agent, n uint64, back *handoff.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, _ := t.flights.Load(n)
	f, _ := v.(*flight)
	if f == nil {
		return // it came twice, or a call was quicker
	}
	l.lane.play(t.clock.Now(), answered)
	if back == nil {
		f.over = 0
		l.under = slices.Insert(slices.DeleteFunc(l.under, func(u uint64) bool { return u == n }), 0, n)
	} else if t.desk.TryPut(dispatch.QueueItem{Message: answers{l.to, f.batch, back}}) {
		t.flights.Delete(n)
		l.under = slices.DeleteFunc(l.under, func(u uint64) bool { return u == n })
		return
	}
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// call has a batch carried by a call, and brings what comes back.
func (l *line) call(t *Agent, s said) {
	t.Calls.Add(1)
	back := l.ask(t, s.data)
	select {
	case <-t.stop:
	default:
		t.desk.Put(dispatch.QueueItem{Message: answers{l.to, s.batch, back}})
	}
}

// resolve finds where the member is.
func (l *line) resolve(t *Agent) {
	at := ""
	if all := t.addresses.Load(); all != nil {
		at = (*all)[l.to]
	}
	if at != l.address {
		l.address = at
		l.at, _ = netip.ParseAddrPort(at)
	}
}

func (l *line) ask(t *Agent, data []byte) *handoff.Batch {
	if l.resolve(t); l.address == "" {
		t.Failed.Add(1)
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	got, err := t.carrier.CallNow(l.address, clusternet.HandoffMethod, data)
	if err == nil {
		var b *handoff.Batch
		if b, err = handoff.ReadBatch(got, t.clock.Now()); err == nil {
			return b
		}
	}
	t.Failed.Add(1)
	return nil
}

// heardWord takes a datagram; the carriage's goroutine calls it, and it does not wait.
func (t *Agent) heardWord(from netip.AddrPort, data []byte) {
	if len(data) < headBytes {
		return
	}
	n := binary.BigEndian.Uint64(data[1:])
	switch kind, rest := data[0], data[headBytes:]; kind {
	case wordsKind:
		b, err := handoff.ReadBatch(rest, t.clock.Now())
		if err != nil || !short(b) {
			return
		}
		back := func(data []byte, err error) {
			if err != nil {
				return // it is asked again by a call, and told why
			}
			out := frame(answerKind, n, data)
			if len(out) > clusternet.MaxHandoffDatagram {
				out = frame(callKind, n, nil)
			}
			select {
			case t.replied <- reply{from, out}:
			default:
				t.Dropped.Add(1)
			}
		}
		if !t.desk.TryPut(dispatch.QueueItem{Message: words{b, back}}) {
			t.Dropped.Add(1)
		}
	case answerKind, callKind:
		v, _ := t.flights.Load(n)
		f, _ := v.(*flight)
		if f == nil {
			return
		}
		var b *handoff.Batch
		if kind == answerKind {
			var err error
			if b, err = handoff.ReadBatch(rest, t.clock.Now()); err != nil {
				return
			}
		}
		f.line.landed(t, n, b)
	}
}

// answerWords sends the answers to datagrams.
func (t *Agent) answerWords() {
	for {
		select {
		case r := <-t.replied:
			t.carrier.SendHandoff(r.to, r.data)
		case <-t.stop:
			return
		}
	}
}
