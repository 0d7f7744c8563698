package scheduler

import "math"

const (
	boundPerCore = 1.2  // running threads a core at which routing skips it: half of a request's time is reading
	drainPerCore = 1.5  // threads a core at which what was sent counts as done: a full executor's
	owedMS       = 1000 // ms a core of owed work that weigh as much as one thread a core: a request's length
	freshMS      = 600  // ms that a load report or telling counts: what it tells of ends in about that time
	asksPerTake  = 2    // probes for load reports that each request allows: a second choice, no more
	asksPerMS    = 1e-3 // the same for time going by, so that what waits can go on asking
	asksSaved    = 10   // most of those kept for later: a burst's worth
	busyThreads  = 1.2  // threads a core on an executor whose disks are always busy: half are kept by cores
	fullPerCore  = 1.5  // threads a core past which work is lost: a request waits here (paper's wait queue)
	shortPerCore = 2.2  // the same for requests shorter than the onset, which leave again at once
	blindMS      = 2000 // ms without notes, reports or tellings after which there are none
)

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
