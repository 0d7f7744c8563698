package quota

// pressing is what is done to a search's priority.
type pressing uint8

const (
	free pressing = iota
	down
	stays // never pressed: it holds its table group, and would hold it longer
)

// pressure is what is seen of the teams.
type pressure uint8

const (
	short pressure = iota // a team that waits has less than it is due, for long enough
	calm                  // none has been for long enough
)

// pressTable says what becomes of a running search of a team that uses more than it is due, or of any that is down.
var pressTable = []struct {
	state  pressing
	input  pressure
	next   pressing
	effect EffectKind
}{
	{free, short, down, CapPriority},
	{down, calm, free, UncapPriority},
}

// press looks whether a team that waits is short of what it is due, and then holds down what runs for those that use
// more, the latest first, until that makes up for what they use too much; it eases them when nobody has been short for
// a while. A search is changed once a second at most, and all together fifty times a second.
func (t *Tree) press() {
	lacking := false
	for k := 1; k < len(t.nodes); k++ {
		n := &t.nodes[k]
		lacking = lacking || len(n.kids) == 0 && n.queued > 0 && n.blocked == open && n.threads < hungry*t.dueThreads(n)
	}
	switch {
	case lacking && t.shortAt == 0:
		t.shortAt, t.calmAt = t.now, 0
	case !lacking && t.calmAt == 0:
		t.shortAt, t.calmAt = 0, t.now
	}
	switch {
	case t.shortAt > 0 && t.now-t.shortAt >= pressMS:
		t.turn(short)
	case t.calmAt > 0 && t.now-t.calmAt >= easeMS && t.pressed:
		t.turn(calm)
	}
}

// turn plays what is seen to what runs.
func (t *Tree) turn(in pressure) {
	over := map[int32]float64{} // threads of a team that are to be pressed
	if in == short {
		for k := 1; k < len(t.nodes); k++ {
			n := &t.nodes[k]
			if due := t.dueThreads(n); len(n.kids) == 0 && n.threads > greedy*due {
				over[int32(k)] = n.threads - due
			}
		}
	}
	still := false
	for p := t.runs.last; p != none; p = t.slab.at(p).links[inRun].prev {
		s := t.slab.at(p)
		o := &t.offerings[s.offering]
		if o.holds {
			s.press = stays
		}
		if s.press == down && in == short {
			over[s.leaf] -= o.threads
		}
		if in == short && s.press == free && over[s.leaf] < o.threads {
			continue
		}
		for _, r := range pressTable {
			if r.state != s.press || r.input != in {
				continue
			}
			if t.now-s.changed < changeMS || t.now-t.changedAt < changesMS && t.changedAt > 0 {
				still = true
				break
			}
			s.press, s.changed, t.changedAt = r.next, t.now, max(t.changedAt+changesMS, t.now-200)
			if over[s.leaf] -= o.threads; r.effect == CapPriority {
				t.counts.Capped++
				t.nodes[s.leaf].pressed++
				t.pressed = true
				t.do(Effect{Kind: CapPriority, ID: s.id, PriorityCap: pressedTo, MemoryShare: lendMemory})
			} else {
				t.counts.Uncapped++
				t.nodes[s.leaf].pressed--
				t.do(Effect{Kind: UncapPriority, ID: s.id})
			}
			break
		}
	}
	if in == calm {
		t.pressed = still
	}
}
