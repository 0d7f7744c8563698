package index

import "math/bits"

const (
	wheelBits         = 6 // slots of a wheel: 64
	wheelLevels       = 5 // wheels: 64^5 ticks are 4 years
	tickMS            = 128
	maxTicksPerExpire = 1 << (2 * wheelBits) // 9 minutes; past it all entries are looked at instead of all ticks
)

// wheelSlotAt returns the slot of a wheel at a tick, counted through all wheels.
func wheelSlotAt(level int, tick int64) uint16 {
	return uint16(level<<wheelBits | int(tick>>(wheelBits*level))&(1<<wheelBits-1))
}

// link puts an entry on the wheel that turns as far as its time.
func (t *Table[V]) link(place uint32) {
	e := t.entry(place)
	if e.expires == 0 {
		e.wheelSlot = slotNone
		return
	}
	due := max(e.expires/tickMS+1, t.tick+1) // the first tick at which it has surely expired
	level := 0
	if diff := uint64(due ^ t.tick); diff != 0 {
		level = min(wheelLevels-1, (bits.Len64(diff)-1)/wheelBits)
	}
	if level == wheelLevels-1 { // past the last wheel it waits in its last slot and is looked at again there
		due = min(due, t.tick+1<<(wheelBits*wheelLevels)-1<<(wheelBits*(wheelLevels-1)))
	}
	slot := wheelSlotAt(level, due)
	e.wheelSlot = slot
	e.prev, e.next = 0, t.wheels[slot]
	if e.next != 0 {
		t.entry(e.next - 1).prev = place + 1
	}
	t.wheels[slot] = place + 1
}

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

// Expire removes the entries whose time has come. Each is handed to drop before, which may be nil and must not touch the table.
func (t *Table[V]) Expire(now int64, drop func(Key, *V)) {
	to := now / tickMS
	if t.count == 0 {
		t.tick = max(t.tick, to)
		return
	}
	if to-t.tick > maxTicksPerExpire {
		t.expireFar(to, now, drop)
	}
	for t.tick < to {
		t.tick++
		level := 0
		for level < wheelLevels-1 && t.tick&(1<<(wheelBits*(level+1))-1) == 0 {
			level++
		}
		for ; level >= 0; level-- { // what comes due on an outer wheel goes to an inner one, or expires
			t.expireSlot(wheelSlotAt(level, t.tick), now, drop)
		}
	}
}

// expireFar turns the wheels to a far tick at once.
func (t *Table[V]) expireFar(to, now int64, drop func(Key, *V)) {
	t.tick = to
	clear(t.wheels[:])
	for place := range t.placesUsed {
		e := t.entry(place)
		if e.wheelSlot == slotFree || e.wheelSlot == slotNone {
			continue
		}
		e.next, e.prev = 0, 0
		t.expireOrLink(place, now, drop)
	}
}

func (t *Table[V]) expireSlot(slot uint16, now int64, drop func(Key, *V)) {
	p := t.wheels[slot]
	t.wheels[slot] = 0
	for p != 0 {
		place := p - 1
		e := t.entry(place)
		p = e.next
		e.next, e.prev = 0, 0
		t.expireOrLink(place, now, drop)
	}
}

// expireOrLink removes an entry that was taken off its wheel, or puts it on another one where its time has not come.
func (t *Table[V]) expireOrLink(place uint32, now int64, drop func(Key, *V)) {
	e := t.entry(place)
	e.wheelSlot = slotNone
	if e.expires > now || e.expires/tickMS+1 > t.tick {
		t.link(place)
		return
	}
	if drop != nil {
		drop(e.key, &e.value)
	}
	slot, _ := t.find(&e.key)
	t.remove(slot)
}
