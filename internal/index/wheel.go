package index

import "math/bits"

const (
	wheelBits         = 6                    // log2 of the slots per wheel
	wheelLevels       = 5                    // number of wheels; they span 64^5 ticks, about 4 years
	tickMS            = 128                  // length of a tick in ms
	maxTicksPerExpire = 1 << (2 * wheelBits) // 9 minutes; after a longer pause Expire checks entries instead of ticks
)

// wheelSlotAt returns the slot of a tick on the wheel of a level, as an index into Table.wheels.
func wheelSlotAt(level int, tick int64) uint16 {
	return uint16(level<<wheelBits | int(tick>>(wheelBits*level))&(1<<wheelBits-1))
}

// link adds an entry to the timing wheel. Its level is that of the highest digit, in base 64, in which the tick of its
// expiry differs from the current tick. An entry that never expires is on no wheel.
func (t *Table[V]) link(place uint32) {
	e := t.entry(place)
	if e.expires == 0 {
		e.wheelSlot = slotNone
		return
	}
	due := max(e.expires/tickMS+1, t.currentTick+1) // the first tick at which the entry has certainly expired
	level := 0
	if diff := uint64(due ^ t.currentTick); diff != 0 {
		level = min(wheelLevels-1, (bits.Len64(diff)-1)/wheelBits)
	}
	if level == wheelLevels-1 {
		// An entry beyond the range of the wheels goes to the last slot of the outermost wheel and is linked again
		// when that slot comes due.
		due = min(due, t.currentTick+1<<(wheelBits*wheelLevels)-1<<(wheelBits*(wheelLevels-1)))
	}
	slot := wheelSlotAt(level, due)
	e.wheelSlot = slot
	e.prev, e.next = 0, t.wheels[slot]
	if e.next != 0 {
		t.entry(e.next - 1).prev = place + 1
	}
	t.wheels[slot] = place + 1
}

// unlink removes an entry from the list of its wheel slot.
func (t *Table[V]) unlink(place uint32) {
	e := t.entry(place)
	if e.wheelSlot == slotNone {
		return
	}
	if e.prev != 0 {
		t.entry(e.prev - 1).next = e.next
	} else {
		t.wheels[e.wheelSlot] = e.next
	}
	if e.next != 0 {
		t.entry(e.next - 1).prev = e.prev
	}
	e.next, e.prev = 0, 0
}

// Expire removes the entries that have expired by now, in ms. An entry may stay up to two ticks beyond its time. Each
// is passed to onExpire before it is removed; onExpire may be nil and must not access the table.
func (t *Table[V]) Expire(now int64, onExpire func(Key, *V)) {
	target := now / tickMS
	if t.count == 0 {
		t.currentTick = max(t.currentTick, target)
		return
	}
	if target-t.currentTick > maxTicksPerExpire {
		t.skipTo(target, now, onExpire)
	}
	for t.currentTick < target {
		t.currentTick++
		level := 0
		for level < wheelLevels-1 && t.currentTick&(1<<(wheelBits*(level+1))-1) == 0 {
			level++
		}
		for ; level >= 0; level-- { // entries of an outer wheel move to an inner wheel or expire
			t.expireSlot(wheelSlotAt(level, t.currentTick), now, onExpire)
		}
	}
}

// skipTo advances the wheels to the target tick in one step and links or expires every entry anew.
func (t *Table[V]) skipTo(target, now int64, onExpire func(Key, *V)) {
	t.currentTick = target
	clear(t.wheels[:])
	for place := range t.placesUsed {
		e := t.entry(place)
		if e.wheelSlot == slotFree || e.wheelSlot == slotNone {
			continue
		}
		e.next, e.prev = 0, 0
		t.expireOrLink(place, now, onExpire)
	}
}

// expireSlot empties a wheel slot: each of its entries expires or moves to another slot.
func (t *Table[V]) expireSlot(slot uint16, now int64, onExpire func(Key, *V)) {
	next := t.wheels[slot]
	t.wheels[slot] = 0
	for next != 0 {
		place := next - 1
		e := t.entry(place)
		next = e.next
		e.next, e.prev = 0, 0
		t.expireOrLink(place, now, onExpire)
	}
}

// expireOrLink removes an entry that is on no wheel if it has expired, and links it to a wheel otherwise.
func (t *Table[V]) expireOrLink(place uint32, now int64, onExpire func(Key, *V)) {
	e := t.entry(place)
	e.wheelSlot = slotNone
	if e.expires > now || e.expires/tickMS+1 > t.currentTick {
		t.link(place)
		return
	}
	if onExpire != nil {
		onExpire(e.key, &e.value)
	}
	slot, _ := t.find(&e.key)
	t.remove(slot)
}
