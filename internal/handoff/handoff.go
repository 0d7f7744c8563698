package handoff

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// offering is what the settings say of one offering.
type offering struct {
	name   string
	effect scheduler.Effect
	window float64
	adopts bool // what is open of it is gone on with
}

func (o *offering) recorded() bool { return o.effect != scheduler.Idempotent }

// Manager is one controller's part in keeping open work.
type Manager struct {
	self      Member
	offerings []offering
	longest   float64 // for which a mark may have to be known after its shot
	remember  float64
	answer    int
	most      int
	lag       float64 // 0: redoable searches are not copied
	alone     bool    // where the others can't be reached, one goes on alone
	pace      pace
	share     float64 // ration of redoable searches that are run again
	floor     float64
	spanMS    float64
	seed      uint32
	drawn     uint64

	now     float64
	held    bool
	leaving bool
	leftAt  float64
	away    float64 // the longest time to stay away that a denial may tell
	effects []Effect
	out     map[string]*Batch // what goes out at the end of this step
	local   []exchange        // words to this controller's own chair

	// What is agreed.
	places map[string]*placement.Member
	table  *placement.Table

	// As a chair.
	copies map[Key]*kept
	bytes  int               // of their works and answers
	owners map[Member]*owned // open ones
	wheel  map[int64][]Key   // by the second in which they may be let go
	swept  int64
	learns map[int]*learning
	noted  map[Member]float64 // lost owners, since when they are known to be
	moves  map[string]float64 // motions, when they were made last
	bereft map[int]float64

	// As an owner.
	mine    map[Key]*mine
	byID    map[string]*mine
	pending []*mine  // words of theirs have not been answered by all
	back    []*taken // words that are being taken back
	backBy  map[takenWord]*taken
	line    []*caller
	young   []young
	fresh   map[string]struct{} // those of them that are open
	asked   []*question

	// As an heir.
	inherits []*inheritance
	queue    []*orphan
	lined    map[Key]struct{} // what is in it
	inHand   int
	again    []float64 // when redoable ones were run again
	takes    []float64 // when searches of one's own clients came: whole spans

	counts Counts
}

// exchange is a word to a chair and what it answered.
type exchange struct {
	word, back Item
}

// New returns the manager of a controller.
func New(self Member, settings Settings, seed uint32) *Manager {
	e := &Manager{self: self, remember: settings.RememberMS, answer: settings.MaxAnswerBytes, most: settings.MaxCopies, lag: settings.CopyAfterMS,
		alone: settings.SendWithoutReplicas, pace: pace{most: float64(settings.AdoptAtOnce), began: map[string]begun{}},
		share: settings.RetryBudget.Share, floor: settings.RetryBudget.Floor, spanMS: settings.RetryBudget.WindowMS,
		longest: settings.DoubtMS, away: settings.RetryAfterMS, seed: seed, out: map[string]*Batch{}, places: map[string]*placement.Member{},
		copies: map[Key]*kept{}, owners: map[Member]*owned{}, wheel: map[int64][]Key{}, learns: map[int]*learning{},
		noted: map[Member]float64{}, moves: map[string]float64{}, bereft: map[int]float64{}, mine: map[Key]*mine{}, byID: map[string]*mine{},
		backBy: map[takenWord]*taken{}, fresh: map[string]struct{}{}, lined: map[Key]struct{}{}}
	for _, c := range settings.Classes {
		o := offering{name: c.Name, effect: c.Effect, window: c.DedupWindowMS}
		o.adopts = o.recorded() || slices.Contains(settings.AdoptClasses, c.Name)
		e.offerings, e.pace.usual = append(e.offerings, o), append(e.pace.usual, times{})
		if o.effect == scheduler.Keyed {
			e.longest = max(e.longest, o.window, c.DeadlineMS)
		}
	}
	return e
}

// chance draws from [0, 1), the same for the same seed.
func (e *Manager) chance() float64 {
	e.drawn++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", e.seed, e.drawn))) / (1 << 32)
}

func (e *Manager) offering(name string) *offering {
	for k := range e.offerings {
		if e.offerings[k].name == name {
			return &e.offerings[k]
		}
	}
	return nil
}

// numbered gives an offering's place among the settings'; below 0: it is none.
func (e *Manager) numbered(name string) int {
	return slices.IndexFunc(e.offerings, func(o offering) bool { return o.name == name })
}

func (e *Manager) do(f Effect) {
	if f.Kind == AnswerSuspended || f.Kind == CancelLocal {
		delete(e.pace.began, f.ID)
	}
	e.effects = append(e.effects, f)
}

// Step takes one event at the caller's clock in ms. The effects hold until the next call.
func (e *Manager) Step(now float64, ev *Event) []Effect {
	e.effects, e.now, e.held = e.effects[:0], max(e.now, now), ev.LeaseHeld
	switch ev.Kind {
	case PlacementChanged:
		e.seated(ev)
	case RequestArriving:
		e.arrives(ev)
	case ClientLeft:
		e.gone(ev.ID)
	case AttemptStarting:
		e.firing(ev)
	case AttemptEnded:
		e.shotOver(ev)
	case RequestEnding:
		e.ending(ev)
	case RequestClosed:
		e.closed(ev)
	case BatchReceived:
		e.words(ev)
	case BatchAnswered:
		e.answers(ev)
	case OutcomeQueried:
		e.ask(ev)
	case CopyRestored:
		e.read(ev.Copy)
	case Ticked:
		e.tick()
	case ShutdownStarted:
		e.leaving, e.leftAt = true, e.now
	case IncarnationChanged:
		e.self.Incarnation = ev.Incarnation
	case ReleaseRequested:
		e.release(ev.ID)
	case AdoptionRequested:
		e.claim(ev.ID)
	}
	if len(e.queue) > 0 && e.inHand < int(e.pace.room) {
		e.adopt()
	}
	e.flush()
	return e.effects
}

// flush sends what is to go out, and plays what was said to this controller's own chair.
func (e *Manager) flush() {
	for len(e.local) > 0 {
		x := e.local[0]
		e.local = e.local[1:]
		e.answered(e.self, &x.word, &x.back)
	}
	names := make([]string, 0, len(e.out))
	for name := range e.out {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		e.do(Effect{Kind: SendBatch, To: name, Batch: e.out[name]})
		e.counts.MessagesSent += uint64(len(e.out[name].Items))
		delete(e.out, name)
	}
}

// tell says an item to a member; to itself, too.
func (e *Manager) tell(name string, it Item) {
	if name == e.self.Name {
		e.local = append(e.local, exchange{it, e.word(e.self, &it)})
		return
	}
	b := e.out[name]
	if b == nil {
		b = &Batch{From: e.self, Version: e.table.Version}
		if it.Op == OpAdopt || it.Op == OpFetch { // who hears it must know who is lost, and who claimed what
			b.PlacementStep = e.table.Step
		}
		e.out[name] = b
	} else if it.Op == OpAdopt || it.Op == OpFetch {
		b.PlacementStep = e.table.Step
	}
	b.Items = append(b.Items, it)
}

// spread says an item to all that sit in a part.
func (e *Manager) spread(it Item) {
	for _, name := range e.sitting(it.Key.Partition()) {
		e.tell(name, it)
	}
}

// sitting gives who sits in a part now, and who sat before as long as that counts.
func (e *Manager) sitting(part int) (names []string) {
	p := &e.table.Partitions[part]
	for _, list := range [][]placement.Replica{p.Current, p.Previous} {
		for _, c := range list {
			if e.sits(c) && !slices.Contains(names, c.Name) {
				names = append(names, c.Name)
			}
		}
	}
	return names
}

func (e *Manager) sits(c placement.Replica) bool {
	p := e.places[c.Name]
	return p != nil && !p.Lost && p.Incarnation == c.Incarnation
}

// lost tells whether a life is over, as agreed.
func (e *Manager) lost(m Member) bool {
	p := e.places[m.Name]
	return p != nil && (p.Incarnation > m.Incarnation || p.Incarnation == m.Incarnation && p.Lost)
}

// chaired tells whether there is anybody to keep copies at all.
func (e *Manager) chaired() bool {
	return e.table != nil && len(e.table.Partitions) == placement.PartitionCount
}

// quorum tells whether these make a word for a part.
func (e *Manager) quorum(part int, who []Member) bool {
	p := &e.table.Partitions[part]
	return most(p.Current, who) && (p.Previous == nil || most(p.Previous, who))
}

func most(list []placement.Replica, who []Member) bool {
	n := 0
	for _, c := range list {
		if slices.Contains(who, Member{c.Name, c.Incarnation}) {
			n++
		}
	}
	return n >= placement.Quorum(len(list))
}

// barredBy tells whether these who said no leave no quorum.
func (e *Manager) barredBy(part int, nays []Member) bool {
	p := &e.table.Partitions[part]
	return blocked(p.Current, nays) || p.Previous != nil && blocked(p.Previous, nays)
}

func blocked(list []placement.Replica, nays []Member) bool {
	n := 0
	for _, c := range list {
		if slices.Contains(nays, Member{c.Name, c.Incarnation}) {
			n++
		}
	}
	return len(list)-n < placement.Quorum(len(list))
}

// reachable tells whether enough sit in a part for any word.
func (e *Manager) reachable(part int) bool {
	p := &e.table.Partitions[part]
	enough := func(list []placement.Replica) bool {
		n := 0
		for _, c := range list {
			if e.sits(c) {
				n++
			}
		}
		return n >= placement.Quorum(len(list))
	}
	return enough(p.Current) && (p.Previous == nil || enough(p.Previous))
}

// chair gives this controller's own in a part.
func (e *Manager) chair(part int) *placement.Replica {
	for k := range e.table.Partitions[part].Current {
		if c := &e.table.Partitions[part].Current[k]; c.Name == e.self.Name && c.Incarnation == e.self.Incarnation {
			return c
		}
	}
	return nil
}

// sat tells whether this controller sits in a part, or sat in it and counts still.
func (e *Manager) sat(part int) bool {
	p := &e.table.Partitions[part]
	is := func(c placement.Replica) bool { return c.Name == e.self.Name && c.Incarnation == e.self.Incarnation }
	return slices.ContainsFunc(p.Current, is) || slices.ContainsFunc(p.Previous, is)
}

// seated takes what is agreed now.
func (e *Manager) seated(ev *Event) {
	if e.table != nil && ev.Table.Step <= e.table.Step {
		return
	}
	moved := e.table == nil || ev.Table.Version != e.table.Version
	e.table = ev.Table
	clear(e.places)
	for k := range ev.Members {
		e.places[ev.Members[k].Name] = &ev.Members[k]
	}
	if !e.chaired() {
		return
	}
	e.mourn()
	if moved {
		for _, m := range e.pending { // who counts is another: all is said again
			m.nays, m.saidAt = m.nays[:0], 0
		}
		for _, i := range e.inherits {
			i.pulls = nil
		}
		clear(e.learns)
	}
	e.keepUp()
}

// tick does what is due.
func (e *Manager) tick() {
	e.sweep()
	e.pace.tick(e.now, len(e.queue) > 0 || e.inHand > 0)
	if !e.chaired() {
		e.endLine()
		return
	}
	e.repeat()
	e.repeatBack()
	e.age()
	e.poll()
	e.keepUp()
	e.endQuestions()
}

// keepUp does what follows from who sits where: learning, claims, adoption.
func (e *Manager) keepUp() {
	e.learn()
	e.claimAll()
	e.inherit()
	e.adopt()
	e.renew()
}

// move has the council agree on something, and again while it has not.
func (e *Manager) move(motion string, c placement.AdoptionClaim, version uint64) {
	key := fmt.Sprint(motion, c.Name, c.Incarnation, c.Partitions)
	if at, made := e.moves[key]; !e.held || made && e.now < at+claimMS {
		return
	}
	if len(e.moves) > 4*placement.PartitionCount {
		clear(e.moves)
	}
	e.moves[key] = e.now
	e.do(Effect{Kind: Propose, Proposal: motion, Claim: c, Version: version})
}

// Counts gives the counters.
func (e *Manager) Counts() Counts {
	c := e.counts
	c.CopiesStored, c.OwnedRequests, c.SuspendedRequests = len(e.copies), len(e.mine), len(e.line)
	for _, set := range e.owners {
		c.Open += uint64(set.n)
	}
	return c
}

// better tells whether a copy says more than another of the same key: one that may have run beats one that can't have; else the later
// word counts, and of the same, the one that knows that it ran.
func better(a, b *Copy) bool {
	return cmp.Or(cmp.Compare(min(a.RunState, MayHaveRun), min(b.RunState, MayHaveRun)), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.RunState, b.RunState)) > 0
}
