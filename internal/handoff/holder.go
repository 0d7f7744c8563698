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
func (e *Manager) words(ev *Event) {
	b := ev.Batch
	back := &Batch{From: e.self}
	if e.table != nil {
		back.Version, back.PlacementStep = e.table.Version, e.table.Step
	}
	switch {
	case !e.chaired(), b.Version > e.table.Version, b.PlacementStep > e.table.Step:
		e.do(Effect{Kind: RefreshPlacement})
		back.StalePlacement = true
	case b.Version < e.table.Version:
		back.StalePlacement = true
	default:
		room := pageBytes * 4
		for k := range b.Items {
			it := e.word(b.From, &b.Items[k])
			if it.Op == OpPage {
				for c := range it.Copies {
					room -= len(it.Copies[c].Body) + len(it.Copies[c].Answer)
				}
				if room < 0 { // the rest is asked for again
					it = Item{Op: OpRefused, Reason: "busy"}
				}
			}
			back.Items = append(back.Items, it)
		}
	}
	e.do(Effect{Kind: ReplyBatch, Token: ev.Token, Batch: back})
}

func refused(why string) Item { return Item{Op: OpRefused, Reason: why} }

// newHere is why an answer counts for nothing yet: this chair does not know all that those before it knew.
const newHere = "new here"

// noLease is why a chair says nothing: it may be one that is lost.
const noLease = "no lease"

// word takes one item and gives the answer, and says so where it may be wrong for want of what is still being copied.
func (e *Manager) word(from Member, it *Item) Item {
	back := e.take(from, it)
	part := it.Key.Partition()
	if it.Op == OpFetch {
		part = it.Partition
	}
	if back.Op != OpRefused && !e.knowing(part) {
		back.Reason = newHere
	}
	return back
}

// knowing tells whether this controller's chair in a part knows all that was said there.
func (e *Manager) knowing(part int) bool {
	p := &e.table.Partitions[part]
	is := func(c placement.Replica) bool { return c.Name == e.self.Name && c.Incarnation == e.self.Incarnation }
	if slices.ContainsFunc(p.Previous, is) {
		return true
	}
	c := e.chair(part)
	return c != nil && c.Ready
}

// take takes one item. What is refused here counts for nothing: a chair whose lease is over may be one that is lost, whose place another
// has taken already.
func (e *Manager) take(from Member, it *Item) Item {
	owner, part := from, it.Key.Partition()
	if it.From.Name == from.Name && it.Op != OpAdopt && it.Op != OpFetch {
		owner = it.From // a life that this sender had before
	}
	if it.Op == OpFetch {
		part = it.Partition
	}
	if part < 0 || part >= placement.PartitionCount || !e.sat(part) {
		return refused("not here")
	}
	if !e.held {
		return refused(noLease)
	}
	k := e.copies[it.Key]
	if it.Op == OpQuery {
		return e.knows(k)
	}
	if it.Op == OpFetch {
		return e.page(it)
	}
	if e.lost(owner) {
		if it.Op == OpClose && k != nil && k.Owner == owner && (k.state == orphaned || k.state == claimed) && it.Outcome == Succeeded {
			e.counts.AdoptionsLate++ // it did run, and nobody has gone on with it
			return e.end(k, it)
		}
		if it.Op == OpClose && it.Outcome == Succeeded && it.Copy != nil && k != nil && k.ID == it.Copy.ID && k.state == settled && k.Outcome == Failed {
			e.counts.AdoptionsLate++ // what was written off, as nobody knew, was handled while its owner held its lease
			k.Sequence, k.Outcome, k.Answer, k.RunState = max(k.Sequence, it.Sequence), Succeeded, it.Answer, Ran
			e.save(k)
			return Item{Op: OpStored}
		}
		if k != nil {
			return e.knows(k)
		}
		return refused("lost")
	}
	switch it.Op {
	case OpRegister:
		return e.register(k, owner, it)
	case OpAdopt:
		return e.handOver(k, from, it)
	case OpMapID:
		return e.mind(k, it)
	}
	return e.update(k, owner, it)
}

// update takes a later word of a search: a shot, its end, or that it was never more than asked for.
func (e *Manager) update(k *kept, owner Member, it *Item) Item {
	switch {
	case k == nil && it.Op == OpWithdraw, k != nil && !k.state.open() && it.Sequence <= k.Sequence:
		return Item{Op: OpStored}
	case k != nil && k.state.open() && k.Owner != owner && !(e.lost(k.Owner) && it.Op == OpClose && it.Copy != nil && it.Sequence > k.Sequence):
		return e.knows(k)
	case k == nil || k.Owner != owner || !k.state.open(): // one that is not known here, or known from before alone
		if it.Op != OpClose || it.Copy == nil {
			return Item{Op: OpNeedCopy}
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
	case it.Op == OpClose:
		return e.end(k, it)
	case it.Sequence < k.Sequence: // overtaken
	case it.Op == OpWithdraw:
		switch {
		case k.state == held && (k.RunState == NotRun || k.before != nil):
			e.withdraw(k)
		case k.state == adopted && k.handed && it.Sequence == k.Sequence:
			e.handBack(k)
		}
	case it.Sequence > k.Sequence:
		k.Confirmed = true
		if k.handed { // its owner goes on with it
			k.handed, k.before = false, nil
		}
		k.Sequence, k.RunState, k.FirstAttemptAt, k.Zone, k.Cell = it.Sequence, it.RunState, it.FirstAttemptAt, it.Zone, it.Cell
		e.save(k)
	}
	return Item{Op: OpStored}
}

// knows tells what there is of a key, without its work.
func (e *Manager) knows(k *kept) Item {
	if k == nil || k.state == dropped {
		return Item{Op: OpUnknown}
	}
	c := k.Copy
	c.Body, c.Complete = nil, false
	if k.pointer {
		return Item{Op: OpKnown, Copy: &Copy{RequestData: RequestData{ID: k.ID, IdempotencyKey: k.IdempotencyKey}, Outcome: Unknown}}
	}
	return Item{Op: OpKnown, Copy: &c}
}

// register takes a search that its owner wants to have.
func (e *Manager) register(k *kept, owner Member, it *Item) Item {
	switch {
	case it.Copy == nil || !it.Copy.Complete:
		return refused("nothing in it")
	case k == nil:
		if len(e.copies) >= e.most || e.bytes+len(it.Copy.Body) > mostBytes {
			return refused("full")
		}
		k = e.enter(it.Key, it.Copy)
		k.Owner = owner
		e.begin(k)
		return Item{Op: OpStored}
	case k.Owner == owner && k.state.open():
		if it.Copy.Sequence > k.Sequence {
			e.own(k, owner, it.Copy)
		}
		// Said again, it is told again what was before: the first answer may have been lost.
		return Item{Op: OpStored, RunState: k.RunState, FirstAttemptAt: k.FirstAttemptAt, Zone: k.Zone, Cell: k.Cell}
	case k.state.open() || k.RunState == Ran && k.Answer != nil:
		return e.knows(k)
	case it.Copy.Sequence <= k.Sequence:
		return Item{Op: OpNeedHigher, Sequence: k.Sequence}
	}
	old := k.Copy
	old.Body = nil
	k.pointer = false
	back := Item{Op: OpStored, RunState: old.RunState, FirstAttemptAt: old.FirstAttemptAt, Zone: old.Zone, Cell: old.Cell, Sequence: old.Sequence}
	k.before = &old
	k.Copy = *it.Copy
	if k.Owner = owner; old.RunState > k.RunState {
		k.RunState, k.FirstAttemptAt, k.Zone, k.Cell = old.RunState, old.FirstAttemptAt, old.Zone, old.Cell
	}
	e.play(k, returns)
	return back
}

// enter makes a copy, which no list knows yet.
func (e *Manager) enter(key Key, c *Copy) *kept {
	k := &kept{Copy: *c, key: key}
	e.copies[key] = k
	return k
}

// begin counts a copy among those that are open.
func (e *Manager) begin(k *kept) {
	e.counts.CopiesReceived++
	e.list(k)
	e.extend(k)
	e.save(k)
}

func (e *Manager) list(k *kept) {
	set := e.owners[k.Owner]
	if set == nil {
		set = &owned{}
		e.owners[k.Owner] = set
	}
	part := k.key.Partition()
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
	parts [placement.PartitionCount]map[Key]*kept
	n     int
	told  [placement.PartitionCount]heardOf // what all of a part have heard of the loss of their owner
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
	for part := range placement.PartitionCount {
		if len(o.of(part)) > 0 {
			mask |= 1 << part
		}
	}
	return mask
}

func (e *Manager) unlist(k *kept) {
	if set, part := e.owners[k.Owner], k.key.Partition(); set != nil && set.parts[part][k.key] != nil {
		delete(set.parts[part], k.key)
		if set.n--; set.n == 0 {
			delete(e.owners, k.Owner)
		}
	}
}

// own takes a later whole copy.
func (e *Manager) own(k *kept, owner Member, c *Copy) {
	e.unlist(k)
	k.Copy = *c
	if k.Owner = owner; k.handed {
		k.before, k.handed = nil, false
	}
	if b := k.before; b != nil && b.RunState > k.RunState { // its owner may not have heard of that yet
		k.RunState, k.FirstAttemptAt, k.Zone, k.Cell = b.RunState, b.FirstAttemptAt, b.Zone, b.Cell
	}
	e.list(k)
	e.extend(k)
	e.save(k)
}

// end takes what became of a search.
func (e *Manager) end(k *kept, it *Item) Item {
	if !k.state.open() {
		if it.Sequence > k.Sequence {
			k.Sequence = it.Sequence
		}
		return Item{Op: OpStored}
	}
	e.unlist(k)
	k.Sequence, k.Outcome, k.Answer, k.before, k.handed = max(it.Sequence, k.Sequence), it.Outcome, it.Answer, nil, false
	k.RunState, k.FirstAttemptAt, k.Zone, k.Cell = it.RunState, it.FirstAttemptAt, it.Zone, it.Cell
	k.Body, k.Complete = nil, false
	e.play(k, ends)
	if m := e.mine[k.key]; m != nil && m.adopted && m.phase != finishing && m.Owner != k.Owner {
		e.finish(m) // it is being taken over here, and has ended
	}
	e.extend(k)
	e.save(k)
	return Item{Op: OpStored}
}

func (e *Manager) countEnd(k *kept) {
	if k.Outcome == Failed {
		e.counts.Failed++
	} else {
		e.counts.Settled++
	}
}

func (e *Manager) countTaken(*kept) {
	e.counts.Adopted++
	e.counts.CopiesReceived++
}

// withdraw has it that one was never more than asked for: what was before counts again.
func (e *Manager) withdraw(k *kept) {
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
func (e *Manager) handBack(k *kept) {
	if k.before == nil {
		e.play(k, retires)
		return
	}
	e.unlist(k)
	e.counts.Dropped++
	k.Copy, k.before, k.handed, k.state = *k.before, nil, false, held
	e.counts.CopiesReceived++
	e.list(k)
	e.extend(k)
	e.save(k)
	if e.lost(k.Owner) {
		e.play(k, loses)
		if _, _, claim := e.table.SuccessorOf(k.Owner.Name, k.Owner.Incarnation, k.key.Partition()); claim {
			e.play(k, claims)
		}
	}
}

// drop forgets a copy.
func (e *Manager) drop(k *kept) {
	if e.owners[k.Owner].of(k.key.Partition())[k.key] == k {
		e.unlist(k)
		e.counts.Dropped++
	}
	delete(e.copies, k.key)
	e.bytes -= k.bytes
	if !k.Idempotent {
		e.do(Effect{Kind: PersistCopy, Key: k.key})
	}
}

// handOver has it that an heir goes on with what it has claimed.
func (e *Manager) handOver(k *kept, from Member, it *Item) Item {
	heir, life, claim := e.table.SuccessorOf(it.From.Name, it.From.Incarnation, it.Key.Partition())
	if !claim || heir != from.Name || life != from.Incarnation || it.Copy == nil {
		return refused("not claimed")
	}
	switch {
	case k == nil:
		k = e.enter(it.Key, it.Copy)
		k.Owner, k.state, k.handed = from, adopted, true
		e.begin(k)
	case k.Owner == from && k.state.open():
	case k.state.open() && k.Owner == it.From:
		if better(&k.Copy, it.Copy) && k.Sequence >= it.Copy.Sequence && !it.More {
			return e.knows(k)
		}
		e.unlist(k)
		work, was := k.RequestData, k.Copy
		k.before, k.handed = &was, true
		k.Copy = *it.Copy
		if k.Owner = from; !k.Complete {
			k.RequestData, k.Complete = work, true
		}
		e.list(k)
		e.play(k, takes)
		e.extend(k)
		e.save(k)
	case k.state == settled && k.Sequence+1 < it.Copy.Sequence && !(k.RunState == Ran && it.Copy.RunState != Ran):
		k.Copy = *it.Copy
		k.Owner, k.state = from, adopted
		e.begin(k)
	default:
		return e.knows(k)
	}
	return Item{Op: OpStored}
}

// mind keeps which mark an id stands for.
func (e *Manager) mind(k *kept, it *Item) Item {
	if k == nil && it.Copy != nil && len(e.copies) < e.most {
		k = e.enter(it.Key, it.Copy)
		k.pointer, k.state, k.Idempotent = true, settled, false
		e.extend(k)
	}
	return Item{Op: OpStored}
}

// page gives copies of a part, in the order of their keys.
func (e *Manager) page(it *Item) Item {
	var keys []Key
	if it.From.Name != "" {
		for key := range e.owners[it.From].of(it.Partition) {
			if bytes.Compare(key[:], it.After[:]) > 0 {
				keys = append(keys, key)
			}
		}
	} else {
		for key, k := range e.copies {
			if key.Partition() == it.Partition && !k.pointer && bytes.Compare(key[:], it.After[:]) > 0 {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	back := Item{Op: OpPage, Partition: it.Partition}
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
func (e *Manager) absorb(c *Copy) {
	key := KeyOf(c.IdempotencyKey, c.ID)
	k := e.copies[key]
	if k != nil && !better(c, &k.Copy) {
		if k.Owner == c.Owner && k.Sequence == c.Sequence && c.RunState != NotRun {
			k.FirstAttemptAt = min(k.FirstAttemptAt, c.FirstAttemptAt) // one that heard of it late holds it for younger than it is
		}
		return
	}
	if k != nil && k.state.open() && !e.lost(k.Owner) && e.lost(c.Owner) {
		return // somebody living has it by now, with all that counted
	}
	e.counts.CopiesFetched++
	if k == nil {
		k = e.enter(key, c)
	} else {
		if k.state.open() {
			e.unlist(k)
			e.counts.Dropped++ // counted anew as what it is by now
		}
		body := k.Body
		k.Copy, k.before = *c, nil
		if !k.Complete && body != nil && c.Outcome == Open {
			k.Body, k.Complete = body, true
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
func (e *Manager) read(c *Copy) {
	c.Deadline = e.now
	if c.RunState != NotRun {
		c.FirstAttemptAt = longAgo
	}
	e.absorb(c)
}

// extend says how long a copy is kept: one with a mark, for as long as that may come again.
func (e *Manager) extend(k *kept) {
	e.bytes -= k.bytes
	k.bytes = len(k.Body) + len(k.Answer)
	e.bytes += k.bytes
	o := e.offering(k.Class)
	at := k.Deadline
	switch {
	case k.Idempotent:
		at += sureMS
	case o != nil && k.IdempotencyKey != "":
		at = max(at, k.FirstAttemptAt+o.window) + e.remember
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
func (e *Manager) sweep() {
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
func (e *Manager) save(k *kept) {
	if !k.Idempotent {
		e.do(Effect{Kind: PersistCopy, Key: k.key, Copy: &k.Copy, Version: uint64(k.expires)})
	}
}

// release has it that an operator gives a search up: nobody goes on with it.
func (e *Manager) release(id string) {
	n := 0
	for _, k := range e.copies {
		if (k.ID == id || k.IdempotencyKey == id) && (k.state == orphaned || k.state == claimed) {
			e.end(k, &Item{Sequence: k.Sequence + 1, Outcome: Failed, RunState: k.RunState, FirstAttemptAt: k.FirstAttemptAt, Zone: k.Zone, Cell: k.Cell})
			n++
		}
	}
	e.do(Effect{Kind: LogMessage, Text: "given up by an operator", ID: id, Count: n})
}
