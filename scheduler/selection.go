package scheduler

import "math"

const (
	preferredThreadsPerCore = 1.2  // running threads a core at which routing skips it: half of a request's time is reading
	backlogThreadsPerCore   = 1.5  // threads a core at which what was sent counts as done: a full executor's
	backlogPerThreadMS      = 1000 // ms a core of owed work that weigh as much as one thread a core: a request's length
	reportLifetimeMS        = 600  // ms that a load report or telling counts: what it tells of ends in about that time
	probesPerRequest        = 2    // probes for load reports that each request allows: a second choice, no more
	probesPerMS             = 1e-3 // the same for time going by, so that what waits can go on asking
	maxProbeTokens          = 10   // most of those kept for later: a burst's worth
	diskThreadsPerCore      = 1.2  // threads a core on an executor whose disks are always busy: half are kept by cores
	maxThreadsPerCore       = 1.5  // threads a core past which work is lost: a request waits here (paper's wait queue)
	maxShortThreadsPerCore  = 2.2  // the same for requests shorter than the onset, which leave again at once
	reportsLostMS           = 2000 // ms without notes, reports or tellings after which there are none
)

// selectExecutor gives the executor for a request, or -1: in the nearest places with room the first in its order,
// else the one with the fewest threads a core. A request waits rather than stand behind a load of its group.
func (s *Scheduler) selectExecutor(r *request) int {
	class := &s.classes[r.class]
	limit := maxThreadsPerCore
	if r.workMS/float64(class.threads) <= s.decayOnsetMS {
		limit = maxShortThreadsPerCore
	}
	s.saturated = true
	best, bestFill, bestRank, bestTier := -1, 0.0, uint64(0), 0
	for index := range s.executors {
		e := &s.executors[index]
		busy, part, memory := float64(e.threads), s.part(e), e.grantedMB
		if s.reportIsCurrent(e) {
			busy, part, memory = e.reportedThreads, 1, e.reportedMB
		}
		room, ours := e.cores*part, s.part(e)*e.cores
		now, far := min(1, room*room), 1-min(1, ours*ours)
		s.saturated = s.saturated && busy > 0 && busy+1 > maxShortThreadsPerCore*room
		if s.now < e.avoidUntil || !e.proven && e.inFlight > 0 || (class.blockedByHolders || class.holdsGroup) && s.groupIsHeld(r.tableGroup, index) {
			continue
		}
		if v := s.maySend(r, index); v == sendLater || v == sendNever {
			s.saturated = false
			break
		} else if v == sendElsewhere {
			continue
		}
		threads, tier := busy+float64(class.threads), s.remoteZoneFor(class, e.zone).tier()
		memory = (memory + s.memoryGrant(r, e)) / (e.memoryMB * part)
		group := r.tableGroup
		if class.holdsGroup && s.sharesUnderOneThread(e) { // controllers that don't see each other's loads spread them
			group += uint64(s.settings.Slot) << 32
		}
		fill := 0.0 // within the bound the order decides, past it the threads, ours and all's
		if threads*now > preferredThreadsPerCore*room || memory*now > 1 || far*s.backlog(e) > 0 {
			fill = 1 + now*busy/room + far*s.backlog(e)/e.cores/backlogPerThreadMS
		}
		if (fill == 0 || threads <= limit*room && memory <= limit/maxShortThreadsPerCore || busy == 0) &&
			(best < 0 || tier < bestTier || tier == bestTier &&
				(fill < bestFill || fill == bestFill && order(group, e.id) > bestRank)) {
			// What is told to all at once would send all to the same one: the fuller, the fewer go at each telling.
			if s.settings.MayMessagePeers && s.sharesUnderOneThread(e) && s.reportIsCurrent(e) &&
				s.randomAt(r.sequence*7919+uint64(e.reportedAt)*31+uint64(index)) > 1-busy/(limit*room) {
				continue
			}
			best, bestFill, bestRank, bestTier = index, fill, order(group, e.id), tier
		}
	}
	if best >= 0 && s.awaitsLoadReport(best) {
		return -1
	}
	return best
}

// part is this controller's part of an executor, widened by a spread, as parts are rarely full at once.
func (s *Scheduler) part(e *executor) float64 { return e.share }

func shareOf(share, cores float64) float64 { return share * (1 + math.Sqrt((1/share-1)/cores)) }

// sharesUnderOneThread tells that this controller's part of an executor is below one thread.
func (s *Scheduler) sharesUnderOneThread(e *executor) bool { return s.part(e)*e.cores < 1 }

// reportIsCurrent tells whether a reported load still counts: bad news for longer, so that nobody runs back to a line.
func (s *Scheduler) reportIsCurrent(e *executor) bool {
	age := s.now - e.reportedAt
	return e.reportedAt > 0 && (age < reportLifetimeMS || e.reportedThreads > maxShortThreadsPerCore*e.cores && age < 2*reportLifetimeMS)
}

// awaitsLoadReport tells whether an executor's load report is to be waited for: our own threads say nothing of its
// load.
func (s *Scheduler) awaitsLoadReport(index int) bool {
	e := &s.executors[index]
	if !s.settings.ReportsByProbe || s.reportIsCurrent(e) || !s.sharesUnderOneThread(e) {
		return false
	}
	if !e.probing && s.probeTokens >= 1 {
		s.probeTokens--
		e.probing, e.probedAt = true, s.now
		s.emit(Action{Kind: HealthCheck, Executor: e.id})
	}
	s.saturated = s.probeTokens < 1 && s.now < s.reportedAt+reportsLostMS // nobody need ask again in this pass
	return s.now < s.reportedAt+reportsLostMS
}

// owed is the work, in ms of one thread, sent to an executor beyond what our part of it has done since.
func (s *Scheduler) backlog(e *executor) float64 {
	return max(0, e.backlogMS-(s.now-e.backlogAt)*backlogThreadsPerCore*e.cores*s.share())
}
