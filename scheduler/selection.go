package scheduler

// Executor selection. Each table group has an order of the executors that is the same at every controller, by
// rendezvous hashing without a seed. A request takes the first executor in it that is within the preferred
// bound, else the one with the fewest threads a core (paper, 2.3: a bound on what is active at once). Past a
// second bound work is lost, so the request waits.
//
// Where a controller's share of an executor is below one thread, its own threads say little of how busy that
// is. What it sent lately, load reports and what controllers tell each other then stand in for them, the more
// the smaller the share.

import "math"

const (
	preferredThreadsPerCore = 1.2
	maxThreadsPerCore       = 1.5
	maxShortThreadsPerCore  = 2.2 // for requests shorter than the decay onset, which leave again at once

	backlogThreadsPerCore = 1.5  // that are taken to work off what was sent
	backlogPerThreadMS    = 1000 // of backlog a core that weigh as much as one thread a core

	reportLifetimeMS   = 600
	reportsLostMS      = 2000 // without reports, after which none are waited for
	diskThreadsPerCore = 1.2  // on an executor whose disks are always busy

	probesPerRequest = 2    // health checks for load reports: a second choice, no more
	probesPerMS      = 1e-3 // so that queued requests can go on asking
	maxProbeTokens   = 10
)

// selectExecutor returns the index of the executor for a request, or -1 if it has to wait. In doing so it
// notes whether any executor has room at all. A request does not go where another holds its table group.
func (s *Scheduler) selectExecutor(r *request) int {
	class := &s.classes[r.class]
	limit := maxThreadsPerCore
	if class.minRunMS(r) <= s.decayOnsetMS {
		limit = maxShortThreadsPerCore
	}
	s.saturated = true
	best := candidate{index: -1}
	for index := range s.executors {
		load := s.loadOf(&s.executors[index])
		s.saturated = s.saturated && load.isFull()
		if s.isAvoided(r, class, index) {
			continue
		}
		verdict := s.maySend(r, index)
		if verdict == sendElsewhere {
			continue
		}
		if verdict != sendAllowed {
			s.saturated = false
			return -1
		}
		next := s.newCandidate(r, class, index, load)
		if next.fits(load, limit) && next.isBetterThan(best) && !s.leavesToOthers(r, index, load, limit) {
			best = next
		}
	}
	if best.index >= 0 && s.awaitsLoadReport(best.index) {
		return -1
	}
	return best.index
}

// isAvoided reports whether a request goes elsewhere for a while: after a refusal, while an executor that
// came back is tried with one attempt, or where another request holds its table group.
func (s *Scheduler) isAvoided(r *request, class *classState, index int) bool {
	e := &s.executors[index]
	if s.now < e.avoidUntil || !e.proven && e.inFlight > 0 {
		return true
	}
	return (class.blockedByHolders || class.holdsGroup) && s.groupIsHeld(r.tableGroup, index)
}

func (s *Scheduler) loadOf(e *executor) executorLoad {
	if s.reportIsCurrent(e) {
		return executorLoad{threads: e.reportedThreads, memoryMB: e.reportedMB, share: 1, room: e.cores}
	}
	threads := float64(e.threads)
	return executorLoad{threads: threads, memoryMB: e.grantedMB, share: e.share, room: e.cores * e.share}
}

// isFull reports whether there is no room for a single thread of a short request.
func (l executorLoad) isFull() bool {
	return l.threads > 0 && l.threads+1 > maxShortThreadsPerCore*l.room
}

func (s *Scheduler) newCandidate(r *request, class *classState, index int, load executorLoad) candidate {
	e := &s.executors[index]
	c := candidate{
		index:       index,
		tier:        s.remoteZoneFor(class, e.zone).tier(),
		threads:     load.threads + float64(class.threads),
		memoryShare: (load.memoryMB + s.memoryGrant(r, e)) / (e.memoryMB * load.share),
	}
	threadsWeight := min(1, load.room*load.room)
	own := e.share * e.cores
	backlogWeight := 1 - min(1, own*own)
	backlog := s.backlog(e)
	isPastBound := c.threads*threadsWeight > preferredThreadsPerCore*load.room || c.memoryShare*threadsWeight > 1
	if isPastBound || backlogWeight*backlog > 0 {
		c.fill = 1 + threadsWeight*load.threads/load.room + backlogWeight*backlog/e.cores/backlogPerThreadMS
	}
	group := r.tableGroup
	if class.holdsGroup && s.sharesUnderOneThread(e) { // holders that don't know of each other keep apart
		group += uint64(s.settings.ControllerIndex) << 32
	}
	c.rank = rendezvousRank(group, e.id)
	return c
}

func (c candidate) fits(load executorLoad, limit float64) bool {
	hasRoom := c.threads <= limit*load.room && c.memoryShare <= limit/maxShortThreadsPerCore
	return c.fill == 0 || hasRoom || load.threads == 0
}

func (c candidate) isBetterThan(other candidate) bool {
	switch {
	case other.index < 0:
		return true
	case c.tier != other.tier:
		return c.tier < other.tier
	case c.fill != other.fill:
		return c.fill < other.fill
	}
	return c.rank > other.rank
}

// leavesToOthers reports whether a request keeps away from an executor by chance. Levels reach all
// controllers at the same time and would send all of them to the same one: the fuller it is, the fewer go.
func (s *Scheduler) leavesToOthers(r *request, index int, load executorLoad, limit float64) bool {
	e := &s.executors[index]
	if !s.settings.MayMessagePeers || !s.sharesUnderOneThread(e) || !s.reportIsCurrent(e) {
		return false
	}
	chance := s.randomAt(r.sequence*7919 + uint64(e.reportedAt)*31 + uint64(index))
	return chance > 1-load.threads/(limit*load.room)
}

// shareOf widens a share of the traffic to a share of an executor, since the shares of all controllers are
// seldom full at once.
func shareOf(traffic, cores float64) float64 {
	return traffic * (1 + math.Sqrt((1/traffic-1)/cores))
}

// reportIsCurrent reports whether what was reported of an executor still counts: of a full one for longer, so
// that not all controllers return to it at once.
func (s *Scheduler) reportIsCurrent(e *executor) bool {
	age := s.now - e.reportedAt
	isFull := e.reportedThreads > maxShortThreadsPerCore*e.cores
	return e.reportedAt > 0 && (age < reportLifetimeMS || isFull && age < 2*reportLifetimeMS)
}

// awaitsLoadReport reports whether a request waits for an executor's load report, and asks for one if none is
// on its way.
func (s *Scheduler) awaitsLoadReport(index int) bool {
	e := &s.executors[index]
	if !s.settings.ReportsByProbe || s.reportIsCurrent(e) || !s.sharesUnderOneThread(e) {
		return false
	}
	if !e.probing && s.probeTokens >= 1 {
		s.probeTokens--
		s.sendProbe(e)
	}
	reportsCome := s.now < s.reportedAt+reportsLostMS
	s.saturated = s.probeTokens < 1 && reportsCome // no other request can ask in this pass
	return reportsCome
}

// backlog returns the work, in ms of one thread, that was sent beyond what this controller's share has done
// since.
func (s *Scheduler) backlog(e *executor) float64 {
	return max(0, e.backlogMS-(s.now-e.backlogAt)*backlogThreadsPerCore*e.cores*s.trafficShare)
}

func (s *Scheduler) recordLoadReport(e *executor, ev *Event) {
	e.reportedAt = s.now
	s.reportedAt = s.now
	e.reportedMB = s.reportFigure(ev, ReportMemoryShare) * e.memoryMB
	diskThreads := s.reportFigure(ev, ReportDiskShare) * diskThreadsPerCore * e.cores
	e.reportedThreads = s.reportFigure(ev, ReportInFlight) + diskThreads
	if s.reportFigure(ev, ReportQueued) > 0.5 { // whatever comes now would queue there
		e.reportedThreads += maxShortThreadsPerCore * e.cores
	}
}
