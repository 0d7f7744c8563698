// Every decision of liftshift stands in this file. A front makes an instance with New and hands it each
// event, in order, through Step (the interface Instance in types.go); Step appends the actions it wants
// done. Storage is in slab.go. The ordinary path is the design page's: send at the top level, demote by
// running time past an onset, route by a hash order past a bound. docs/design.md lists what was added to it
// and when that acts.
package rules

import (
	"cmp"
	"math"
	"slices"
)

const (
	// The design page's figures.
	pTop       = 1e4   // priority of a fresh query (paper, section 4)
	pFloor     = 100   // priority that no query sinks below, so that none starves
	decay      = 0.9   // factor a quantum; the paper's first value
	quantumMS  = 100   // running time of one quantum: the design's start
	onsetShare = 0.25  // share of running time that stays undecayed: middle of the paper's 5 to 35%
	onsetMS    = 10000 // ms of finished queries that the onset is read from
	onsetLeast = 20    // finished queries before anything decays
	onsetEvery = 200   // ms between readings of the onset: far below its window, and cheap
	topLevel   = 3     // highest level on the engines

	// Room on an executor.
	boundPerCore = 1.2  // running threads a core at which routing skips it: half of a search's time is reading
	drainPerCore = 1.5  // threads a core at which what was sent counts as done
	freshMS      = 600  // ms that a load report counts
	badNewsMS    = 1500 // ms that one counts that leaves no room
	posts        = 3    // controllers that add up what the others tell
	tellMS       = 250  // ms between tellings
	toldStep     = 0.2  // threads a core in each of the sixteen steps told
	toldMS       = 3000 // ms that a telling counts
	warning      = 4
	asksPerTake  = 2    // probes for load reports that each search allows
	asksPerMS    = 1e-3 // the same for time going by, so that what waits can go on asking
	asksSaved    = 10   // most of those kept for later
	busyThreads  = 1.2  // threads a core on an executor whose disks are always busy
	fullPerCore  = 1.5  // threads a core past which work is lost: a search waits here (paper's wait queue)
	shortPerCore = 2.2  // the same for searches shorter than the onset, which leave again at once
	lateLeast    = 0.25 // share of the gain that a late answer must earn for a search to wait for it
	crowd        = 50   // searches waiting from which they are gone through once a tick, not at each event
	spread       = 1.0  // how far a part of an executor is widened, as several parts are rarely full at once

	// Judging shots and executors.
	askMS       = 1000  // ms until a list out of reach is asked for again: longer than most calls take
	beatMS      = 20    // ms between looks at what runs: a fifth of a quantum
	stallMS     = 100   // ms between beats from which this instance itself stood still: five beats
	closingMS   = 25    // ms before the client gives up at which it gets its answer: one beat and a tick
	noteLate    = 1.5   // note intervals until a running shot must have been told of: one, and its phase
	noteSlack   = 1.2   // note intervals without any sign after a missed probe: one, and some jitter
	noteMany    = 3.0   // note intervals without any sign though probes are answered
	slackMS     = 100   // ms on top of both, for notes on their way
	blindMS     = 2000  // ms taken as the note interval where no notes come
	probeMS     = 500   // ms between probes of an executor under suspicion: two probe time-outs
	probesBack  = 2     // probes in a row that bring an executor back: one may be luck
	badInARow   = 5     // failures in a row that set aside, as breaks hit good ones too; one, after a return
	mostBad     = 5     // doublings of that with each further failure in a row
	restMS      = 300   // ms that an executor is left alone after it refused
	coldMargin  = 0.6   // part of the cold budget that is used: what a search weighs is a guess
	fade        = 0.1   // weight of the newest figure in fading means
	learnt      = 0.02  // weight of one answer's true cost: estimates are wrong by offering, and that stays
	seenMS      = 2000  // ms that a load met once is taken to go on: a part of what loads take
	badPlan     = 4.0   // times its expected running time at which a shot's plan counts as bad
	badPlanMS   = 400   // ms that a shot runs before its plan is judged
	slowCap     = 4.0   // most that one shot can say of an executor's pace, so that bad plans don't
	slowFrom    = 1.6   // slowness against the others from which an executor's bound shrinks
	memorySpare = 1.3   // memory granted for each MB that a spilling search turned out to need
	memoryStart = 1.5   // the same before anything is known: spilling costs far more than memory too much
	memoryEase  = 0.002 // how fast the grant shrinks again with each search that did not spill
)

// States of a search, then of an executor.
const (
	waiting state = iota
	running
	recalling
	over
	fit
	aside
	chilled
	anyState
)

// Inputs of a search, then of an executor.
const (
	placed    input = iota // an executor was found for it
	missed                 // its shot ended unhandled
	doomed                 // its shot is lost or has a bad plan
	hopeless               // it can't be handled any more
	finished               // it was handled, or its client left
	silent                 // no sign of work, or only bad ones
	answered               // probes were answered
	restarted              // the list tells of a new start
	warmed                 // the time to warm up is over
)

var searchTable, executorTable []row

func init() {
	searchTable = []row{
		{waiting, placed, running, (*Gateway).fire},
		{running, missed, waiting, nil},
		{recalling, missed, waiting, nil},
		{running, doomed, recalling, (*Gateway).callOff},
		{over, hopeless, over, nil},
		{over, finished, over, nil},
		{anyState, hopeless, over, (*Gateway).answer},
		{anyState, finished, over, (*Gateway).callOff},
	}
	executorTable = []row{
		{fit, silent, aside, (*Gateway).evict},
		{chilled, silent, aside, (*Gateway).evict},
		{aside, answered, chilled, (*Gateway).chill},
		{aside, restarted, aside, (*Gateway).chill},
		{anyState, restarted, chilled, (*Gateway).chill},
		{chilled, warmed, fit, nil},
	}
}

func (g *Gateway) search(i int, in input) { g.turn(searchTable, &g.slab.places[i].state, in, i) }
func (g *Gateway) judge(x int, in input)  { g.turn(executorTable, &g.executors[x].state, in, x) }
func (g *Gateway) do(a Action)            { g.out = append(g.out, a) }

// Step takes one event and appends what is to be done about it.
func (g *Gateway) Step(now float64, ev *Event, out []Action) []Action {
	g.now, g.out = now, out
	switch ev.Kind {
	case Began:
		g.do(Action{Kind: Wake, AfterMS: beatMS})
	case Listed:
		g.list(ev)
	case Taken:
		g.take(ev)
	case Left, Ended, Noted, Streaming:
		if i, ok := g.slab.find(ev.Search); ok {
			g.news(i, ev)
		}
	case Probed:
		g.probed(ev)
	case Rang:
		g.beat()
		g.tell()
	case Heard:
		g.heard(ev.FromPeer, ev.Data)
	}
	if g.dirty && (now > g.placedAt || len(g.waiting) < crowd) {
		g.place()
	}
	out, g.out = g.out, nil
	return out
}

// take takes a search in hand.
func (g *Gateway) take(ev *Event) {
	if _, ok := g.slab.find(ev.Search); ok {
		return
	}
	k := slices.IndexFunc(g.offerings, func(o offering) bool { return o.name == ev.Offering })
	if k < 0 { // an offering that the settings don't name: nothing is known that would let it run
		g.do(Action{Kind: Deny, Search: ev.Search})
		return
	}
	o, s := &g.offerings[k], &g.slab.places[g.slab.take(ev.Search)]
	g.seq++
	s.seq, s.offering, s.group, s.until = g.seq, k, ev.Group, ev.Until
	if o.inOrder {
		s.key = ev.Key
	}
	s.need, s.estimate, s.work = ev.NeedMB, ev.WorkMS, ev.WorkMS
	if o.estimated > 0 {
		s.work *= o.worked / o.estimated
	}
	if s.work <= 0 {
		s.work = max(o.usual, 1)
	}
	o.usual = cmp.Or(o.usual, s.work)
	o.usual += fade * (s.work - o.usual)
	s.due = g.now + o.due + o.stretch*s.work/float64(o.threads)
	g.asks = min(asksSaved, g.asks+asksPerTake)
	g.takes.add(g.now, 1)
	g.dirty = true
}

// maySend is the one place that decides whether a shot at s may go to executor x. notHere means
// that this executor won't do, notNow that none will at this moment, never that none will any more.
func (g *Gateway) maySend(s *search, x int) verdict {
	o, e := &g.offerings[s.offering], &g.executors[x]
	if s.state != waiting || s.out > 0 || g.now >= s.until-closingMS {
		return notNow // a second shot beside the first is never sent
	}
	if !g.shotsLeft(s) {
		return never
	}
	for k := range s.fired {
		if h := &s.shots[k]; h.doubt && o.effect != "redoable" {
			first := &g.executors[h.executor]
			if o.effect != "labelled" || g.now > h.sent+o.window-closingMS {
				return never
			}
			if o.scope == "zone" && first.place != e.place || o.scope == "cell" && first.cell != e.cell {
				return notHere
			}
		}
	}
	if s.fired > 0 && !g.rationLeft() {
		return notNow
	}
	if s.key != "" && (g.now < g.rests[s.key] || g.earlier(s)) {
		return notNow
	}
	if !among(o.kinds, e.kind) || !among(o.places, e.place) {
		return notHere
	}
	if e.standing != Active || e.state == aside || g.now < e.coldUntil && !g.warmEnough(o, e) {
		return notHere
	}
	return yes
}

// rationLeft tells whether one more shot beyond a search's first stays within the ration.
func (g *Gateway) rationLeft() bool {
	length := g.given.Num("ration_span_ms", 0)
	if length == 0 {
		return true
	}
	g.extras.forget(g.now - length - beatMS)
	g.takes.forget(g.now - length)
	return float64(g.extras.count()+1) <= g.given.Num("ration_floor", 0)+
		g.given.Num("ration_share", 0)*float64(g.takes.count())
}

// warmEnough tells whether a search fits this controller's part of what a cold executor may be sent. The
// growth of its capacity is not told, so the least that it has is taken until it must be warm.
func (g *Gateway) warmEnough(o *offering, e *executor) bool {
	length := g.given.Num("fall_ms", 2000)
	e.coldSent.forget(g.now - length - beatMS)
	budget := coldMargin * g.given.Num("fall_multiple", 1) * g.given.Num("cold_from", 0.1) * e.cores * length
	n := max(1, g.given.Num("controllers", 1))
	turns := max(1, min(n, math.Floor(budget/max(1, o.usual))))
	return math.Mod(g.given.Num("slot", 0)+float64(e.id), n) < turns && e.coldSent.total()+o.usual <= budget/turns
}

// mayDeny is the one place that decides whether a search may be denied: that promises that a new try does
// no harm.
func (g *Gateway) mayDeny(s *search) bool {
	o := &g.offerings[s.offering]
	return o.effect == "redoable" || o.effect == "labelled" && o.scope == "all" || !s.mayHaveRun()
}

// place sends what waits, the most gain for its work first, and gives up what can't earn any more.
func (g *Gateway) place() {
	g.gather()
	slices.SortFunc(g.waiting, func(a, b int) int {
		s, t := &g.slab.places[a], &g.slab.places[b]
		return cmp.Or(cmp.Compare(t.earns, s.earns), cmp.Compare(s.seq, t.seq))
	})
	for _, i := range g.waiting {
		s := &g.slab.places[i]
		if s.earns == 0 || s.fired > 0 && (g.maySend(s, 0) == never || g.mayDeny(s) && !g.rationLeft()) {
			g.search(i, hopeless)
		} else if g.full {
			continue // no executor has room for a single thread, so nobody need ask again in this pass
		} else if x := g.choose(s); x >= 0 {
			g.target = x
			g.search(i, placed)
		} else if o := &g.offerings[s.offering]; o.late < lateLeast && g.now+s.work/float64(o.threads) > s.due {
			g.search(i, hopeless) // sure to be late, and then worth little: it would only fill the line
		}
	}
	g.dirty = false
}

// density is the gain that a search can still earn, for its work.
func (g *Gateway) density(s *search) float64 {
	o := &g.offerings[s.offering]
	least := s.work / float64(o.threads)
	switch {
	case g.now+least > s.until-closingMS:
		return 0
	case g.now+least > s.due:
		return o.gain * o.late / s.work
	}
	return o.gain / s.work
}

// choose gives the executor for a search, or -1: the first in its group's order with room, else the one
// with the fewest threads a core that is not full. A search waits rather than stand still behind a load of
// its own group.
func (g *Gateway) choose(s *search) int {
	o := &g.offerings[s.offering]
	limit := fullPerCore
	if s.work/float64(o.threads) <= g.onset {
		limit = shortPerCore
	}
	g.full = true
	best, bestFill, bestRank := -1, 0.0, uint64(0)
	for x := range g.executors {
		e := &g.executors[x]
		busy, part, memory := float64(e.threads), g.part(e), e.memory
		if g.fresh(e) {
			busy, part, memory = e.seen, 1, e.seenMemory
		}
		slowed := max(1, e.pace/slowFrom)
		room := e.cores * part / slowed
		now := min(1, room*room)
		g.full = g.full && busy > 0 && busy+1 > shortPerCore*room
		if g.now < e.restUntil || !e.proven && e.out > 0 || (o.behind || o.holds) && g.holds(s.group, x) {
			continue
		}
		if v := g.maySend(s, x); v == notHere {
			continue
		} else if v != yes {
			g.full = false
			break
		}
		threads := busy + float64(o.threads)
		memory = (memory + g.grant(s, e)) / (e.ram * part)
		group := s.group
		if o.holds && g.blind(e) { // controllers that don't see each other's loads spread them
			group += uint64(g.given.Num("slot", 0)) << 32
		}
		rank := order(group, e.id, e.scarce && o.kinds == nil && !o.holds)
		fill := 0.0 // within the bound the order decides, past it the threads
		if threads*now > boundPerCore*room || memory*now > 1 || (1-now)*g.owed(e) > 0 {
			fill = 1 + now*busy/room + (1-now)*g.owed(e)*slowed/e.cores
		}
		if (fill == 0 || threads <= limit*room && memory <= 1 || busy == 0) &&
			(best < 0 || fill < bestFill || fill == bestFill && rank > bestRank) {
			// What is told to all at once would send all to the same one: the fuller, the fewer go at each telling.
			if g.given.Is("may_tell") && g.blind(e) && g.fresh(e) &&
				g.odds(s.seq*7919+uint64(e.seenAt)*31+uint64(x)) > 1-busy/(limit*room) {
				continue
			}
			best, bestFill, bestRank = x, fill, rank
		}
	}
	if best >= 0 && g.asked(best) {
		return -1
	}
	return best
}

// tell lets a few controllers know what this one has out. Those add up what they were told and let all know
// how full each executor is, in four bits. A lost message is made good by the next, and without any the owed
// work decides.
func (g *Gateway) tell() {
	if !g.given.Is("may_tell") || g.now < g.tellAt || len(g.executors) == 0 || !g.blind(&g.executors[0]) {
		return
	}
	g.tellAt = g.now + tellMS*(0.9+0.2*g.chance())
	slot, n := int(g.given.Num("slot", 0)), int(g.given.Num("controllers", 1))
	g.mail = append(g.mail[:0], 0)
	for x := range g.executors {
		threads := g.executors[x].threads
		if e := &g.executors[x]; e.bad > 0 && (g.now < e.restUntil || e.state == aside) {
			threads += warning // a dead executor looks empty otherwise
		}
		if threads > 0 {
			g.mail = g.executors[x].pack(g.mail, threads, g.chance())
		}
	}
	for p := range min(posts, n) {
		if p == slot {
			g.heard(p, g.mail)
		} else {
			g.do(Action{Kind: Tell, Peer: p, Data: g.mail})
		}
	}
	if slot >= posts {
		return
	}
	for x := range g.executors {
		g.executors[x].sum, g.executors[x].sumMemory = 0, 0
	}
	for p := range g.told {
		if g.now < g.told[p].at+toldMS {
			g.unpack(g.told[p].mail)
		}
	}
	order, check := g.byID()
	g.sums = append(g.sums[:0], 1, check)
	for k, x := range order {
		e := &g.executors[x]
		level := byte(min(15, math.Round(max(e.sum/e.cores, e.sumMemory*fullPerCore)/toldStep)))
		if k%2 == 0 {
			g.sums = append(g.sums, level)
		} else {
			g.sums[len(g.sums)-1] |= level << 4
		}
	}
	g.do(Action{Kind: Tell, Peer: -1, Data: g.sums})
	g.heard(slot, g.sums)
}

// heard takes a message: what one controller has out, or how full the executors are.
func (g *Gateway) heard(from int, data []byte) {
	if len(data) < 1 {
		return
	}
	if data[0] == 0 {
		for from >= len(g.told) {
			g.told = append(g.told, telling{})
		}
		g.told[from].at, g.told[from].mail = g.now, append(g.told[from].mail[:0], data[1:]...)
		return
	}
	order, check := g.byID()
	if len(data) != 2+(len(order)+1)/2 || data[1] != check {
		return
	}
	for k, x := range order {
		e := &g.executors[x]
		e.seen = float64(data[2+k/2]>>(k%2*4)&15) * toldStep * e.cores
		e.seenMemory, e.seenAt = 0, g.now
	}
	g.dirty = true
}

// part is this controller's part of an executor, widened, as several parts are rarely full at once.
func (g *Gateway) part(e *executor) float64 {
	return g.share() * (1 + spread*math.Sqrt((1/g.share()-1)/e.cores))
}

// blind tells that this controller's part of an executor is below one thread.
func (g *Gateway) blind(e *executor) bool { return g.part(e)*e.cores < 1 }

// fresh tells whether the load that an executor has reported still counts.
// Bad news counts for longer, so that nobody runs back into a line.
func (g *Gateway) fresh(e *executor) bool {
	return e.seenAt > 0 && (g.now < e.seenAt+freshMS || e.seen > shortPerCore*e.cores && g.now < e.seenAt+badNewsMS)
}

// asked tells whether the load report of an executor is to be waited for before anything goes there: where
// this controller's part is below one thread, its own threads say nothing of how full it is.
func (g *Gateway) asked(x int) bool {
	e := &g.executors[x]
	if g.given.Text("report_comes") != "probes" || g.fresh(e) || !g.blind(e) {
		return false
	}
	if !e.probeOut && g.asks >= 1 {
		g.asks--
		e.probeOut, e.probed = true, g.now
		g.do(Action{Kind: Probe, Executor: e.id})
	}
	return g.now < g.reportedAt+blindMS
}

// owed is the work, in ms of one thread, that this controller has sent to an executor beyond what its part
// of it has done since. Where that part is below one thread, the threads running now say nothing.
func (g *Gateway) owed(e *executor) float64 {
	return max(0, e.owed-(g.now-e.owedAt)*drainPerCore*e.cores*g.share())
}

// order ranks an executor for a table group, the same at every controller. Executors of a kind that some
// offering is bound to come last for the others.
func order(group uint64, id uint32, last bool) uint64 {
	h := (group+1)*0x9E3779B97F4A7C15 ^ (uint64(id)+1)*0xC2B2AE3D27D4EB4F
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	h ^= h >> 31
	if h >>= 1; !last {
		h |= 1 << 63
	}
	return h
}

// grant is the memory that a shot at s takes on e.
func (g *Gateway) grant(s *search, e *executor) float64 {
	wants := s.need // executors that set the grants themselves go by the estimate
	if g.given.Is("grants") {
		wants *= g.offerings[s.offering].memory
	}
	return min(wants, e.ram*g.given.Num("largest_share", 1))
}

// fire sends the shot that was placed, at the top level.
func (g *Gateway) fire(i int) {
	s, e := &g.slab.places[i], &g.executors[g.target]
	o := &g.offerings[s.offering]
	s.p, s.quanta, s.level = pTop, 0, topLevel
	g.lend(s, g.target, g.grant(s, e))
	e.owed, e.owedAt = g.owed(e)+s.work, g.now
	e.seen, e.seenMemory = e.seen+float64(o.threads), e.seenMemory+g.grant(s, e)
	if g.now < e.coldUntil {
		e.coldSent.add(g.now, o.usual)
	}
	if o.holds {
		g.held = append(g.held, holding{s.group, g.target, math.Inf(1)})
	}
	g.terms(s)
	g.do(Action{Kind: Send, Search: s.id, Executor: e.id})
}

// terms names the memory and the level of s.
func (g *Gateway) terms(s *search) {
	if !g.given.Is("grants") && !g.given.Is("priorities") {
		return
	}
	a := Action{Kind: Terms, Search: s.id, Level: s.level}
	if g.given.Is("grants") && s.fired > 0 {
		a.GrantMB = math.Ceil(s.last().grant)
	}
	g.do(a)
}

// callOff stops waiting for the shots of a search that are out.
func (g *Gateway) callOff(i int) {
	s := &g.slab.places[i]
	for k := range s.fired {
		if s.shots[k].out && g.given.Is("may_call_off") {
			g.do(Action{Kind: CallOff, Search: s.id, Shot: k})
		}
	}
	g.release(i)
}

// answer gives the final answer: denied where that is allowed, so that the client may come back, else
// written off.
func (g *Gateway) answer(i int) {
	s := &g.slab.places[i]
	if g.mayDeny(s) {
		a := Action{Kind: Deny, Search: s.id}
		if g.given.Is("tells_come_back") {
			a.AfterMS = g.given.Num("longest_come_back_ms", 0) * (0.5 + 0.5*g.chance())
		}
		g.do(a)
	} else {
		g.do(Action{Kind: WriteOff, Search: s.id})
	}
	g.callOff(i)
}

// news takes what an event says of a search in hand.
func (g *Gateway) news(i int, ev *Event) {
	s := &g.slab.places[i]
	switch {
	case ev.Kind == Left:
		g.search(i, finished)
	case ev.Shot < 0 || ev.Shot >= s.fired || !s.shots[ev.Shot].out:
	case ev.Kind == Streaming:
		s.bound = true
	case ev.Kind == Noted:
		g.note(i, &s.shots[ev.Shot], ev)
	default:
		g.ended(i, &s.shots[ev.Shot], ev)
	}
}

// note takes a note of a running shot.
func (g *Gateway) note(i int, h *shot, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	e.heard, e.missed, h.noted = g.now, false, g.now
	switch ev.Note {
	case Waits:
		g.line(h, true)
		g.dirty = true
		// A reader that stands still behind a load, which may be another controller's, goes elsewhere at once: it
		// has done nothing yet that would be lost. Harms only by the shot that it uses up.
		if ev.Value == 2 {
			g.seen = append(g.seen, holding{s.group, h.executor, g.now + seenMS})
			if s.state == running && o.effect == "redoable" && h.share == 0 && g.mayFollow(s) {
				g.search(i, doomed)
			}
		}
	case Spills:
		h.spilled = true
		if s.need > 0 {
			o.memory = max(o.memory, o.memory+fade*((h.grant+ev.Value)/s.need*memorySpare-o.memory))
		}
	case Progress:
		if ev.Value > h.share { // a shot that stands still goes on telling the share that it has
			h.share = ev.Value
			g.line(h, false)
		}
		e.proven = e.proven || ev.Value > 0
		least := s.work / float64(o.threads)
		expected := least * max(1, o.slow) * max(1, e.pace)
		projected := h.ran / max(h.share, 0.01)
		// A bad plan, told by a pace far under that of the offering and the executor. It also catches a
		// shot that an executor has forgotten; it harms when an estimate is far too low, hence the limit on
		// what is left.
		if s.state == running && h.ran > badPlanMS && projected > badPlan*expected &&
			projected-h.ran > 2*expected && o.effect == "redoable" && g.mayFollow(s) {
			g.search(i, doomed)
		}
	}
}

// mayFollow tells whether a shot called off could be followed by another.
func (g *Gateway) mayFollow(s *search) bool {
	return g.given.Is("may_call_off") && g.shotsLeft(s) && g.rationLeft()
}

func (g *Gateway) shotsLeft(s *search) bool {
	return float64(s.fired) < min(mostShots, g.given.Num("most_shots", mostShots))
}

// ended takes the outcome of a shot.
func (g *Gateway) ended(i int, h *shot, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	g.settle(s, h, !ev.Outcome.NeverRan())
	g.dirty = true
	switch ev.Outcome {
	case Handled:
		e.heard, e.missed, e.proven, e.bad = g.now, false, true, 0
		g.learn(s, o, e, h, ev)
	case Full:
		e.restUntil = g.now + restMS
	case Erred, Refused, Severed:
		if e.bad++; e.bad > 1 || ev.Outcome == Refused {
			e.restUntil = g.now + restMS*math.Exp2(float64(min(e.bad, mostBad)))
		}
		if e.bad >= badInARow || !e.proven || ev.Outcome == Refused && g.blind(e) {
			g.suspect(h.executor)
		}
	}
	if rest := g.given.Num("key_rest_ms", 0); s.key != "" && rest > 0 &&
		(ev.Outcome == TimedOut || ev.Outcome == Severed || ev.Outcome == Recalled) {
		g.rests[s.key] = g.now + rest
	}
	if ev.Over {
		g.search(i, finished)
	} else if s.state != over && s.out == 0 {
		g.search(i, missed)
	}
	g.release(i)
}

// learn takes what a handled shot tells of its offering and of its executor.
func (g *Gateway) learn(s *search, o *offering, e *executor, h *shot, ev *Event) {
	g.finished.add(g.now, h.ran)
	ratio := h.ran / max(1, s.work/float64(o.threads))
	o.slow += fade * (min(ratio, slowCap*o.slow+1) - o.slow)
	e.pace += fade * (min(ratio/max(o.slow, 0.1), slowCap) - e.pace)
	if !h.spilled {
		o.memory -= memoryEase * o.memory
	}
	if ev.SpentMS > 0 && s.estimate > 0 {
		o.worked += learnt * (min(ev.SpentMS, slowCap*s.work) - o.worked)
		o.estimated += learnt * (s.estimate - o.estimated)
	}
}

// list takes news of the list.
func (g *Gateway) list(ev *Event) {
	if ev.List == NoList {
		g.askAt = g.now + askMS
		return
	}
	for x := range g.executors {
		if ev.List != Changes { // what a whole list leaves out is gone
			g.executors[x].standing = Gone
		}
	}
	for k := range ev.Entries {
		n := &ev.Entries[k]
		x := g.at(n.Executor)
		if x < 0 {
			x = len(g.executors)
			g.executors = append(g.executors, executor{id: n.Executor, state: fit, pace: 1, proven: true,
				upSince: max(0, g.now-g.given.Num("warm_up_ms", 0))})
		}
		e := &g.executors[x]
		e.read(g.given, g.offerings, n)
		if n.UpSince > e.upSince {
			e.upSince = n.UpSince
			g.judge(x, restarted)
			g.lost(x, n.UpSince, true)
		}
		e.standing = n.Standing
	}
	for x := range g.executors {
		if g.executors[x].standing == Gone {
			g.lost(x, g.now, true)
		}
	}
	g.dirty = true
}

// evict calls off the shots at an executor just set aside that may run again elsewhere; an irreversible one
// stays out, for the executor may only have been cut off.
func (g *Gateway) evict(x int) {
	e := &g.executors[x]
	e.asideAt, e.answers, e.strikes = g.now, 0, e.strikes+1
	g.lost(x, g.now, false)
}

// lost calls off the shots at x that went out before then: they can't end well any more. Unless surely
// gone, only those that another shot may follow.
func (g *Gateway) lost(x int, before float64, surely bool) {
	for i := range g.slab.places {
		s := &g.slab.places[i]
		if s.used && s.state == running && s.last().executor == x && s.last().sent < before &&
			(surely || g.offerings[s.offering].effect != "irreversible" && g.mayFollow(s)) {
			g.search(i, doomed)
		}
	}
}

// chill takes an executor as cold from now on, whatever the list says: it fell silent and may have started
// anew.
func (g *Gateway) chill(x int) {
	e := &g.executors[x]
	e.coldUntil = g.now + g.given.Num("warm_up_ms", 0)
	e.heard, e.busySince, e.bad, e.pace, e.missed, e.proven = g.now, g.now, 0, 1, false, false
	if e.asideAt > 0 {
		g.lost(x, e.asideAt, true)
	}
}

// suspect sets an executor aside, unless half of all look bad: then it is something that they share.
func (g *Gateway) suspect(x int) {
	bad, all := 1, 0
	for y := range g.executors {
		if e := &g.executors[y]; e.standing == Active {
			all++
			if y != x && (e.state == aside || g.quiet(e) > g.notesMS()) {
				bad++
			}
		}
	}
	if 2*bad <= all {
		g.judge(x, silent)
	}
}

// notesMS is the time between notes.
func (g *Gateway) notesMS() float64 { return cmp.Or(g.given.Num("told_every_ms", 0), blindMS) }

// probed takes the result of a probe.
func (g *Gateway) probed(ev *Event) {
	x := g.at(ev.Executor)
	if x < 0 {
		return
	}
	e := &g.executors[x]
	e.probeOut, e.missed = false, ev.Outcome != Handled
	if g.dirty = true; len(ev.Report) > 0 {
		e.seen, e.seenMemory, e.seenAt, g.reportedAt = 0, 0, g.now, g.now
		for k, name := range g.given.Names("report") {
			switch {
			case k >= len(ev.Report):
				continue
			}
			switch name {
			case "inflight":
				e.seen += ev.Report[k]
			case "x0":
				e.seenMemory = ev.Report[k] * e.ram
			case "x1":
				e.seen += ev.Report[k] * busyThreads * e.cores
			case "queue":
				if ev.Report[k] > 0.5 { // what comes now stands in line
					e.seen += shortPerCore * e.cores
				}
			}
		}
	}
	if e.answers++; e.missed {
		e.answers, e.restUntil = 0, g.now+restMS
	} else if e.state == aside && e.answers >= probesBack*e.strikes {
		g.judge(x, answered)
	}
}

// beat looks at all that runs: levels, time left, executors under suspicion.
func (g *Gateway) beat() {
	g.do(Action{Kind: Wake, AfterMS: beatMS})
	gap := g.now - cmp.Or(g.beatAt, g.now-beatMS)
	g.dirty, g.beatAt = true, g.now
	g.asks = min(asksSaved, g.asks+gap*asksPerMS)
	g.readOnset()
	if g.given.Text("list_comes") == "asked" && g.now >= g.askAt {
		g.askAt = math.Inf(1)
		g.do(Action{Kind: Listen})
	}
	for i := range g.slab.places {
		s := &g.slab.places[i]
		switch {
		case !s.used || s.state == over:
		case g.now >= s.until-closingMS && !s.bound:
			g.search(i, hopeless)
		case s.state == running:
			g.age(s, s.last(), gap)
			if gap < stallMS && g.forgotten(s, s.last()) {
				g.search(i, doomed)
			}
		}
	}
	// After a stall of its own, signs of work may still stand in line behind this beat: nobody is judged.
	for x := 0; gap < stallMS && x < len(g.executors); x++ {
		g.watch(x)
	}
	g.endRests()
}

// age adds a beat of running time to a shot and lets its priority decay; the level is marked anew when it
// changes.
func (g *Gateway) age(s *search, h *shot, gap float64) {
	if h.waits != 0 {
		return // waiting is not running
	}
	o := &g.offerings[s.offering]
	h.ran += min(gap, g.now-h.sent)
	for float64(s.quanta+1)*quantumMS <= h.ran {
		s.quanta++
		// A load keeps its priority (paper, 3.2, custom priorities): demoted, it would hold up its readers longer.
		if g.finished.count() >= onsetLeast && float64(s.quanta)*quantumMS > g.onset && !o.holds {
			s.p = max(pFloor, decay*s.p)
		}
	}
	if level := levelOf(s.p); level != s.level {
		s.level = level
		g.terms(s)
	}
}

// forgotten tells whether a shot has missed a note while its executor goes on working: its reply, or the
// shot itself, is lost. It catches lost replies, cut streams and shots dropped by an executor, whatever the
// cause. It harms where notes alone are lost: then a good shot is called off. It leaves alone a shot in line
// for memory, which sends none, and does nothing where no notes come.
func (g *Gateway) forgotten(s *search, h *shot) bool {
	every := g.given.Num("told_every_ms", 0)
	e := &g.executors[h.executor]
	return every > 0 && g.now-h.noted > noteLate*every+slackMS && h.waits == 0 && e.heard > h.noted &&
		e.state != aside && g.offerings[s.offering].effect != "irreversible" && g.mayFollow(s)
}

// levelOf is the level of a priority.
func levelOf(p float64) int {
	return int(math.Round(topLevel * math.Log(p/pFloor) / math.Log(pTop/pFloor)))
}

// readOnset reads the least running time below which the queries finished lately spent onsetShare of
// theirs.
func (g *Gateway) readOnset() {
	if g.finished.count() > onsetLeast {
		g.finished.forget(g.now - onsetMS)
	}
	if g.now < g.onsetAt+onsetEvery {
		return
	}
	g.onsetAt = g.now
	g.sorted = append(g.sorted[:0], g.finished.live()...)
	slices.Sort(g.sorted)
	g.onset = onsetOf(g.sorted)
}

// onsetOf solves sum(min(t, onset)) = onsetShare * sum(t) for sorted running times t.
func onsetOf(sorted []float64) float64 {
	want := 0.0
	for _, t := range sorted {
		want += onsetShare * t
	}
	below := 0.0
	for k, t := range sorted {
		rest := float64(len(sorted) - k)
		if below+t*rest >= want {
			return (want - below) / rest
		}
		below += t
	}
	return 0
}

// watch probes an executor that is aside or shows no sign of work, and sets it aside when that goes on. It
// catches silence, cut links, hung machines, and ones that answer probes but finish nothing. It harms where
// all shots of this controller at an executor stand in line without notes.
func (g *Gateway) watch(x int) {
	e := &g.executors[x]
	if e.state == chilled && g.now >= e.coldUntil {
		e.strikes = 0
		g.judge(x, warmed)
	}
	if e.standing != Active {
		return
	}
	quiet, every := g.quiet(e), g.notesMS()
	look := e.state == aside || quiet > min(every, probeMS)
	if look && !g.given.Is("may_probe") {
		if e.state == aside && g.now > e.asideAt+every*float64(e.strikes) {
			g.judge(x, answered)
		}
	} else if look && !e.probeOut && g.now >= e.probed+probeMS/math.Sqrt(g.share()) {
		e.probeOut, e.probed = true, g.now
		g.do(Action{Kind: Probe, Executor: e.id})
	}
	// A shot in line for memory sends no notes: where all of ours are, silence is none without a missed probe.
	slack := noteMany
	if e.missed && e.lined < e.out {
		slack = noteSlack
	}
	if e.state != aside && quiet > slack*every+slackMS && (e.missed || e.lined < e.out) {
		g.suspect(x)
	}
}
