package ledger

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"liftshift/scheduler"
)

const budgetSlotMS = 100

// budgetSlot counts the requests received and the retries sent in one slot of log time.
type budgetSlot struct {
	number   int64 // log time divided by budgetSlotMS
	requests int
	retries  int
}

// start returns the log time at which the slot begins.
func (s budgetSlot) start() float64 { return float64(s.number) * budgetSlotMS }

// end returns the log time at which the slot ends.
func (s budgetSlot) end() float64 { return float64(s.number+1) * budgetSlotMS }

// retryBudget counts what the scheduler's retry budget is computed from, in slots, so that its size does not grow with the
// traffic.
type retryBudget struct {
	windowMS float64 // 0: there is no budget
	slots    []budgetSlot
	dirty    bool // changed since the last record
}

// slotAt returns the slot of a log time.
func (b *retryBudget) slotAt(now float64) *budgetSlot {
	number := int64(now) / budgetSlotMS
	if last := len(b.slots) - 1; last >= 0 && b.slots[last].number >= number {
		return &b.slots[last]
	}
	b.expire(now)
	b.slots = append(b.slots, budgetSlot{number: number})
	return &b.slots[len(b.slots)-1]
}

// expire drops the slots that lie wholly before the window.
func (b *retryBudget) expire(now float64) {
	expired := 0
	for expired < len(b.slots) && b.slots[expired].end() < now-b.windowMS {
		expired++
	}
	b.slots = b.slots[:copy(b.slots, b.slots[expired:])]
}

func (b *retryBudget) countRequest(now float64) {
	if b.windowMS > 0 {
		b.slotAt(now).requests++
		b.dirty = true
	}
}

func (b *retryBudget) countRetry(now float64) {
	if b.windowMS > 0 {
		b.slotAt(now).retries++
		b.dirty = true
	}
}

// restore tells the scheduler what is used of the budget. Retries are dated as late as they can have been, requests as early.
// After a crash the budget that the records leave for the time since counts as used up, because the last retries may not have
// reached the disk. Requests of that time, lost or not, earned at most a share of what is counted here.
func (b *retryBudget) restore(l *Ledger, ev *scheduler.Event, elapsed interval, crashed bool) {
	if b.windowMS <= 0 {
		return
	}
	left := b.unused(l)
	b.expire(l.now)
	for _, s := range b.slots {
		early := s.start() - l.clockOffset
		late := min(s.end()-l.clockOffset, l.callerNow)
		for range s.retries {
			ev.Retries = append(ev.Retries, late)
		}
		for range s.requests {
			if elapsed.max == elapsed.min {
				ev.Arrivals = append(ev.Arrivals, early)
			}
		}
	}
	if !crashed || l.incarnation.startedAt == 0 {
		return
	}
	for range left {
		ev.Retries = append(ev.Retries, l.callerNow)
		b.countRetry(l.now)
	}
}

// unused returns how many retries the slots on record leave at most.
func (b *retryBudget) unused(l *Ledger) int {
	earned, used := l.settings.RetryBudget.Floor, 0
	for _, s := range b.slots {
		earned += l.settings.RetryBudget.Share * float64(s.requests)
		if s.start() >= l.now-b.windowMS {
			used += s.retries
		}
	}
	return int(max(0, math.Ceil(earned-float64(used))))
}

var retryBudgetKey = recordKey('r', "")

func (l *Ledger) persistRetryBudget() {
	l.retryBudget.dirty = false
	l.retryBudget.expire(l.now)
	w := l.newRecord(kindRetryBudget)
	packed := make([]byte, 0, 16*len(l.retryBudget.slots))
	for _, s := range l.retryBudget.slots {
		packed = protowire.AppendVarint(packed, uint64(s.number))
		packed = protowire.AppendVarint(packed, uint64(s.requests))
		packed = protowire.AppendVarint(packed, uint64(s.retries))
	}
	w.bytes(fieldSlots, packed)
	w.persist(retryBudgetKey, 0)
}

func (b *retryBudget) decode(r *decodedRecord) {
	b.slots = b.slots[:0]
	for packed := r.texts[fieldSlots]; len(packed) > 0; {
		var values [3]uint64
		for i := range values {
			n, used := protowire.ConsumeVarint(packed)
			if used < 0 {
				return
			}
			values[i], packed = n, packed[used:]
		}
		b.slots = append(b.slots, budgetSlot{number: int64(values[0]), requests: int(values[1]), retries: int(values[2])})
	}
}
