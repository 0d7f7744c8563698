package scheduler

import (
	"cmp"
	"slices"
)

// dialAllowanceMS is the time from the start of an attempt until its connection is usually established.
const dialAllowanceMS = 20

// executor is the state that this controller keeps of one executor.
type executor struct {
	id           uint32
	zone         string
	kind         string
	cell         int64
	cores        float64
	memoryMB     float64
	share        float64 // share of its capacity that this controller may use
	availability Availability
	startedAt    float64 // as stated by the endpoint list

	// Attempts that this controller has in flight on the executor.
	inFlight  int
	threads   int
	grantedMB float64
	queued    int     // number of attempts that wait in the executor's own queue
	busySince float64 // when the first of them was sent, or a later start of the executor
	backlogMS float64 // work sent but not yet worked off at backlogAt, in milliseconds of one thread
	backlogAt float64

	// Health.
	state          executorState
	lastActivityAt float64 // time of the last progress report or answer
	acceptedAt     float64 // latest sending time of an attempt that ran here; a draining executor refuses new ones
	lostAt         float64 // when a connection was last lost or refused; 0: since then the process has shown that it lives on
	confirmedUntil float64 // after the losses until then, the process that answers at the address still was at this location
	failures       int     // consecutive failures
	proven         bool    // has done work since it last started or recovered
	slowdown       float64 // relative to the other executors; 1 is average
	avoidUntil     float64
	ejectedAt      float64
	ejections      int
	probing        bool // a health check is in flight
	probedAt       float64
	probeFailed    bool // the last health check failed
	probesAnswered int  // consecutive successful health checks
	warmupUntil    float64
	warmupSent     slidingWindow // mean work of the classes of the requests sent during the warm-up, in ms

	// Load from all controllers.
	reportedThreads  float64 // of the last load report, plus the attempts that this controller has sent since
	reportedMB       float64
	lastLoadReportAt float64 // 0: there was none
	peerThreads      float64 // sum over all controllers; kept by aggregators only
	peerMemoryShare  float64 // sum over all controllers; kept by aggregators only
	loadLevel        float64 // as published by an aggregator
}

// groupHolder states that a request holds a table group on an executor, up to a point in time.
type groupHolder struct {
	group    uint64
	executor int
	until    float64
}

// executorLoad is the load of an executor as a whole if a load report of it is current, and otherwise the load that
// this controller puts on its share of the executor.
type executorLoad struct {
	threads  float64
	memoryMB float64
	share    float64 // share of the executor that the load refers to
	cores    float64 // cores in that share
}

// candidate is an executor that may take a request, with the values that candidates are compared by.
type candidate struct {
	index       int
	tier        int     // of its zone; a lower one is nearer
	threads     float64 // including those of the request
	memoryShare float64 // including the memory of the request
	loadScore   float64 // 0 within the preferred bound, where only the rank decides
	rank        uint64  // position in the hash order of the table group; the highest comes first
}

// ExecutorView is a snapshot of one executor's state for logs and monitoring.
type ExecutorView struct {
	Executor            uint32
	InFlight            int // number of attempts in flight
	Threads             int // used by the attempts in flight
	ConsecutiveFailures int
	Availability        Availability
	Ejected             bool // gets no attempts until it has answered health checks
	Ejections           int  // since it was last healthy
	WarmingUp           bool // limited to this controller's share of its warm-up budget
	WarmupUntil         float64
	SinceActivityMS     float64 // time since the last progress report or answer; negative if there was none
	SinceReportMS       float64 // time since the last load report; negative if there was none
}

// ExecutorViews appends a view of each executor that is listed or has attempts in flight.
func (s *Scheduler) ExecutorViews(now float64, out []ExecutorView) []ExecutorView {
	since := func(at float64) float64 {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability == Removed && e.inFlight == 0 {
			continue
		}
		out = append(out, ExecutorView{
			Executor:            e.id,
			InFlight:            e.inFlight,
			Threads:             e.threads,
			ConsecutiveFailures: e.failures,
			Availability:        e.availability,
			Ejected:             e.state == executorEjected,
			Ejections:           e.ejections,
			WarmingUp:           now < e.warmupUntil,
			WarmupUntil:         e.warmupUntil,
			SinceActivityMS:     since(e.lastActivityAt),
			SinceReportMS:       since(e.lastLoadReportAt),
		})
	}
	return out
}

// executorIndex returns the index of the executor with an id, or -1.
func (s *Scheduler) executorIndex(id uint32) int {
	for index := range s.executors {
		if s.executors[index].id == id {
			return index
		}
	}
	return -1
}

// upsertExecutor adds or updates the executor of a list entry and returns its index.
func (s *Scheduler) upsertExecutor(endpoint *Endpoint) int {
	index := s.executorIndex(endpoint.Executor)
	if index < 0 {
		index = s.freeExecutorIndex()
		if index == len(s.executors) {
			s.executors = append(s.executors, executor{})
		}
		s.executors[index] = executor{id: endpoint.Executor, state: executorHealthy, slowdown: 1, proven: true}
		isAtIndex := func(holder groupHolder) bool { return holder.executor == index }
		s.reportedHolders = slices.DeleteFunc(s.reportedHolders, isAtIndex)
	}
	e := &s.executors[index]
	e.applyEndpoint(&s.settings, endpoint)
	e.share = executorShare(s.trafficShare, e.cores)
	s.recountRemoteThreads()
	return index
}

// freeExecutorIndex returns the first index that can be reused, or the length of the executor table. An index can be
// reused if its executor was removed and no request in hand refers to it. Executor ids are never reused, so the table
// would otherwise grow with every replaced executor.
func (s *Scheduler) freeExecutorIndex() int {
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability == Removed && e.inFlight == 0 && !s.isReferenced(index) {
			return index
		}
	}
	return len(s.executors)
}

// isReferenced reports whether any request in hand has or had an attempt on an executor.
func (s *Scheduler) isReferenced(index int) bool {
	isOnExecutor := func(a attempt) bool { return a.executor == index }
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if r.inUse && slices.ContainsFunc(r.attempts[:r.attemptCount], isOnExecutor) {
			return true
		}
	}
	return false
}

// applyEndpoint copies the location of an executor from its list entry, and its capacity from the settings of its
// kind.
func (e *executor) applyEndpoint(settings *Settings, endpoint *Endpoint) {
	e.zone = endpoint.Zone
	e.kind = endpoint.Kind
	e.cell = endpoint.Cell
	kind := settings.Kind(endpoint.Kind)
	e.cores = kind.Cores
	e.memoryMB = kind.MemoryMB
}

// location returns where an executor runs.
func (e *executor) location() Location {
	return Location{Zone: e.zone, Kind: e.kind, Cell: e.cell}
}

// recordActivity records a progress report or an answer for an attempt. It also proves that the executor was accepting
// attempts when this one was sent.
func (e *executor) recordActivity(now float64, a *attempt) {
	e.lastActivityAt = now
	e.probeFailed = false
	e.acceptedAt = max(e.acceptedAt, a.sentAt)
	connectedBeforeLoss := a.sentAt+dialAllowanceMS < e.lostAt
	if connectedBeforeLoss && a.doubtSince <= e.confirmedUntil {
		e.confirmProcess()
	}
}

// confirmProcess records that the losses so far have left no other process at the executor's address.
func (e *executor) confirmProcess() {
	e.confirmedUntil = max(e.confirmedUntil, e.lostAt)
	e.lostAt = 0
}

// inDoubt reports whether an attempt may have gone to another process than that of its executor.
func (s *Scheduler) inDoubt(a *attempt) bool {
	return a.doubtSince > s.executors[a.executor].confirmedUntil
}

// recordLastConnectionLost records that an executor has ended all connections to it. Its process may have ended, but no
// attempt of this controller has failed there.
func (s *Scheduler) recordLastConnectionLost(executor uint32) {
	if index := s.executorIndex(executor); index >= 0 {
		s.executors[index].lostAt = s.now
	}
}

// mayBeReplaced reports whether another process may answer at an executor's address: a connection was lost or refused,
// no attempt from before has shown activity since, and the endpoint list may not yet tell that the executor is gone.
func (s *Scheduler) mayBeReplaced(e *executor) bool {
	return e.lostAt > 0 && s.now < e.lostAt+s.settings.PresumedNotifiedAfterMS
}

// silentMS returns how long an executor with attempts in flight has sent neither a progress report nor an answer.
func (s *Scheduler) silentMS(e *executor) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return s.now - max(e.lastActivityAt, e.busySince)
}

// groupIsHeld reports whether a request is known to hold a table group on an executor.
func (s *Scheduler) groupIsHeld(group uint64, index int) bool {
	for _, holder := range s.groupHolders {
		if holder.group == group && holder.executor == index {
			return true
		}
	}
	return false
}

// loadReportValue returns the value with a name in a load report, or 0 if the report lacks it.
func (s *Scheduler) loadReportValue(ev *Event, name string) float64 {
	i := slices.Index(s.settings.ReportNames, name)
	if i < 0 || i >= len(ev.LoadReport) {
		return 0
	}
	return ev.LoadReport[i]
}

// updateTrafficShare recomputes this controller's share of all requests and of each executor. The number of
// controllers is controllerCount if it is known, and otherwise that of the settings.
func (s *Scheduler) updateTrafficShare() {
	controllers := cmp.Or(s.controllerCount, float64(s.settings.Controllers))
	s.trafficShare = 1 / max(1, controllers)
	for index := range s.executors {
		e := &s.executors[index]
		e.share = executorShare(s.trafficShare, e.cores)
	}
}

// sendProbe sends a health check to an executor.
func (s *Scheduler) sendProbe(e *executor) {
	e.probing = true
	e.probedAt = s.now
	s.emit(Action{Kind: HealthCheck, Executor: e.id})
}

// progressIntervalMS returns the time between progress reports of an attempt. Deployments without progress reports
// use reportTimeoutMS instead, after which silence becomes suspicious.
func (s *Scheduler) progressIntervalMS() float64 {
	return cmp.Or(s.settings.ProgressEveryMS, reportTimeoutMS)
}

// sharesUnderOneThread reports whether this controller's share of an executor is below one thread.
func (s *Scheduler) sharesUnderOneThread(e *executor) bool { return e.share*e.cores < 1 }

// addProbeTokens refills the token bucket that limits health checks for load reports.
func (s *Scheduler) addProbeTokens(tokens float64) {
	s.probeTokens = min(maxProbeTokens, s.probeTokens+tokens)
}
