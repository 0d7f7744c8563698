package handoff

import (
	"bytes"
	"slices"

	"liftshift/internal/placement"
)

// kept is a copy that this controller keeps for another, or for itself.
type kept struct {
	Copy
	key     Key
	state   state
	expires float64
	before  *Copy // what ended, and would count again if this one is withdrawn
	handed  bool  // its owner took it over: from the one before, or from what was known to others alone
	tries   uint64
	pointer bool // its ID stands for its Mark, nothing more
	bytes   int  // of its work and answer, as counted
}

// words takes what another member says, and answers it.
func (e *Estate) words(ev *Event) {
	b := ev.Batch
	back := &Batch{From: e.self}
	if e.table != nil {
		back.Version, back.Step = e.table.Version, e.table.Step
	}
	switch {
	case !e.chaired(), b.Version > e.table.Version, b.Step > e.table.Step:
		e.do(Effect{Kind: Refresh})
		back.Behind = true
	case b.Version < e.table.Version:
		back.Behind = true
	default:
		room := pageBytes * 4
		for k := range b.Items {
			it := e.word(b.From, &b.Items[k])
			if it.Op == Page {
				for c := range it.Copies {
					room -= len(it.Copies[c].Body) + len(it.Copies[c].Answer)
				}
				if room < 0 { // the rest is asked for again
					it = Item{Op: Refused, Why: "busy"}
				}
			}
			back.Items = append(back.Items, it)
		}
	}
	e.do(Effect{Kind: Answer, Token: ev.Token, Batch: back})
}

func refused(why string) Item { return Item{Op: Refused, Why: why} }

// newHere is why an answer counts for nothing yet: this chair does not know all that those before it knew.
const newHere = "new here"

// noLease is why a chair says nothing: it may be one that is lost.
const noLease = "no lease"

// word takes one item and gives the answer, and says so where it may be wrong for want of what is still being copied.
func (e *Estate) word(from Member, it *Item) Item {
	back := e.take(from, it)
	part := it.Key.Part()
	if it.Op == Pull {
		part = it.Part
	}
	if back.Op != Refused && !e.knowing(part) {
		back.Why = newHere
	}
	return back
}

// knowing tells whether this controller's chair in a part knows all that was said there.
func (e *Estate) knowing(part int) bool {
	p := &e.table.Parts[part]
	is := func(c placement.Chair) bool { return c.Name == e.self.Name && c.Life == e.self.Life }
	if slices.ContainsFunc(p.Was, is) {
		return true
	}
	c := e.chair(part)
	return c != nil && c.Ready
}

// take takes one item. What is refused here counts for nothing: a chair whose lease is over may be one that is lost, whose place another
// has taken already.
func (e *Estate) take(from Member, it *Item) Item {
	owner, part := from, it.Key.Part()
	if it.From.Name == from.Name && it.Op != Take && it.Op != Pull {
		owner = it.From // a life that this sender had before
	}
	if it.Op == Pull {
		part = it.Part
	}
	if part < 0 || part >= placement.Parts || !e.sat(part) {
		return refused("not here")
	}
	if !e.held {
		return refused(noLease)
	}
	k := e.copies[it.Key]
	if it.Op == Ask {
		return e.knows(k)
	}
	if it.Op == Pull {
		return e.page(it)
	}
	if e.lost(owner) {
		if it.Op == Close && k != nil && k.Owner == owner && (k.state == orphaned || k.state == claimed) && it.Outcome == Handled {
			e.counts.Late++ // it did run, and nobody has gone on with it
			return e.end(k, it)
		}
		if it.Op == Close && it.Outcome == Handled && it.Copy != nil && k != nil && k.ID == it.Copy.ID && k.state == settled && k.Outcome == WrittenOff {
			e.counts.Late++ // what was written off, as nobody knew, was handled while its owner held its lease
			k.Number, k.Outcome, k.Answer, k.Standing = max(k.Number, it.Number), Handled, it.Answer, Ran
			e.save(k)
			return Item{Op: Kept}
		}
		if k != nil {
			return e.knows(k)
		}
		return refused("lost")
	}
	switch it.Op {
	case Register:
		return e.register(k, owner, it)
	case Take:
		return e.handOver(k, from, it)
	case Mind:
		return e.mind(k, it)
	}
	return e.update(k, owner, it)
}

// update takes a later word of a search: a shot, its end, or that it was never more than asked for.
func (e *Estate) update(k *kept, owner Member, it *Item) Item {
	switch {
	case k == nil && it.Op == Withdraw, k != nil && !k.state.open() && it.Number <= k.Number:
		return Item{Op: Kept}
	case k != nil && k.state.open() && k.Owner != owner && !(e.lost(k.Owner) && it.Op == Close && it.Copy != nil && it.Number > k.Number):
		return e.knows(k)
	case k == nil || k.Owner != owner || !k.state.open(): // one that is not known here, or known from before alone
		if it.Op != Close || it.Copy == nil {
			return Item{Op: Lacking}
		}
		if k == nil {
			k = e.enter(it.Key, it.Copy)
		} else {
			if k.state.open() { // what a lost one had is behind this by a quorum's word
				e.unlist(k)
				e.counts.Dropped++
			}
			k.Copy, k.before = *it.Copy, nil
		}
		k.Owner, k.state = owner, held
		e.begin(k)
		return e.end(k, it)
	case it.Op == Close:
		return e.end(k, it)
	case it.Number < k.Number: // overtaken
	case it.Op == Withdraw:
		switch {
		case k.state == held && (k.Standing == Clear || k.before != nil):
			e.withdraw(k)
		case k.state == adopted && k.handed && it.Number == k.Number:
			e.handBack(k)
		}
	case it.Number > k.Number:
		k.Sure = true
		if k.handed { // its owner goes on with it
			k.handed, k.before = false, nil
		}
		k.Number, k.Standing, k.First, k.Place, k.Cell = it.Number, it.Standing, it.First, it.Place, it.Cell
		e.save(k)
	}
	return Item{Op: Kept}
}

// knows tells what there is of a key, without its work.
func (e *Estate) knows(k *kept) Item {
	if k == nil || k.state == dropped {
		return Item{Op: None}
	}
	c := k.Copy
	c.Body, c.Whole = nil, false
	if k.pointer {
		return Item{Op: Known, Copy: &Copy{Work: Work{ID: k.ID, Mark: k.Mark}, Outcome: Unknown}}
	}
	return Item{Op: Known, Copy: &c}
}

// register takes a search that its owner wants to have.
func (e *Estate) register(k *kept, owner Member, it *Item) Item {
	switch {
	case it.Copy == nil || !it.Copy.Whole:
		return refused("nothing in it")
	case k == nil:
		if len(e.copies) >= e.most || e.bytes+len(it.Copy.Body) > mostBytes {
			return refused("full")
		}
		k = e.enter(it.Key, it.Copy)
		k.Owner = owner
		e.begin(k)
		return Item{Op: Kept}
	case k.Owner == owner && k.state.open():
		if it.Copy.Number > k.Number {
			e.own(k, owner, it.Copy)
		}
		// Said again, it is told again what was before: the first answer may have been lost.
		return Item{Op: Kept, Standing: k.Standing, First: k.First, Place: k.Place, Cell: k.Cell}
	case k.state.open() || k.Standing == Ran && k.Answer != nil:
		return e.knows(k)
	case it.Copy.Number <= k.Number:
		return Item{Op: Higher, Number: k.Number}
	}
	old := k.Copy
	old.Body = nil
	k.pointer = false
	back := Item{Op: Kept, Standing: old.Standing, First: old.First, Place: old.Place, Cell: old.Cell, Number: old.Number}
	k.before = &old
	k.Copy = *it.Copy
	if k.Owner = owner; old.Standing > k.Standing {
		k.Standing, k.First, k.Place, k.Cell = old.Standing, old.First, old.Place, old.Cell
	}
	e.play(k, returns)
	return back
}

// enter makes a copy, which no list knows yet.
func (e *Estate) enter(key Key, c *Copy) *kept {
	k := &kept{Copy: *c, key: key}
	e.copies[key] = k
	return k
}

// begin counts a copy among those that are open.
func (e *Estate) begin(k *kept) {
	e.counts.Held++
	e.list(k)
	e.extend(k)
	e.save(k)
}

func (e *Estate) list(k *kept) {
	set := e.owners[k.Owner]
	if set == nil {
		set = &owned{}
		e.owners[k.Owner] = set
	}
	part := k.key.Part()
	if set.parts[part] == nil {
		set.parts[part] = map[Key]*kept{}
	}
	if _, there := set.parts[part][k.key]; !there {
		set.n++
	}
	set.parts[part][k.key] = k
	set.told[part] = untold
}

// owned are the open copies of one life, by part: what is done for a part does not go through all.
type owned struct {
	parts [placement.Parts]map[Key]*kept
	n     int
	told  [placement.Parts]heardOf // what all of a part have heard of the loss of their owner
}

// heardOf is what copies have heard.
type heardOf uint8

const (
	untold heardOf = iota
	toldLost
	toldClaimed
)

func told(claimed bool) heardOf {
	if claimed {
		return toldClaimed
	}
	return toldLost
}

// of gives those of a part; nobody has none.
func (o *owned) of(part int) map[Key]*kept {
	if o == nil {
		return nil
	}
	return o.parts[part]
}

// mask has the parts in which there are some.
func (o *owned) mask() (mask uint32) {
	for part := range placement.Parts {
		if len(o.of(part)) > 0 {
			mask |= 1 << part
		}
	}
	return mask
}

func (e *Estate) unlist(k *kept) {
	if set, part := e.owners[k.Owner], k.key.Part(); set != nil && set.parts[part][k.key] != nil {
		delete(set.parts[part], k.key)
		if set.n--; set.n == 0 {
			delete(e.owners, k.Owner)
		}
	}
}

// own takes a later whole copy.
func (e *Estate) own(k *kept, owner Member, c *Copy) {
	e.unlist(k)
	k.Copy = *c
	if k.Owner = owner; k.handed {
		k.before, k.handed = nil, false
	}
	if b := k.before; b != nil && b.Standing > k.Standing { // its owner may not have heard of that yet
		k.Standing, k.First, k.Place, k.Cell = b.Standing, b.First, b.Place, b.Cell
	}
	e.list(k)
	e.extend(k)
	e.save(k)
}

// end takes what became of a search.
func (e *Estate) end(k *kept, it *Item) Item {
	if !k.state.open() {
		if it.Number > k.Number {
			k.Number = it.Number
		}
		return Item{Op: Kept}
	}
	e.unlist(k)
	k.Number, k.Outcome, k.Answer, k.before, k.handed = max(it.Number, k.Number), it.Outcome, it.Answer, nil, false
	k.Standing, k.First, k.Place, k.Cell = it.Standing, it.First, it.Place, it.Cell
	k.Body, k.Whole = nil, false
	e.play(k, ends)
	if m := e.mine[k.key]; m != nil && m.adopted && m.phase != finishing && m.Owner != k.Owner {
		e.finish(m) // it is being taken over here, and has ended
	}
	e.extend(k)
	e.save(k)
	return Item{Op: Kept}
}

func (e *Estate) countEnd(k *kept) {
	if k.Outcome == WrittenOff {
		e.counts.Failed++
	} else {
		e.counts.Settled++
	}
}

func (e *Estate) countTaken(*kept) {
	e.counts.Adopted++
	e.counts.Held++
}

// withdraw has it that one was never more than asked for: what was before counts again.
func (e *Estate) withdraw(k *kept) {
	if k.before == nil {
		e.play(k, retires)
		return
	}
	e.unlist(k)
	e.counts.Dropped++
	k.Copy, k.before, k.state = *k.before, nil, settled
	e.extend(k)
	e.save(k)
}

// handBack has it that an heir could not have a search after all: what it was taken from counts again.
func (e *Estate) handBack(k *kept) {
	if k.before == nil {
		e.play(k, retires)
		return
	}
	e.unlist(k)
	e.counts.Dropped++
	k.Copy, k.before, k.handed, k.state = *k.before, nil, false, held
	e.counts.Held++
	e.list(k)
	e.extend(k)
	e.save(k)
	if e.lost(k.Owner) {
		e.play(k, loses)
		if _, _, claim := e.table.HeirOf(k.Owner.Name, k.Owner.Life, k.key.Part()); claim {
			e.play(k, claims)
		}
	}
}

// drop forgets a copy.
func (e *Estate) drop(k *kept) {
	if e.owners[k.Owner].of(k.key.Part())[k.key] == k {
		e.unlist(k)
		e.counts.Dropped++
	}
	delete(e.copies, k.key)
	e.bytes -= k.bytes
	if !k.Light {
		e.do(Effect{Kind: Keep, Key: k.key})
	}
}

// handOver has it that an heir goes on with what it has claimed.
func (e *Estate) handOver(k *kept, from Member, it *Item) Item {
	heir, life, claim := e.table.HeirOf(it.From.Name, it.From.Life, it.Key.Part())
	if !claim || heir != from.Name || life != from.Life || it.Copy == nil {
		return refused("not claimed")
	}
	switch {
	case k == nil:
		k = e.enter(it.Key, it.Copy)
		k.Owner, k.state, k.handed = from, adopted, true
		e.begin(k)
	case k.Owner == from && k.state.open():
	case k.state.open() && k.Owner == it.From:
		if better(&k.Copy, it.Copy) && k.Number >= it.Copy.Number && !it.More {
			return e.knows(k)
		}
		e.unlist(k)
		work, was := k.Work, k.Copy
		k.before, k.handed = &was, true
		k.Copy = *it.Copy
		if k.Owner = from; !k.Whole {
			k.Work, k.Whole = work, true
		}
		e.list(k)
		e.play(k, takes)
		e.extend(k)
		e.save(k)
	case k.state == settled && k.Number+1 < it.Copy.Number && !(k.Standing == Ran && it.Copy.Standing != Ran):
		k.Copy = *it.Copy
		k.Owner, k.state = from, adopted
		e.begin(k)
	default:
		return e.knows(k)
	}
	return Item{Op: Kept}
}

// mind keeps which mark an id stands for.
func (e *Estate) mind(k *kept, it *Item) Item {
	if k == nil && it.Copy != nil && len(e.copies) < e.most {
		k = e.enter(it.Key, it.Copy)
		k.pointer, k.state, k.Light = true, settled, false
		e.extend(k)
	}
	return Item{Op: Kept}
}

// page gives copies of a part, in the order of their keys.
func (e *Estate) page(it *Item) Item {
	var keys []Key
	if it.From.Name != "" {
		for key := range e.owners[it.From].of(it.Part) {
			if bytes.Compare(key[:], it.After[:]) > 0 {
				keys = append(keys, key)
			}
		}
	} else {
		for key, k := range e.copies {
			if key.Part() == it.Part && !k.pointer && bytes.Compare(key[:], it.After[:]) > 0 {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	back := Item{Op: Page, Part: it.Part}
	size := 0
	for n, key := range keys {
		k := e.copies[key]
		if size += 200 + len(k.Body) + len(k.Answer); n > 0 && (n >= pageItems || size > pageBytes) {
			back.More = true
			break
		}
		back.Copies = append(back.Copies, k.Copy)
		back.After = key
	}
	return back
}

// absorb takes a copy that another chair keeps.
func (e *Estate) absorb(c *Copy) {
	key := KeyOf(c.Mark, c.ID)
	k := e.copies[key]
	if k != nil && !better(c, &k.Copy) {
		if k.Owner == c.Owner && k.Number == c.Number && c.Standing != Clear {
			k.First = min(k.First, c.First) // one that heard of it late holds it for younger than it is
		}
		return
	}
	if k != nil && k.state.open() && !e.lost(k.Owner) && e.lost(c.Owner) {
		return // somebody living has it by now, with all that counted
	}
	e.counts.Pulled++
	if k == nil {
		k = e.enter(key, c)
	} else {
		if k.state.open() {
			e.unlist(k)
			e.counts.Dropped++ // counted anew as what it is by now
		}
		body := k.Body
		k.Copy, k.before = *c, nil
		if !k.Whole && body != nil && c.Outcome == Open {
			k.Body, k.Whole = body, true
		}
	}
	if c.Outcome != Open {
		k.state = settled
		e.extend(k)
		e.save(k)
		return
	}
	k.state = held
	e.begin(k)
	if e.lost(k.Owner) {
		e.play(k, loses)
	}
}

// read takes a copy that was on this holder's disk. Nobody knows how long ago it was written: it proves what has run, and is never a
// reason to send anything.
func (e *Estate) read(c *Copy) {
	c.Until = e.now
	if c.Standing != Clear {
		c.First = longAgo
	}
	e.absorb(c)
}

// extend says how long a copy is kept: one with a mark, for as long as that may come again.
func (e *Estate) extend(k *kept) {
	e.bytes -= k.bytes
	k.bytes = len(k.Body) + len(k.Answer)
	e.bytes += k.bytes
	o := e.offering(k.Offering)
	at := k.Until
	switch {
	case k.Light:
		at += sureMS
	case o != nil && k.Mark != "":
		at = max(at, k.First+o.window) + e.remember
	default:
		at += e.remember
	}
	if at = max(at, e.now+1); at <= k.expires {
		return
	}
	first := k.expires == 0
	k.expires = at
	if first {
		s := int64(at/1000) + 1
		e.wheel[s] = append(e.wheel[s], k.key)
	}
}

// sweep lets go what nobody can ask for any more.
func (e *Estate) sweep() {
	upTo := int64(e.now / 1000)
	if e.swept == 0 {
		e.swept = upTo - 1
	}
	for ; e.swept < upTo; e.swept++ {
		s := e.swept + 1
		for _, key := range e.wheel[s] {
			k := e.copies[key]
			switch {
			case k == nil:
			case k.expires > e.now:
				later := max(s+1, int64(k.expires/1000)+1)
				e.wheel[later] = append(e.wheel[later], key)
			default:
				e.play(k, retires)
			}
		}
		delete(e.wheel, s)
	}
}

// save has a copy last, on a holder that keeps them on disk. What may simply run again is not worth it.
func (e *Estate) save(k *kept) {
	if !k.Light {
		e.do(Effect{Kind: Keep, Key: k.key, Copy: &k.Copy, Version: uint64(k.expires)})
	}
}

// release has it that an operator gives a search up: nobody goes on with it.
func (e *Estate) release(id string) {
	n := 0
	for _, k := range e.copies {
		if (k.ID == id || k.Mark == id) && (k.state == orphaned || k.state == claimed) {
			e.end(k, &Item{Number: k.Number + 1, Outcome: WrittenOff, Standing: k.Standing, First: k.First, Place: k.Place, Cell: k.Cell})
			n++
		}
	}
	e.do(Effect{Kind: Note, Text: "given up by an operator", ID: id, Count: n})
}
