package ledger

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"liftshift/scheduler"
)

const budgetSlotMS = 100 // length of a budgetSlot

// budgetSlot counts the requests received and the retries sent in one interval of budgetSlotMS of log time.
type budgetSlot struct {
	number   int64 // log time divided by budgetSlotMS
	requests int
	retries  int
}

// start returns the log time at which the slot begins.
func (s budgetSlot) start() float64 { return float64(s.number) * budgetSlotMS }

// end returns the log time at which the slot ends.
func (s budgetSlot) end() float64 { return float64(s.number+1) * budgetSlotMS }

// retryBudget counts the requests and retries from which the scheduler computes its retry budget. It counts them in
// slots, so that its size does not grow with the traffic.
type retryBudget struct {
	windowMS float64 // 0: retries are not limited by a budget
	slots    []budgetSlot
	dirty    bool // changed since the last record
}

// slotAt returns the slot of the log time now, which it appends if it does not exist yet.
func (b *retryBudget) slotAt(now float64) *budgetSlot {
	number := int64(now) / budgetSlotMS
	if last := len(b.slots) - 1; last >= 0 && b.slots[last].number >= number {
		return &b.slots[last]
	}
	b.expire(now)
	b.slots = append(b.slots, budgetSlot{number: number})
	return &b.slots[len(b.slots)-1]
}

// expire drops the slots that ended before the window.
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

// restore adds the recorded requests and retries to a StateRestored event, so that the scheduler allows no more
// retries than before the restart. Retries get the latest time at which they can have been sent, and requests the
// earliest at which they can have been received. Requests are left out if it is unknown how long ago that was. After
// a crash the rest of the budget counts as used, because the records of the last retries may not have reached the
// disk. Requests whose records are missing would only have added to the budget.
func (b *retryBudget) restore(l *Ledger, ev *scheduler.Event, elapsed interval, crashed bool) {
	if b.windowMS <= 0 {
		return
	}
	unused := b.unused(l)
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
	for range unused {
		ev.Retries = append(ev.Retries, l.callerNow)
		b.countRetry(l.now)
	}
}

// unused returns the largest number of further retries that the budget allows by the recorded slots.
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

func (b *retryBudget) decode(record *decodedRecord) {
	b.slots = b.slots[:0]
	for packed := record.texts[fieldSlots]; len(packed) > 0; {
		var values [3]uint64
		for i := range values {
			value, length := protowire.ConsumeVarint(packed)
			if length < 0 {
				return
			}
			values[i], packed = value, packed[length:]
		}
		b.slots = append(b.slots, budgetSlot{number: int64(values[0]), requests: int(values[1]), retries: int(values[2])})
	}
}
