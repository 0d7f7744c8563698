// Package quota decides who is offered to the decision module next, where several teams share one installation. It keeps a
// tree of budgets and a fair queue in it; events and a time in ms go in, effects come out. It has no clock, no
// goroutine and no I/O. Which executor, whether to try again and what is turned away stays with the module: what waits too
// long here is offered all the same, and the module turns it away.
package quota

import (
	"fmt"
	"math"
)

const (
	room       = 4    // searches that the module has at hand and has not sent: it takes the next at each send
	overtaken  = 2    // later ones sent before one that waits at the module counts as stuck, and gives its place to another
	roomMost   = 16   // the most that wait at the module, stuck ones included
	agedShare  = 0.04 // of all work offered that may go to who has waited longest, past the age: far off the weights it leads nobody
	agedLook   = 16   // of the oldest that are looked at for one that may be offered
	usualAge   = 3000 // ms of waiting past which that holds, where nothing else is given
	usualBurst = 1000 // ms of its ceiling that a team may use at once after a pause, where nothing else is given
	fading     = 0.1  // weight of the newest figure in fading means
	agedMost   = 1e5  // ms of one thread of that share that are saved up at most: a few of the largest searches
	ratioMost  = 100  // times that an estimate is corrected at most, up or down
	usualWork  = 100  // ms taken for a search of which nothing is known
	closingMS  = 25   // ms before its hard limit by which the module has answered a search
	perCore    = 1.2  // threads a core that count as the whole: where the module's routing calls an executor full
	hungry     = 0.9  // part of its due below which a team that waits is short
	greedy     = 1.1  // times its due past which a team is over
	pressMS    = 200  // ms that a team must be short until others are pressed: less is the ordinary swing
	easeMS     = 500  // ms that nobody must be short until they are eased again
	changeMS   = 1000 // ms between two changes of one search's level: renices are messages
	changesMS  = 20   // ms for each change of all searches together: fifty a second
	pressedTo  = 500  // priority to which a pressed search is held: level 1 of 3, above what has sunk to the floor
	startPast  = 500  // priority at which a search of a team past its due starts while others come: level 1
	lately     = 1000 // ms that a team counts as there after its last search came
	lendMemory = 0.7  // part of the memory asked for that a search of such a team is granted
)

// Team is one budget as it is set. Zero means none for limits, the whole for a ceiling.
type Team struct {
	Name            string
	Parent          string  // empty: the installation itself
	Weight          float64 // against its siblings; 0: 1
	GuaranteedShare float64 // share of its parent's, whatever the weights
	Ceiling         float64 // share of the whole installation that it never passes in the long run
	BurstMS         float64
	MaxInFlight     int     // in hand, past the queue
	Threads         float64 // on executors
	MemoryMB        float64 // granted there
	MaxQueued       int     // that may wait; further ones go to the module at once, to be turned away
}

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	RequestQueued   EventKind = iota // a search came in
	AttemptStarted                   // a shot of it has left
	AttemptEnded                     // a shot has ended
	RequestClosed                    // it has its answer, or its client left
	CapacityChanged                  // the installation has so many cores
	Ticked                           // time went by
	ShutdownStarted                  // this controller stops: all that waits is offered
	TeamChanged                      // a team has other limits
	RequestReturned                  // the module could not send at once what was offered for that
)

// Event is one thing that the tree is told. Only the fields of its kind are set.
type Event struct {
	Kind      EventKind
	ID        string
	Team      string // RequestQueued: an unknown one is the default
	Class     string // RequestQueued
	WorkMS    float64
	MemoryMB  float64
	Deadline  float64
	Attempt   int
	GrantMB   float64 // AttemptStarted
	CostMS    float64 // RequestClosed: what it took, where told
	Succeeded bool    // RequestClosed: it was
	Ordered   bool    // RequestQueued: it has a key; where its offering keeps their order, it is not held back here, only charged
	Cores     float64 // CapacityChanged
	NewLimits Team    // TeamChanged
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	Offer         EffectKind = iota // hand the search to the module, to start at priority Start (0: the usual)
	CapPriority                     // hold the search's priority under Start
	UncapPriority                   // no longer
)

// Effect is one thing that the tree wants done, in the order given.
type Effect struct {
	Kind        EffectKind
	ID          string
	PriorityCap float64
	MemoryShare float64 // part of the memory asked for; 0: all
	QueueFull   bool    // Offer: its team's queue is full, so that the module is to turn it away
	Immediate   bool    // Offer: only if it can be sent at once; else it goes on waiting here (Back)
}

// offering is what the settings say of one.
type offering struct {
	name    string
	threads float64
	holds   bool // holds its table group while it runs: never pressed
	inOrder bool // it keeps the order of its keys
	at      int  // searches that the module has and has not sent
	trying  bool // one is offered for now
}

// Tree is the budgets of one installation, as one controller has them.
type Tree struct {
	now       float64
	out       []Effect
	age       float64
	offerings []offering
	nodes     []node
	byName    map[string]int32
	fallback  int32 // the default team
	slab      slab
	queue     list // all that wait, oldest first
	runs      list // all that have been sent
	fresh     list // offered and not sent, oldest first
	free      int  // places at the module
	waiting   int  // at the module, stuck ones included
	due       times
	total     float64 // threads of the installation
	home      float64 // part of it that is this controller's
	part      float64 // part of every ceiling that it may use: its own, less what it lends, with what it borrows
	aged      float64 // work that may go to the oldest
	backlog   float64 // work that waits
	latest    [2]coming
	moving    int // counted ones at the module that are not stuck
	closing   bool
	throttled []int32 // nodes at their ceiling
	shortAt   float64 // since when somebody has been short; 0: nobody is
	calmAt    float64
	pressed   bool
	changedAt float64
	counts    Counts
}

// coming is the last search that came of a team.
type coming struct {
	leaf int32
	at   float64
}

// Counts are what the tree counts, since its start.
type Counts struct {
	Offered, Aged, Capped, Uncapped, Overdue, Overflow, Unknown uint64
	Queued                                                      int
	LongestMS                                                   float64 // of all waits so far
}

// New returns a tree. The team named by fallback takes what is nobody's.
func New(teams []Team, fallback string, settings Settings) (*Tree, error) {
	t := &Tree{age: settings.AgeMS, byName: map[string]int32{}, queue: empty, runs: empty, fresh: empty, free: room,
		home: 1 / max(1, float64(settings.Controllers)), total: perCore}
	t.part = t.home
	for _, c := range settings.Classes {
		t.offerings = append(t.offerings, offering{name: c.Name, threads: float64(max(1, c.Threads)), holds: c.HoldsTableGroup, inOrder: c.InOrder})
	}
	t.nodes = append(t.nodes, node{parent: -1, share: 1})
	for pending := teams; len(pending) > 0; {
		var later []Team
		for _, team := range pending {
			parent := int32(0)
			if team.Parent != "" {
				p, ok := t.byName[team.Parent]
				if !ok {
					later = append(later, team)
					continue
				}
				parent = p
			}
			if _, twice := t.byName[team.Name]; twice || team.Name == "" {
				return nil, fmt.Errorf("team %q stands there twice, or has no name", team.Name)
			}
			t.byName[team.Name] = int32(len(t.nodes))
			t.nodes = append(t.nodes, node{team: team, parent: parent, at: int32(len(t.nodes))})
		}
		if len(later) == len(pending) {
			return nil, fmt.Errorf("team %q is under %q, which is not there or stands under it", later[0].Name, later[0].Parent)
		}
		pending = later
	}
	for k := range t.nodes {
		n := &t.nodes[k]
		n.heaps, n.places, n.lines = make([]heap, len(t.offerings)), make([]int32, len(t.offerings)), make([]list, len(t.offerings))
		n.ratio = make([]float64, len(t.offerings))
		for o := range n.lines {
			n.lines[o] = empty
		}
		if n.parent >= 0 {
			t.nodes[n.parent].kids = append(t.nodes[n.parent].kids, int32(k))
		}
	}
	fb, ok := t.byName[fallback]
	if !ok || len(t.nodes[fb].kids) > 0 {
		return nil, fmt.Errorf("the default team %q is not there, or has teams under it", fallback)
	}
	t.fallback = fb
	if err := t.weigh(); err != nil {
		return nil, err
	}
	return t, nil
}

// weigh works out shares: what is guaranteed, and of the rest by weight. Shares of siblings add up to one.
func (t *Tree) weigh() error {
	for k := range t.nodes {
		sure, weights := 0.0, 0.0
		for _, c := range t.nodes[k].kids {
			sure, weights = sure+t.nodes[c].team.GuaranteedShare, weights+t.nodes[c].weight()
		}
		if sure > 1+1e-9 {
			return fmt.Errorf("what is guaranteed under %q adds up to %g", t.nodes[k].team.Name, sure)
		}
		for _, c := range t.nodes[k].kids {
			n := &t.nodes[c]
			n.share = max(1e-6, n.team.GuaranteedShare+(1-sure)*n.weight()/weights)
		}
	}
	for k := 1; k < len(t.nodes); k++ { // parents stand before their children
		t.nodes[k].whole = t.nodes[k].share
		if p := t.nodes[k].parent; p > 0 {
			t.nodes[k].whole *= t.nodes[p].whole
		}
	}
	return nil
}

// Step takes one event. The effects hold until the next call.
func (t *Tree) Step(now float64, ev *Event) []Effect {
	t.now, t.out = max(t.now, now), t.out[:0]
	switch ev.Kind {
	case RequestQueued:
		t.ask(ev)
	case AttemptStarted:
		t.sent(ev)
	case AttemptEnded:
		t.shotEnded(ev)
	case RequestClosed:
		t.close(ev)
	case CapacityChanged:
		t.total = perCore * max(1, ev.Cores)
	case Ticked:
		t.tick()
	case ShutdownStarted:
		t.closing = true
		for t.queue.first != none {
			t.offer(t.queue.first, false)
		}
	case RequestReturned:
		if p := t.slab.find(ev.ID); p != none {
			t.offerings[t.slab.at(p).offering].trying, t.slab.at(p).trying = false, false
			return t.out // nothing has become free by it
		}
	case TeamChanged:
		t.change(ev.NewLimits)
	}
	t.serve()
	return t.out
}

func (t *Tree) do(e Effect) { t.out = append(t.out, e) }

// ask takes a search in line.
func (t *Tree) ask(ev *Event) {
	o := -1
	for k := range t.offerings {
		if t.offerings[k].name == ev.Class {
			o = k
		}
	}
	leaf, known := t.byName[ev.Team]
	if !known || len(t.nodes[leaf].kids) > 0 {
		if leaf = t.fallback; ev.Team != "" && !known {
			t.counts.Unknown++
		}
	}
	n := &t.nodes[leaf]
	full := n.team.MaxQueued > 0 && n.queued >= n.team.MaxQueued
	if o < 0 || t.closing || full || t.slab.find(ev.ID) != none { // nothing that this tree could order: the module decides
		if full {
			t.counts.Overflow++
		}
		t.do(Effect{Kind: Offer, ID: ev.ID, QueueFull: full})
		return
	}
	p := t.slab.take(ev.ID)
	s := t.slab.at(p)
	s.leaf, s.offering, s.asked, s.until, s.need, s.estimate = leaf, int16(o), t.now, ev.Deadline, ev.MemoryMB, ev.WorkMS
	s.cost = t.expected(n, o, ev.WorkMS)
	t.came(leaf)
	s.mark = n.came
	n.came += s.cost
	t.link(p)
	if ev.Ordered && t.offerings[o].inOrder {
		t.offer(p, false)
		return
	}
	// Where it can't be done in time any more, it is offered whoever else waits, so that its answer comes at once.
	t.due.push(ev.Deadline-closingMS-s.cost/t.offerings[o].threads, p, s.turn)
}

// expected is what a search will take, in ms of one thread: its estimate, corrected by what estimates of this team came to.
func (t *Tree) expected(n *node, o int, estimate float64) float64 {
	if estimate <= 0 {
		estimate = usualWork
	}
	if n.ratio[o] > 0 {
		estimate *= n.ratio[o]
	}
	return estimate
}

// serve offers who is next as long as the module has places. Where it has none left, what waits there may be waiting for
// few executors, or behind a load: then one of each other offering is tried, to be sent at once or not at all, so
// that it takes no room that the others could have had. A team past its due gets such a try only where all are stuck.
func (t *Tree) serve() {
	for t.queue.first != none && t.free > 0 {
		p := t.next()
		if p == none {
			return
		}
		t.offer(p, true)
	}
	if t.queue.first == none {
		return
	}
	for o := range t.offerings {
		if t.offerings[o].at > 0 || t.offerings[o].trying {
			continue
		}
		if p := t.pick(o); p != none && (t.moving == 0 || !t.past(t.slab.at(p).leaf)) {
			t.offerings[o].trying, t.slab.at(p).trying = true, true
			t.do(Effect{Kind: Offer, ID: t.slab.at(p).id, Immediate: true})
		}
	}
}

// next is the search that is to be offered now, or none.
func (t *Tree) next() int32 {
	if t.aged > 0 {
		if p := t.oldest(); p != none {
			t.aged -= t.slab.at(p).cost
			t.counts.Aged++
			return p
		}
	}
	return t.pick(-1)
}

// oldest is who has waited longest past the age and may be offered.
func (t *Tree) oldest() int32 {
	p := t.queue.first
	for range agedLook {
		if p == none || t.now-t.slab.at(p).asked < t.age {
			return none
		}
		if t.mayGo(p) {
			return p
		}
		p = t.slab.at(p).links[inQueue].next
	}
	return none
}

// mayGo tells whether a search that waits may be offered now, and if not why.
func (t *Tree) mayGo(p int32) bool { return !t.slab.at(p).trying && t.reason(p) == "" }

func (t *Tree) reason(p int32) string {
	s := t.slab.at(p)
	for k := s.leaf; k > 0; k = t.nodes[k].parent {
		if why := t.nodes[k].blocked; why != open {
			return blockedNames[why] + " of " + t.nodes[k].team.Name
		}
	}
	return ""
}

// offer hands a search to the module.
func (t *Tree) offer(p int32, charged bool) {
	s := t.slab.at(p)
	start, grant := 0.0, 0.0
	if t.past(s.leaf) && t.othersCome(s.leaf) {
		start, grant = startPast, lendMemory
	}
	t.accept(p)
	s.state, s.counted = offered, charged
	t.offerings[s.offering].at++
	t.waiting++
	if charged {
		t.free--
		t.moving++
	}
	t.slab.append(&t.fresh, inFresh, p)
	t.do(Effect{Kind: Offer, ID: s.id, PriorityCap: start, MemoryShare: grant})
}

// accept takes a search out of its line and charges it.
func (t *Tree) accept(p int32) {
	s := t.slab.at(p)
	t.unlink(p)
	o := &t.offerings[s.offering]
	if s.trying {
		o.trying, s.trying = false, false
	}
	t.counts.Offered++
	t.counts.LongestMS = max(t.counts.LongestMS, t.now-s.asked)
	t.aged = min(t.aged+agedShare*s.cost, agedMost)
	t.charge(s.leaf, s.cost)
	s.charged = s.cost
	for k := s.leaf; k > 0; k = t.nodes[k].parent {
		n := &t.nodes[k]
		n.hand++
		n.threads, n.memory = n.threads+o.threads, n.memory+s.need
		t.check(k)
	}
}

// sent books a shot that left. Whom it overtook at the module may be stuck there, and gives its place to another.
func (t *Tree) sent(ev *Event) {
	p := t.slab.find(ev.ID)
	if p == none {
		return
	}
	s := t.slab.at(p)
	if s.state == queued { // it was tried
		t.accept(p)
	}
	if s.out == 0 {
		s.since = t.now
	}
	if s.out++; s.state == running {
		return
	}
	t.slab.append(&t.runs, inRun, p)
	for q, left := t.fresh.first, roomMost+room; q != p && q != none && left > 0; left-- {
		other := t.slab.at(q)
		if other.past < overtaken {
			if other.past++; other.past == overtaken && other.counted {
				t.moving--
			}
		}
		if other.past >= overtaken && other.counted && t.waiting < roomMost {
			other.counted = false
			t.free++
		}
		q = other.links[inFresh].next
	}
	if s.state == offered {
		t.placed(p)
	}
	s.state = running
}

// placed ends a search's wait at the module.
func (t *Tree) placed(p int32) {
	s := t.slab.at(p)
	t.slab.remove(&t.fresh, inFresh, p)
	t.offerings[s.offering].at--
	if t.waiting--; s.counted {
		s.counted = false
		t.free++
		if s.past < overtaken {
			t.moving--
		}
	}
}

// shotEnded books what a search has used of executors since its shot left.
func (t *Tree) shotEnded(ev *Event) {
	if p := t.slab.find(ev.ID); p != none {
		if s := t.slab.at(p); s.out > 0 {
			t.use(s)
			s.out--
		}
	}
}

// use counts the time that a search has been on executors, and charges what goes beyond its estimate as it comes: who
// estimates too little gains nothing by it.
func (t *Tree) use(s *search) {
	if s.out == 0 {
		return
	}
	s.used += (t.now - s.since) * t.offerings[s.offering].threads
	if s.since = t.now; s.used > s.charged {
		t.charge(s.leaf, s.used-s.charged)
		s.charged = s.used
	}
}

// close settles a search: what it was charged beyond what it used is given back.
func (t *Tree) close(ev *Event) {
	p := t.slab.find(ev.ID)
	if p == none {
		return
	}
	s := t.slab.at(p)
	if s.state == queued {
		if s.trying {
			t.offerings[s.offering].trying = false
		}
		t.unlink(p)
		t.slab.drop(p)
		return
	}
	t.use(s)
	if s.state == offered {
		t.placed(p)
	} else {
		t.slab.remove(&t.runs, inRun, p)
	}
	if s.press == down {
		t.nodes[s.leaf].pressed--
	}
	took := s.used
	if ev.CostMS > 0 {
		took = ev.CostMS
	}
	t.charge(s.leaf, took-s.charged)
	leaf, o := &t.nodes[s.leaf], int(s.offering)
	if s.used > 0 {
		r := min(ratioMost, max(1/ratioMost, took/max(1, s.estimate)))
		if s.estimate <= 0 {
			r = min(ratioMost, max(1.0/ratioMost, took/usualWork))
		}
		if leaf.ratio[o] == 0 {
			leaf.ratio[o] = r
		}
		leaf.ratio[o] += fading * (r - leaf.ratio[o])
	}
	threads := t.offerings[o].threads
	for k := s.leaf; k > 0; k = t.nodes[k].parent {
		n := &t.nodes[k]
		n.hand, n.threads, n.memory = n.hand-1, n.threads-threads, n.memory-s.need
		n.work += took
		t.check(k)
	}
	t.slab.drop(p)
}

// tick offers what can wait no longer, settles what runs, looks at ceilings and presses those who use what others are due.
func (t *Tree) tick() {
	for len(t.due) > 0 && t.due[0].at <= t.now {
		d := t.due.pop()
		s := t.slab.at(d.place)
		switch {
		case s.turn != d.turn || s.state != queued:
		case s.trying: // what becomes of that is on its way
			t.due.push(t.now+1, d.place, d.turn)
		default:
			t.counts.Overdue++
			t.offer(d.place, false)
		}
	}
	for p := t.runs.first; p != none; p = t.slab.at(p).links[inRun].next {
		t.use(t.slab.at(p))
	}
	keep := t.throttled[:0]
	for _, k := range t.throttled {
		if t.nodes[k].refill(t); t.nodes[k].tokens > 0 {
			t.nodes[k].throttled = false
			t.check(k)
		} else {
			keep = append(keep, k)
		}
	}
	t.throttled = keep
	t.press()
}

// change gives a team other limits; its place in the tree stays.
func (t *Tree) change(set Team) {
	k, ok := t.byName[set.Name]
	if !ok {
		return
	}
	n := &t.nodes[k]
	before := n.team
	set.Parent = n.team.Parent
	if n.team = set; t.weigh() != nil {
		n.team = before
		_ = t.weigh()
	}
	t.check(k)
}

// dueThreads is what a team is due here while all wait.
func (t *Tree) dueThreads(n *node) float64 { return n.whole * t.total * t.home }

// past tells whether a team has more threads than it is due.
func (t *Tree) past(leaf int32) bool {
	n := &t.nodes[leaf]
	return n.threads > greedy*t.dueThreads(n)
}

// othersCome tells whether another team waits, or has had a search come lately: it will have the next one soon.
func (t *Tree) othersCome(leaf int32) bool {
	if t.slab.queued > t.nodes[leaf].queued {
		return true
	}
	for _, c := range t.latest {
		if c.leaf != leaf && c.leaf > 0 && t.now-c.at < lately {
			return true
		}
	}
	return false
}

// came notes that a search of a team has come: the last of two teams are known.
func (t *Tree) came(leaf int32) {
	if t.latest[0].leaf != leaf {
		t.latest[1] = t.latest[0]
	}
	t.latest[0] = coming{leaf, t.now}
}

// Counts gives the counters.
func (t *Tree) Counts() Counts {
	c := t.counts
	c.Queued = t.slab.queued
	return c
}

// TeamStatus is how one team stands.
type TeamStatus struct {
	Team                       Team
	Queued, InFlight           int
	Threads, FairShare, Memory float64
	Work                       float64 // done so far, ms of one thread
	Blocked                    string
	OldestMS, BoundMS          float64
	Borrows, Lends             float64 // threads
	Capped                     int
}

// Statuses gives how all teams stand, in their order.
func (t *Tree) Statuses() []TeamStatus {
	list := make([]TeamStatus, 0, len(t.nodes))
	for k := 1; k < len(t.nodes); k++ {
		n := &t.nodes[k]
		due := t.dueThreads(n)
		st := TeamStatus{Team: n.team, Queued: n.queued, InFlight: n.hand, Threads: n.threads, FairShare: due, Memory: n.memory, Work: n.work,
			Blocked: blockedNames[n.blocked], Borrows: max(0, n.threads-due), Capped: n.pressed}
		if n.queued == 0 {
			st.Lends = max(0, due-n.threads)
		}
		for o := range n.lines {
			if p := n.lines[o].first; p != none {
				st.OldestMS = max(st.OldestMS, t.now-t.slab.at(p).asked)
			}
		}
		st.BoundMS = t.Bound()
		list = append(list, st)
	}
	return list
}

// Bound is the longest that a search which comes now waits for its offer, as long as it may be offered at all and the
// executors do their work: past the age, agedShare of all work goes to the oldest.
func (t *Tree) Bound() float64 {
	if t.slab.queued == 0 {
		return 0
	}
	return t.age + t.backlog/(agedShare*t.total*t.home)
}

// Part sets the part of every ceiling that this controller may use, from 0 to 1.
func (t *Tree) Part(part float64) { t.part = min(1, max(0, part)) }

// Ceilings tells which share of its ceiling the busiest team uses, and whether one waits at it.
func (t *Tree) Ceilings() (used float64, waits bool) {
	for k := 1; k < len(t.nodes); k++ {
		if n := &t.nodes[k]; n.team.Ceiling > 0 && n.team.Ceiling < 1 {
			used = max(used, n.threads/max(1e-9, n.rate(t)))
			waits = waits || n.queued > 0 && n.blocked == atCeiling
		}
	}
	return used, waits
}

// Teams gives all teams as they are set now.
func (t *Tree) Teams() []Team {
	list := make([]Team, 0, len(t.nodes))
	for k := 1; k < len(t.nodes); k++ {
		list = append(list, t.nodes[k].team)
	}
	return list
}

// WaitQueue gives what is ahead of a search that waits: the work of its team, and the threads that do such work. Its own comes
// third.
func (t *Tree) WaitQueue(id string) (aheadMS, threads, runMS float64) {
	p := t.slab.find(id)
	if p == none {
		return 0, 1, 0
	}
	s := t.slab.at(p)
	n := &t.nodes[s.leaf]
	threads = max(t.dueThreads(n), n.threads)
	runMS = s.cost / t.offerings[s.offering].threads
	if s.state == queued {
		aheadMS = max(0, s.mark-n.went)
	}
	if t.slab.queued > 0 || t.free <= 0 { // what has been offered and has not run yet, for all
		aheadMS += float64(t.waiting) * s.cost * n.whole
	}
	return aheadMS, threads, runMS
}

// Explain says why a search waits; empty if it does not.
func (t *Tree) Explain(id string) string {
	p := t.slab.find(id)
	if p == none {
		return ""
	}
	s := t.slab.at(p)
	n := &t.nodes[s.leaf]
	switch s.state {
	case offered:
		return "the module has it and finds no executor with room, or one that it should wait for"
	case running:
		return ""
	}
	why := t.reason(p)
	switch {
	case why != "":
	case t.free <= 0:
		why = "no executor has room for more"
	default:
		why = "others are due before it"
	}
	ahead := 0
	for q := n.lines[s.offering].first; q != p && q != none; q = t.slab.at(q).links[inLine].next {
		ahead++
	}
	return fmt.Sprintf("%s; %d of %s are ahead of it, %d in all; %.0f ms so far, at most %.0f", why, ahead, n.team.Name,
		t.slab.queued-1, t.now-s.asked, math.Ceil(t.Bound()))
}
