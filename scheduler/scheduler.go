// The decisions of liftshift stand in this file, in slowstart.go and in drains.go. A front makes an instance
// with New and hands it each event through Step, which appends the actions it wants done: step.go routes
// events here; slab.go is storage. docs/design.md says what was added to the design's ordinary path, and
// when that acts.
package scheduler

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
	keptRuns   = 64    // running times kept through a restart: three times the least that tells an onset
	topLevel   = 3     // highest level on the engines

	// Room on an executor.
	boundPerCore = 1.2  // running threads a core at which routing skips it: half of a request's time is reading
	drainPerCore = 1.5  // threads a core at which what was sent counts as done: a full executor's
	owedMS       = 1000 // ms a core of owed work that weigh as much as one thread a core: a request's length
	freshMS      = 600  // ms that a load report or telling counts: what it tells of ends in about that time
	posts        = 3    // controllers that add up what the others tell: some may stall or be dead
	tellMS       = 250  // ms between tellings: half as often costs more gain than it saves in bytes
	toldStep     = 0.2  // threads a core in each of the sixteen steps told, up to twice what is full
	warning      = 4    // threads more told of an executor that fails: three such warnings fill it
	asksPerTake  = 2    // probes for load reports that each request allows: a second choice, no more
	asksPerMS    = 1e-3 // the same for time going by, so that what waits can go on asking
	asksSaved    = 10   // most of those kept for later: a burst's worth
	busyThreads  = 1.2  // threads a core on an executor whose disks are always busy: half are kept by cores
	fullPerCore  = 1.5  // threads a core past which work is lost: a request waits here (paper's wait queue)
	shortPerCore = 2.2  // the same for requests shorter than the onset, which leave again at once
	lateLeast    = 0.25 // share of the gain that a late answer must earn for a request to wait for it
	crowd        = 50   // requests waiting that are a crowd: to go through them at each event costs too much

	// Judging attempts and executors.
	askMS       = 1000 // ms until a list out of reach is asked for again: longer than most calls take
	beatMS      = 20   // ms between looks at what runs: a fifth of a quantum
	stallMS     = 100  // ms between beats from which this instance itself stood still: five beats
	closingMS   = 25   // ms before the client gives up at which it gets its answer: one beat and a tick
	noteLate    = 1.5  // note intervals until a running attempt must have been told of: one, and its phase
	noteMany    = 3.0  // note intervals without any sign though probes are answered
	slackMS     = 100  // ms on top of both, for notes on their way
	blindMS     = 2000 // ms without notes, reports or tellings after which there are none
	probeMS     = 500  // ms between probes of an executor under suspicion: two probe time-outs
	probesBack  = 2    // probes in a row that bring an executor back: one may be luck
	badInARow   = 5    // failures in a row that set aside, as breaks hit good ones too; one, after a return
	errorsMost  = 2    // errors after which a request itself is at fault: a third executor would say the same
	restMS      = 300  // ms that an executor is left alone after it refused
	againMS     = 25   // ms until a request whose attempt could not leave is tried again; doubled each time
	againMost   = 400  // ms of that at most: descriptors and ports come back in such times
	fade        = 0.1  // weight of the newest figure in fading means
	learnt      = 0.02 // weight of one answer's true cost: estimates are wrong by offering, and that stays
	seenMS      = 2000 // ms that a load met once is taken to go on: a part of what loads take
	badPlan     = 4.0  // times the expected running time at which a plan counts as bad; more tells no pace
	badPlanMS   = 400  // ms that an attempt runs before its plan is judged
	memorySpare = 1.3  // memory granted for each MB that a spilling request turned out to need
	memoryStart = 1.5  // the same before anything is known: spilling costs far more than memory too much
)

// States of a request, then of an executor.
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

// Inputs of a request, then of an executor.
const (
	placed    input = iota // an executor was found for it
	missed                 // its attempt ended unhandled
	doomed                 // its attempt is lost or has a bad plan
	hopeless               // it can't be handled any more
	finished               // it was handled, or its client left
	silent                 // no sign of work, or only bad ones
	answered               // probes were answered
	restarted              // the list tells of a new start
	warmed                 // the time to warm up is over
)

var requestTable, executorTable []row

func init() {
	requestTable = []row{
		{waiting, placed, running, (*Scheduler).fire},
		{running, missed, waiting, nil},
		{recalling, missed, waiting, nil},
		{running, doomed, recalling, (*Scheduler).callOff},
		{over, hopeless, over, nil},
		{over, finished, over, nil},
		{anyState, hopeless, over, (*Scheduler).answer},
		{anyState, finished, over, (*Scheduler).callOff},
	}
	executorTable = []row{
		{fit, silent, aside, (*Scheduler).evict},
		{chilled, silent, aside, (*Scheduler).evict},
		{aside, answered, chilled, (*Scheduler).chill},
		{aside, restarted, aside, (*Scheduler).chill},
		{anyState, restarted, chilled, (*Scheduler).chill},
		{chilled, warmed, fit, nil},
	}
}

func (g *Scheduler) take(ev *Event) {
	if _, ok := g.slab.find(ev.Request); ok {
		return
	}
	k := slices.IndexFunc(g.offerings, func(o offering) bool { return o.name == ev.Class })
	if k < 0 { // an offering that the settings don't name: nothing is known that would let it run
		g.do(Action{Kind: Reject, Request: ev.Request})
		return
	}
	o, s := &g.offerings[k], g.hold(ev, k)
	if o.estimated > 0 {
		s.work *= o.worked / o.estimated
	}
	s.work, s.until = cmp.Or(max(0, s.work), o.usual, 1), min(s.until, g.closing)
	o.taken++
	o.usual += max(learnt, 1/o.taken) * (s.work - o.usual)
	s.due = g.now + o.due + o.stretch*s.work/float64(o.threads)
	g.asks = min(asksSaved, g.asks+asksPerTake)
	if g.dirty = true; ev.Blocked { // a repeat of it could not be told after a crash
		i, _ := g.slab.find(ev.Request)
		g.request(i, hopeless)
	}
}

// recall takes over what was known before a restart: it narrows sending, and saves learning.
func (g *Scheduler) recall(ev *Event) {
	g.recount(ev)
	for _, t := range ev.ExecutorStates {
		if x := g.at(t.Executor); x >= 0 {
			e := &g.executors[x]
			if t.Draining && e.standing == Active {
				e.standing = Draining
			}
			if t.WarmupUntil > max(g.now, e.coldUntil) {
				e.state, e.coldUntil, e.proven = chilled, t.WarmupUntil, false
			}
			if e.strikes = t.Ejections; t.Ejected {
				e.strikes--
				g.judge(x, silent)
			}
		}
	}
}

// stop makes a planned end the hard limit of all in hand and to come: the rest is denied, or failed.
func (g *Scheduler) stop(by float64) {
	g.closing, g.dirty = by, true
	for i := range g.slab.places {
		g.slab.places[i].until = min(g.slab.places[i].until, by)
	}
}

// maySend is the one place that decides whether an attempt at s may go to executor x. notHere: this one
// won't do; notNow: none will at this moment; never: none will any more.
func (g *Scheduler) maySend(s *request, x int) verdict {
	o, e := &g.offerings[s.offering], &g.executors[x]
	if s.state != waiting || s.out > 0 || g.now >= s.until-closingMS || g.now < s.again {
		return notNow // a second attempt beside the first is never sent
	}
	if !g.attemptsLeft(s) {
		return never
	}
	for first := range g.doubts(s) { // what may have run, under this mark
		if o.effect != Keyed || g.now > g.latest(s) {
			return never
		}
		if o.scope == DedupZone && first.Zone != e.place || o.scope == DedupCell && first.Cell != e.cell {
			return notHere
		}
	}
	if s.begun() > 0 && !g.rationLeft(0) || s.key != "" && (g.now < g.rests[s.key] || g.earlier(s)) {
		return notNow
	}
	if !among(o.kinds, e.kind) || !among(o.places, e.place) || e.standing != Active || e.state == aside ||
		g.now < e.coldUntil && !g.warmEnough(o, e) || g.beyond(s, o, e.place) || g.now > g.openUntil(e) {
		return notHere
	}
	return yes
}

// latest is the clock by which an attempt of s must have begun, wherever it waits before: later its client
// has its answer, or what drops its repeats may have forgotten it.
func (g *Scheduler) latest(s *request) float64 {
	by := s.until - closingMS
	for first := range g.doubts(s) {
		by = min(by, first.At+g.offerings[s.offering].window-closingMS)
	}
	return by
}

// beyond tells whether a place is too far for a request: no room left there, too little gain, too long a
// way.
func (g *Scheduler) beyond(s *request, o *offering, place string) bool {
	r := g.far(o, place)
	return r != nil && (float64(r.out+o.threads) > r.Capacity || s.earns < r.MinDensity ||
		g.now+r.LatencyMS+s.work/float64(o.threads) > s.until-closingMS)
}

// rationLeft tells whether one more attempt beyond a request's first, besides those coming, is in the
// ration. One may begin as late as its connection comes up: counted from there, too, no more than one is
// over it.
func (g *Scheduler) rationLeft(coming int) bool {
	length, late := g.settings.RetryBudget.WindowMS, g.settings.ConnectTimeoutMS
	g.extras.forget(g.now-length-late-beatMS, 0)
	g.takes.forget(g.now-length, 0)
	most := g.settings.RetryBudget.Floor + g.settings.RetryBudget.Share*float64(g.takes.count())
	return length == 0 || float64(g.extras.since(g.now-length-beatMS)+coming+1) <= most &&
		float64(g.extras.count()+coming) <= most
}

// mayDeny is the one place that decides whether a request may be denied: a new try must do no harm.
func (g *Scheduler) mayDeny(s *request) bool {
	o := &g.offerings[s.offering]
	return o.effect == Idempotent || o.effect == Keyed && o.scope == DedupAll || !s.mayHaveRun()
}

// placeNow tells whether to go through what waits: a crowd once a tick, not at each event.
func (g *Scheduler) placeNow() bool { return g.now > g.placedAt || len(g.waiting) < crowd }

// place sends what waits, the most gain for its work first, and gives up what can't earn any more.
func (g *Scheduler) place() {
	g.gather()
	slices.SortFunc(g.waiting, func(a, b int) int {
		s, t := &g.slab.places[a], &g.slab.places[b]
		return cmp.Or(cmp.Compare(t.earns, s.earns), cmp.Compare(s.seq, t.seq))
	})
	for _, i := range g.waiting {
		s := &g.slab.places[i]
		again := s.fired > 0 || s.prior.At != 0 && len(g.executors) > 0
		if s.earns == 0 || again && g.maySend(s, 0) == never ||
			s.begun() > 0 && g.mayDeny(s) && !g.rationLeft(0) {
			g.request(i, hopeless)
		} else if g.full && !s.now {
			continue // no executor has room for a single thread, so nobody need ask again in this pass
		} else if x := g.choose(s); x >= 0 {
			g.target = x
			g.request(i, placed)
		} else if s.now {
			g.do(Action{Kind: ReturnRequest, Request: s.id})
			g.slab.drop(i)
		} else if o := &g.offerings[s.offering]; o.late < lateLeast && g.now+s.work/float64(o.threads) > s.due {
			g.request(i, hopeless) // sure to be late, and then worth little: it would only fill the line
		}
	}
	g.dirty = false
}

// density is the gain that a request can still earn, for its work.
func (g *Scheduler) density(s *request) float64 {
	o := &g.offerings[s.offering]
	least := s.work / float64(o.threads)
	switch {
	case g.now+least > s.until-closingMS || s.erred >= errorsMost:
		return 0
	case g.now+least > s.due:
		return o.gain * o.late / s.work
	}
	return o.gain / s.work
}

// choose gives the executor for a request, or -1: in the nearest places with room the first in its order,
// else the one with the fewest threads a core. A request waits rather than stand behind a load of its group.
func (g *Scheduler) choose(s *request) int {
	o := &g.offerings[s.offering]
	limit := fullPerCore
	if s.work/float64(o.threads) <= g.onset {
		limit = shortPerCore
	}
	g.full = true
	best, bestFill, bestRank, bestTier := -1, 0.0, uint64(0), 0
	for x := range g.executors {
		e := &g.executors[x]
		busy, part, memory := float64(e.threads), g.part(e), e.memory
		if g.fresh(e) {
			busy, part, memory = e.seen, 1, e.seenMemory
		}
		room, ours := e.cores*part, g.part(e)*e.cores
		now, far := min(1, room*room), 1-min(1, ours*ours)
		g.full = g.full && busy > 0 && busy+1 > shortPerCore*room
		if g.now < e.restUntil || !e.proven && e.out > 0 || (o.behind || o.holds) && g.holds(s.group, x) {
			continue
		}
		if v := g.maySend(s, x); v == notNow || v == never {
			g.full = false
			break
		} else if v == notHere {
			continue
		}
		threads, tier := busy+float64(o.threads), g.far(o, e.place).tier()
		memory = (memory + g.grant(s, e)) / (e.ram * part)
		group := s.group
		if o.holds && g.blind(e) { // controllers that don't see each other's loads spread them
			group += uint64(g.settings.Slot) << 32
		}
		fill := 0.0 // within the bound the order decides, past it the threads, ours and all's
		if threads*now > boundPerCore*room || memory*now > 1 || far*g.owed(e) > 0 {
			fill = 1 + now*busy/room + far*g.owed(e)/e.cores/owedMS
		}
		if (fill == 0 || threads <= limit*room && memory <= limit/shortPerCore || busy == 0) &&
			(best < 0 || tier < bestTier || tier == bestTier &&
				(fill < bestFill || fill == bestFill && order(group, e.id) > bestRank)) {
			// What is told to all at once would send all to the same one: the fuller, the fewer go at each telling.
			if g.settings.MayMessagePeers && g.blind(e) && g.fresh(e) &&
				g.odds(s.seq*7919+uint64(e.seenAt)*31+uint64(x)) > 1-busy/(limit*room) {
				continue
			}
			best, bestFill, bestRank, bestTier = x, fill, order(group, e.id), tier
		}
	}
	if best >= 0 && g.asked(best) {
		return -1
	}
	return best
}

// tell lets a few controllers know what this one has out. Those add up and tell all how full executors are.
// A lost message is made good by the next; without any, the owed work decides.
func (g *Scheduler) tell() {
	if !g.settings.MayMessagePeers || g.now < g.tellAt || len(g.executors) == 0 || !g.blind(&g.executors[0]) {
		return
	}
	g.tellAt = g.now + tellMS*(0.9+0.2*g.chance())
	if !g.fitsTelling() {
		return // the owed work decides, as without tellings
	}
	g.mail = append(g.mail[:0], 0)
	for x := range g.executors {
		e, threads := &g.executors[x], g.executors[x].threads
		if e.bad > 0 && (g.now < e.restUntil || e.state == aside) {
			threads += warning // a dead executor looks empty otherwise
		}
		g.pack(e, threads)
	}
	if g.post(posts) {
		g.addUp(g.now - blindMS)
		for x := range g.executors {
			e := &g.executors[x]
			e.level = math.Round(max(e.sum/e.cores, e.sumMemory*fullPerCore) / toldStep)
		}
		g.publish()
	}
}

// heard takes a message: what another controller has out, or how full the executors are.
func (g *Scheduler) heard(from int, data []byte) {
	told := g.unpublish(from, data)
	for x := 0; told && x < len(g.executors); x++ {
		if e := &g.executors[x]; e.standing == Active {
			e.seen, e.seenMemory, e.seenAt = e.level*toldStep*e.cores, 0, g.now
		}
	}
	g.dirty = g.dirty || told
}

// part is this controller's part of an executor, widened by a spread, as parts are rarely full at once.
func (g *Scheduler) part(e *executor) float64 { return e.part }

func partOf(share, cores float64) float64 { return share * (1 + math.Sqrt((1/share-1)/cores)) }

// blind tells that this controller's part of an executor is below one thread.
func (g *Scheduler) blind(e *executor) bool { return g.part(e)*e.cores < 1 }

// fresh tells whether a reported load still counts: bad news for longer, so that nobody runs back to a line.
func (g *Scheduler) fresh(e *executor) bool {
	age := g.now - e.seenAt
	return e.seenAt > 0 && (age < freshMS || e.seen > shortPerCore*e.cores && age < 2*freshMS)
}

// asked tells whether an executor's load report is to be waited for: our own threads say nothing of its
// load.
func (g *Scheduler) asked(x int) bool {
	e := &g.executors[x]
	if !g.settings.ReportsByProbe || g.fresh(e) || !g.blind(e) {
		return false
	}
	if !e.probeOut && g.asks >= 1 {
		g.asks--
		e.probeOut, e.probed = true, g.now
		g.do(Action{Kind: HealthCheck, Executor: e.id})
	}
	g.full = g.asks < 1 && g.now < g.reportedAt+blindMS // nobody need ask again in this pass
	return g.now < g.reportedAt+blindMS
}

// owed is the work, in ms of one thread, sent to an executor beyond what our part of it has done since.
func (g *Scheduler) owed(e *executor) float64 {
	return max(0, e.owed-(g.now-e.owedAt)*drainPerCore*e.cores*g.share())
}

func (g *Scheduler) grant(s *request, e *executor) float64 {
	wants := s.need * cmp.Or(s.part, 1) // executors that set the grants themselves go by the estimate
	if g.settings.HonorsGrants {
		wants *= g.offerings[s.offering].memory
	}
	return min(wants, e.ram*g.settings.LargestShare)
}

// fire sends the attempt placed, at the top level.
func (g *Scheduler) fire(i int) {
	s, e := &g.slab.places[i], &g.executors[g.target]
	o, by := &g.offerings[s.offering], min(g.latest(s), g.openUntil(e))
	s.p, s.quanta, s.level = pTop, 0, topLevel
	if s.start > 0 && !o.holds { // past its budget while others wait: the paper's static p0 (3.2)
		s.p, s.level = min(s.start, pTop), levelOf(min(s.start, pTop))
	}
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
	g.do(Action{Kind: Send, Request: s.id, Executor: e.id, LatestStart: by})
}

// terms names the memory and the level of s; what a deployment doesn't heed does no harm.
func (g *Scheduler) terms(s *request) {
	g.do(Action{Kind: SetResources, Request: s.id, Level: s.level, GrantMB: math.Ceil(s.last().grant)})
}

func (g *Scheduler) callOff(i int) {
	s := &g.slab.places[i]
	for k := range s.fired {
		if s.attempts[k].out && g.settings.MayCancel {
			g.do(Action{Kind: Cancel, Request: s.id, Attempt: k})
		}
	}
	g.release(i)
}

func (g *Scheduler) answer(i int) {
	s := &g.slab.places[i]
	if g.mayDeny(s) {
		a := Action{Kind: Reject, Request: s.id}
		if g.settings.NamesRetryAfter {
			a.AfterMS = g.settings.MaxRetryAfterMS * (0.5 + 0.5*g.chance())
		}
		g.do(a)
	} else {
		g.do(Action{Kind: Fail, Request: s.id})
	}
	g.callOff(i)
}

func (g *Scheduler) note(i int, h *attempt, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	e.heard, e.missed, h.noted, e.tookAt = g.now, false, g.now, max(e.tookAt, h.sent)
	switch ev.Progress {
	case Waiting:
		g.line(h, true)
		g.dirty = true
		// A reader that stands behind a load goes elsewhere at once: all it loses is the attempt that it uses up.
		if ev.Value == 2 {
			g.seen = append(g.seen, holding{s.group, h.executor, g.now + seenMS})
			if s.state == running && o.effect == Idempotent && h.share == 0 && g.mayFollow(s) {
				g.request(i, doomed)
			}
		}
	case Spilling:
		if s.need > 0 {
			o.memory = max(o.memory, o.memory+fade*((h.grant+ev.Value)/s.need*memorySpare-o.memory))
		}
	case Progress:
		if ev.Value > h.share { // an attempt that stands still goes on telling the share that it has
			h.share = ev.Value
			g.line(h, false)
		}
		e.proven = e.proven || ev.Value > 0
		least := s.work / float64(o.threads)
		expected := least * max(1, o.slow) * max(1, e.pace)
		projected := h.ran / max(h.share, 0.01)
		// A bad plan, told by a pace far under that of offering and executor, or an attempt that was forgotten
		// there. It harms when an estimate is far too low, hence the limit on what is left.
		if s.state == running && h.ran > badPlanMS && projected > badPlan*expected &&
			projected-h.ran > 2*expected && o.effect == Idempotent && g.mayFollow(s) {
			g.request(i, doomed)
		}
	}
}

func (g *Scheduler) mayFollow(s *request) bool {
	return g.settings.MayCancel && g.attemptsLeft(s) && g.rationLeft(g.returning())
}

func (g *Scheduler) attemptsLeft(s *request) bool {
	return s.fired < mostAttempts && s.begun() < g.settings.MaxAttempts
}

func (g *Scheduler) ended(i int, h *attempt, ev *Event) {
	s := &g.slab.places[i]
	o, e := &g.offerings[s.offering], &g.executors[h.executor]
	g.settle(s, h, !ev.Outcome.NeverRan())
	g.dirty = true
	switch ev.Outcome {
	case Succeeded:
		e.heard, e.missed, e.proven, e.bad, e.tookAt = g.now, false, true, 0, max(e.tookAt, h.sent)
		g.learn(s, o, e, h, ev)
	case Overloaded:
		e.restUntil = g.now + restMS
	case LocalFailure:
		e.restUntil = g.now + restMS // others may have a connection already
		g.neverLeft(s, h)
	case Errored, ConnectFailed, ConnectionLost:
		s.erred += count(ev.Outcome == Errored)
		if e.bad++; e.bad > 1 || ev.Outcome == ConnectFailed {
			e.restUntil = g.now + restMS
		}
		if e.bad >= badInARow || !e.proven || ev.Outcome == ConnectFailed && g.blind(e) {
			g.suspect(h.executor)
		}
	}
	if rest := g.settings.OrderKeyRestMS; s.key != "" && rest > 0 &&
		(ev.Outcome == TimedOut || ev.Outcome == ConnectionLost || ev.Outcome == Cancelled) {
		g.rests[s.key] = g.now + rest
	}
	if ev.Final {
		g.request(i, finished)
	} else if ev.Blocked {
		g.request(i, hopeless)
	} else if s.state != over && s.out == 0 {
		g.request(i, missed)
	}
	g.release(i)
}

func (g *Scheduler) learn(s *request, o *offering, e *executor, h *attempt, ev *Event) {
	g.finished.add(g.now, h.ran)
	ratio := h.ran / max(1, s.work/float64(o.threads))
	o.slow += fade * (min(ratio, badPlan*o.slow+1) - o.slow)
	e.pace += fade * (min(ratio/max(o.slow, 0.1), badPlan) - e.pace)
	if ev.CostMS > 0 && s.estimate > 0 {
		o.worked += learnt * (min(ev.CostMS, badPlan*s.work) - o.worked)
		o.estimated += learnt * (s.estimate - o.estimated)
	}
}

func (g *Scheduler) list(ev *Event) {
	if ev.List == ListUnavailable {
		g.askAt, g.unheard = g.now+askMS, ev.Deadline
		g.deem(ev.PresumedAt)
		return
	}
	g.unheard, g.deemed = 0, g.deemed[:0]
	for x := range g.executors {
		if ev.List != ListDelta { // what a whole list leaves out is gone
			g.executors[x].standing = Removed
		}
	}
	for k := range ev.Endpoints {
		n := &ev.Endpoints[k]
		known := g.at(n.Executor) >= 0
		x := g.enter(n, executor{id: n.Executor, state: fit, pace: 1, proven: true})
		e := &g.executors[x]
		if g.startedAnew(n, e, known, ev.List) {
			g.judge(x, restarted)
			g.lost(x, g.startOf(n), true)
		}
		e.upSince, e.standing = n.StartedAt, n.Availability
	}
	for x := range g.executors {
		if g.executors[x].standing == Removed {
			g.lost(x, g.now, true)
		}
	}
	g.dirty = true
}

// evict calls off the attempts at an executor set aside, but irreversible ones: it may only be cut off.
func (g *Scheduler) evict(x int) {
	e := &g.executors[x]
	e.asideAt, e.answers, e.strikes = g.now, 0, e.strikes+1
	g.lost(x, g.now, false)
}

// lost calls off the attempts at x that went out before; unless surely gone, only those another may follow.
func (g *Scheduler) lost(x int, before float64, surely bool) {
	for i := range g.slab.places {
		s := &g.slab.places[i]
		if s.used && s.state == running && s.last().executor == x && s.last().sent < before &&
			(surely || g.offerings[s.offering].effect != NonIdempotent && g.mayFollow(s)) {
			g.request(i, doomed)
		}
	}
}

// suspect sets an executor aside, unless half of all look bad: then it is something they share.
func (g *Scheduler) suspect(x int) {
	bad, all := 1, 0
	for y := range g.executors {
		if e := &g.executors[y]; e.standing == Active {
			all++
			bad += count(y != x && (e.state == aside || g.quiet(e) > g.notesMS()))
		}
	}
	if 2*bad <= all {
		g.judge(x, silent)
	}
}

func (g *Scheduler) notesMS() float64 { return cmp.Or(g.settings.ProgressEveryMS, blindMS) }

func (g *Scheduler) probed(ev *Event) {
	x := g.at(ev.Executor)
	if x < 0 {
		return
	}
	e := &g.executors[x]
	if ev.Outcome == LocalFailure {
		e.probeOut = false
		return
	}
	e.probeOut, e.missed = false, ev.Outcome != Succeeded
	if g.dirty = true; len(ev.LoadReport) > 0 {
		e.seenAt, g.reportedAt = g.now, g.now
		e.seenMemory = g.reported(ev, ReportMemoryShare) * e.ram
		e.seen = g.reported(ev, ReportInFlight) + g.reported(ev, ReportDiskShare)*busyThreads*e.cores
		if g.reported(ev, ReportQueued) > 0.5 { // what comes now stands in line
			e.seen += shortPerCore * e.cores
		}
	}
	if e.answers++; e.missed {
		e.answers, e.restUntil = 0, g.now+restMS
	} else if e.state == aside && e.answers >= probesBack*e.strikes {
		g.judge(x, answered)
	}
}

// beat looks at all that runs: levels, time left, executors under suspicion.
func (g *Scheduler) beat() {
	g.do(Action{Kind: SetTimer, AfterMS: beatMS})
	gap := g.now - cmp.Or(g.beatAt, g.now-beatMS)
	g.dirty, g.beatAt = true, g.now
	g.asks = min(asksSaved, g.asks+gap*asksPerMS)
	g.readOnset()
	if g.settings.SubscribesToList && g.now >= g.askAt {
		g.askAt = math.Inf(1)
		g.do(Action{Kind: Subscribe})
	}
	for i := range g.slab.places {
		s := &g.slab.places[i]
		switch {
		case !s.used || s.state == over:
		case g.now >= s.until-closingMS && !s.bound:
			g.request(i, hopeless)
		case s.state == running:
			g.age(s, s.last(), gap)
			if gap < stallMS && g.forgotten(s, s.last()) {
				g.request(i, doomed)
			}
		}
	}
	// After a stall of its own, signs of work may still stand in line behind this beat: nobody is judged.
	for x := 0; gap < stallMS && x < len(g.executors); x++ {
		g.watch(x)
	}
	g.endRests()
}

// age adds a beat of running time to an attempt and lets its priority decay.
func (g *Scheduler) age(s *request, h *attempt, gap float64) {
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
	g.remark(s)
}

// remark names the level of s where it has changed.
func (g *Scheduler) remark(s *request) {
	if level := levelOf(min(s.p, cmp.Or(s.under, pTop))); level != s.level {
		s.level = level
		g.terms(s)
	}
}

// press holds a request under a priority while others lack their due; a load never: its group would wait.
func (g *Scheduler) press(i int, ev *Event) {
	s := &g.slab.places[i]
	if s.under, s.part = ev.PriorityCap, ev.MemoryShare; g.offerings[s.offering].holds {
		s.under = 0
	}
	if s.state == running {
		g.regrant(s)
		g.remark(s)
	}
}

// forgotten tells whether an attempt has missed a note while its executor goes on working: lost replies, cut
// streams, dropped attempts. It harms where notes alone are lost; one in line for memory sends none.
func (g *Scheduler) forgotten(s *request, h *attempt) bool {
	every := g.settings.ProgressEveryMS
	e := &g.executors[h.executor]
	return every > 0 && g.now-h.noted > noteLate*every+slackMS && h.waits == 0 && e.heard > h.noted &&
		e.state != aside && g.offerings[s.offering].effect != NonIdempotent && g.mayFollow(s)
}

func levelOf(p float64) int {
	return int(math.Round(topLevel * math.Log(p/pFloor) / math.Log(pTop/pFloor)))
}

// readOnset reads the least running time below which the queries finished lately spent onsetShare of theirs.
func (g *Scheduler) readOnset() {
	g.finished.forget(g.now-onsetMS, onsetLeast) // it reaches back as far as it must for its twenty
	if g.now < g.onsetAt+onsetEvery {
		return
	}
	g.onsetAt, g.onset = g.now, onsetOf(g.finished.sorted())
}

// onsetOf solves sum(min(t, onset)) = onsetShare * sum(t) for sorted running times t.
func onsetOf(sorted []float64) float64 {
	want, below := 0.0, 0.0
	for _, t := range sorted {
		want += onsetShare * t
	}
	for k, t := range sorted {
		rest := float64(len(sorted) - k)
		if below+t*rest >= want {
			return (want - below) / rest
		}
		below += t
	}
	return 0
}

// watch probes an executor that is aside or shows no sign of work, and sets it aside when that goes on.
func (g *Scheduler) watch(x int) {
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
	if look && !g.settings.MayHealthCheck {
		if e.state == aside && g.now > e.asideAt+every*float64(e.strikes) {
			g.judge(x, answered)
		}
	} else if look && !e.probeOut && g.now >= e.probed+probeMS/math.Sqrt(g.share()) {
		e.probeOut, e.probed = true, g.now
		g.do(Action{Kind: HealthCheck, Executor: e.id})
	}
	// An attempt in line for memory sends no notes: where all of ours are, silence needs a missed probe too.
	slack := noteMany
	if e.missed && e.lined < e.out {
		slack = noteLate
	}
	if e.state != aside && quiet > slack*every+slackMS && (e.missed || e.lined < e.out) {
		g.suspect(x)
	}
}
