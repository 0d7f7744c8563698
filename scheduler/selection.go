package scheduler

// Executor selection. Rendezvous hashing without a seed gives each table group an order of the executors that is
// the same at every controller. A request goes to the first executor in that order whose load is within the
// preferred bound. If there is none, it goes to the one with the least load per core; section 2.3 of the paper
// bounds the active work in the same way. Above a second bound an executor loses throughput, so the request stays
// in the queue.
//
// Where a controller's share of an executor is below one thread, its own threads say little about the load of that
// executor. The smaller the share, the more the selection relies on the work that this controller sent recently,
// on load reports and on the load exchange between controllers.

import "math"

const (
	preferredThreadsPerCore = 1.2
	maxThreadsPerCore       = 1.5
	maxShortThreadsPerCore  = 2.2 // for requests that finish before the decay onset and soon free their threads

	backlogThreadsPerCore = 1.5  // threads per core that work off the backlog of an executor
	backlogPerThreadMS    = 1000 // backlog per core that weighs as much as one thread per core

	reportLifetimeMS   = 600  // a load report of an executor counts for this long
	reportTimeoutMS    = 2000 // without any load report for this long, requests stop waiting for one
	diskThreadsPerCore = 1.2  // threads per core that a disk utilization of 100 % stands for

	// Health checks that may be sent to get load reports: a request can ask two executors, and queued requests can
	// ask again as time passes.
	probesPerRequest = 2
	probesPerMS      = 1e-3
	maxProbeTokens   = 10
)

// selectExecutor returns the index of the executor that a request is sent to, or -1 if the request has to wait. It
// also updates s.saturated, which says whether every executor is full. An executor on which another request holds
// the table group of the request is skipped if the request would block there.
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
		if next.fits(load, limit) && next.isBetterThan(best) && !s.skipsRandomly(r, index, load, limit) {
			best = next
		}
	}
	if best.index >= 0 && s.awaitsLoadReport(best.index) {
		return -1
	}
	return best.index
}

// isAvoided reports whether a request must not go to an executor for now: because the executor recently refused or
// failed attempts, because it has yet to complete work after a recovery and already has an attempt in flight, or
// because another request holds the table group there.
func (s *Scheduler) isAvoided(r *request, class *classState, index int) bool {
	e := &s.executors[index]
	if s.now < e.avoidUntil || !e.proven && e.inFlight > 0 {
		return true
	}
	return (class.blockedByHolders || class.holdsGroup) && s.groupIsHeld(r.tableGroup, index)
}

// loadOf returns the reported load of the whole executor if the report is current, and otherwise the load of this
// controller's attempts on its share of the executor.
func (s *Scheduler) loadOf(e *executor) executorLoad {
	if s.loadReportIsCurrent(e) {
		return executorLoad{threads: e.reportedThreads, memoryMB: e.reportedMB, share: 1, cores: e.cores}
	}
	threads := float64(e.threads)
	return executorLoad{threads: threads, memoryMB: e.grantedMB, share: e.share, cores: e.cores * e.share}
}

// isFull reports whether there is no room for a single thread of a short request.
func (l executorLoad) isFull() bool {
	return l.threads > 0 && l.threads+1 > maxShortThreadsPerCore*l.cores
}

// newCandidate rates an executor for a request. The thread count weighs less if the load refers to less than one core,
// and the backlog counts only if this controller's share of the executor is below one core.
func (s *Scheduler) newCandidate(r *request, class *classState, index int, load executorLoad) candidate {
	e := &s.executors[index]
	result := candidate{
		index:       index,
		tier:        s.remoteZoneFor(class, e.zone).tier(),
		threads:     load.threads + float64(class.threads),
		memoryShare: (load.memoryMB + s.memoryGrant(r, e)) / (e.memoryMB * load.share),
	}
	threadsWeight := min(1, load.cores*load.cores)
	ownCores := e.share * e.cores
	backlogWeight := 1 - min(1, ownCores*ownCores)
	backlogMS := s.backlog(e)
	exceedsThreads := result.threads*threadsWeight > preferredThreadsPerCore*load.cores
	exceedsPreferred := exceedsThreads || result.memoryShare*threadsWeight > 1
	if exceedsPreferred || backlogWeight*backlogMS > 0 {
		result.loadScore = 1 + threadsWeight*load.threads/load.cores +
			backlogWeight*backlogMS/e.cores/backlogPerThreadMS
	}
	group := r.tableGroup
	if class.holdsGroup && s.sharesUnderOneThread(e) {
		// Controllers don't see each other's holders here, so each sends its own to different executors.
		group += uint64(s.settings.ControllerIndex) << 32
	}
	result.rank = rendezvousRank(group, e.id)
	return result
}

// fits reports whether a candidate may take the request. One within the preferred bound or without any load
// always may.
func (c candidate) fits(load executorLoad, limit float64) bool {
	hasRoom := c.threads <= limit*load.cores && c.memoryShare <= limit/maxShortThreadsPerCore
	return c.loadScore == 0 || hasRoom || load.threads == 0
}

// isBetterThan compares candidates by zone tier, then by load score, then by hash rank.
func (c candidate) isBetterThan(other candidate) bool {
	switch {
	case other.index < 0:
		return true
	case c.tier != other.tier:
		return c.tier < other.tier
	case c.loadScore != other.loadScore:
		return c.loadScore < other.loadScore
	}
	return c.rank > other.rank
}

// skipsRandomly reports whether a request skips an executor at random, with a probability that grows with the
// reported load. All controllers receive the same load levels at the same time and would otherwise send to the same
// executor at once.
func (s *Scheduler) skipsRandomly(r *request, index int, load executorLoad, limit float64) bool {
	e := &s.executors[index]
	if !s.settings.MayMessagePeers || !s.sharesUnderOneThread(e) || !s.loadReportIsCurrent(e) {
		return false
	}
	// A request draws the same number for an executor until that executor's next load report.
	drawn := s.randomAt(r.sequence*7919 + uint64(e.lastLoadReportAt)*31 + uint64(index))
	return drawn > 1-load.threads/(limit*load.cores)
}

// executorShare returns the share of an executor with so many cores that a controller with a given share of the
// traffic may use. It is larger than the traffic share, because the controllers rarely use their shares in full
// at the same time.
func executorShare(trafficShare, cores float64) float64 {
	return trafficShare * (1 + math.Sqrt((1/trafficShare-1)/cores))
}

// loadReportIsCurrent reports whether the last load report of an executor still counts. The report of a full executor
// counts twice as long, so that the controllers don't all return to it at the same time.
func (s *Scheduler) loadReportIsCurrent(e *executor) bool {
	age := s.now - e.lastLoadReportAt
	isFull := e.reportedThreads > maxShortThreadsPerCore*e.cores
	return e.lastLoadReportAt > 0 && (age < reportLifetimeMS || isFull && age < 2*reportLifetimeMS)
}

// awaitsLoadReport reports whether a request has to wait for the load report of an executor. It sends the health
// check that brings the report, unless one is in flight or the probe tokens are used up.
func (s *Scheduler) awaitsLoadReport(index int) bool {
	e := &s.executors[index]
	if !s.settings.ReportsByProbe || s.loadReportIsCurrent(e) || !s.sharesUnderOneThread(e) {
		return false
	}
	if !e.probing && s.probeTokens >= 1 {
		s.probeTokens--
		s.sendProbe(e)
	}
	receivesReports := s.now < s.lastLoadReportAt+reportTimeoutMS
	// Without a token no other request can ask for a report in this pass, so the rest of the queue is skipped.
	s.saturated = s.probeTokens < 1 && receivesReports
	return receivesReports
}

// backlog returns the work, in milliseconds of one thread, that this controller has sent to an executor and that
// the executor can't have finished yet in this controller's share of its capacity.
func (s *Scheduler) backlog(e *executor) float64 {
	return max(0, e.backlogMS-(s.now-e.backlogAt)*backlogThreadsPerCore*e.cores*s.trafficShare)
}

// recordLoadReport stores the load report of an executor, with disk utilization converted to threads. An executor
// that queues requests counts as full, since further requests would be queued there, too.
func (s *Scheduler) recordLoadReport(e *executor, ev *Event) {
	e.lastLoadReportAt = s.now
	s.lastLoadReportAt = s.now
	e.reportedMB = s.loadReportValue(ev, ReportMemoryShare) * e.memoryMB
	diskThreads := s.loadReportValue(ev, ReportDiskShare) * diskThreadsPerCore * e.cores
	e.reportedThreads = s.loadReportValue(ev, ReportInFlight) + diskThreads
	if s.loadReportValue(ev, ReportQueued) > 0.5 {
		e.reportedThreads += maxShortThreadsPerCore * e.cores
	}
}
