package scheduler

import (
	"cmp"
	"slices"
)

// executor is what this controller knows of one executor.
type executor struct {
	id           uint32
	zone         string
	kind         string
	cell         int64
	cores        float64
	memoryMB     float64
	share        float64 // of it, this controller's
	availability Availability
	startedAt    float64 // as the endpoint list names it

	// This controller's attempts there.
	inFlight  int // without an outcome
	threads   int
	grantedMB float64
	queued    int     // of those in flight, waiting on the executor
	busySince float64 // when the first of those in flight was sent
	backlogMS float64 // work sent beyond what this controller's share has done, as of backlogAt
	backlogAt float64

	// Its health.
	state          executorState
	lastSignAt     float64 // last sign of work: a progress report or an answer
	acceptedAt     float64 // when the latest attempt was sent that it took; a draining executor turns away new ones
	failures       int     // in a row
	proven         bool    // it has done work since it came back
	slowdown       float64 // against the other executors
	avoidUntil     float64
	ejectedAt      float64
	ejections      int
	probing        bool // a health check is on its way
	probedAt       float64
	probeFailed    bool // the last health check failed
	probesAnswered int  // in a row
	warmupUntil    float64
	warmupSent     window // usual work of what was sent while it warmed up, ms

	// Its load from all controllers.
	reportedThreads float64 // as last reported, and what this controller has sent since
	reportedMB      float64
	reportedAt      float64
	peerThreads     float64 // the sums over all controllers, at an aggregator
	peerMemoryShare float64
	loadLevel       float64 // as aggregators publish it
}

// groupHolder is a table group that a request holds on an executor.
type groupHolder struct {
	group    uint64
	executor int
	until    float64
}

// executorLoad is how busy an executor is: all of it where a report is current, this controller's share of it
// otherwise.
type executorLoad struct {
	threads  float64
	memoryMB float64
	share    float64 // part of the executor that the others are measured against
	room     float64 // cores in that part
}

// candidate is an executor that may take a request, and what it is compared by.
type candidate struct {
	index       int
	tier        int     // of its zone: nearer zones come first
	threads     float64 // with the request
	memoryShare float64 // with the request
	fill        float64 // 0 within the preferred bound, where the hash order alone decides
	rank        uint64  // in the hash order of the table group
}

// ExecutorView is what an instance knows of one executor, for the caller's log.
type ExecutorView struct {
	Executor            uint32
	InFlight            int // attempts there without an outcome
	Threads             int // of them
	ConsecutiveFailures int
	Availability        Availability
	Ejected             bool // it gets nothing until it has answered health checks
	Ejections           int  // since it was last healthy
	WarmingUp           bool // it gets this controller's share of a warm-up budget
	WarmupUntil         float64
	SinceSignMS         float64 // since the last sign of work; below 0: none yet
	SinceReportMS       float64 // since its load was last reported; below 0: never
}

// ExecutorViews appends what is known of each executor that is listed or has attempts in flight.
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
			SinceSignMS:         since(e.lastSignAt),
			SinceReportMS:       since(e.reportedAt),
		})
	}
	return out
}

// executorIndex returns the index of an executor, or -1.
func (s *Scheduler) executorIndex(id uint32) int {
	for index := range s.executors {
		if s.executors[index].id == id {
			return index
		}
	}
	return -1
}

// upsertExecutor returns the index of a listed executor, and adds it if it is new.
func (s *Scheduler) upsertExecutor(endpoint *Endpoint) int {
	index := s.executorIndex(endpoint.Executor)
	if index < 0 {
		index = s.freeExecutorIndex()
		if index == len(s.executors) {
			s.executors = append(s.executors, executor{})
		}
		s.executors[index] = executor{id: endpoint.Executor, state: executorHealthy, slowdown: 1, proven: true}
		s.reportedHolders = slices.DeleteFunc(s.reportedHolders, func(holder groupHolder) bool { return holder.executor == index })
	}
	e := &s.executors[index]
	e.setMachine(&s.settings, endpoint)
	e.share = shareOf(s.trafficShare, e.cores)
	s.recountRemoteThreads()
	return index
}

// freeExecutorIndex returns the first index whose executor is gone and that no request in hand refers to, or the end. Ids are
// always new, so indexes that were never used again would grow without end.
func (s *Scheduler) freeExecutorIndex() int {
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability == Removed && e.inFlight == 0 && !s.isReferenced(index) {
			return index
		}
	}
	return len(s.executors)
}

// isReferenced reports whether a request in hand had an attempt at an executor.
func (s *Scheduler) isReferenced(index int) bool {
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if r.inUse && slices.ContainsFunc(r.attempts[:r.attemptCount], func(a attempt) bool { return a.executor == index }) {
			return true
		}
	}
	return false
}

// setMachine takes what the list says of an executor's machine.
func (e *executor) setMachine(settings *Settings, endpoint *Endpoint) {
	e.zone = endpoint.Zone
	e.kind = endpoint.Kind
	e.cell = endpoint.Cell
	kind := settings.Kind(endpoint.Kind)
	e.cores = kind.Cores
	e.memoryMB = kind.MemoryMB
}

// recordSign notes a sign of work on an attempt.
func (e *executor) recordSign(now float64, a *attempt) {
	e.lastSignAt = now
	e.probeFailed = false
	e.acceptedAt = max(e.acceptedAt, a.sentAt)
}

// silentMS returns how long an executor with attempts in flight has shown no sign of work.
func (s *Scheduler) silentMS(e *executor) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return s.now - max(e.lastSignAt, e.busySince)
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

// reportFigure returns the figure of a name in a load report, or 0.
func (s *Scheduler) reportFigure(ev *Event, name string) float64 {
	i := slices.Index(s.settings.ReportNames, name)
	if i < 0 || i >= len(ev.LoadReport) {
		return 0
	}
	return ev.LoadReport[i]
}

// updateTrafficShare reckons this controller's share of all requests anew, and with it its share of each executor.
func (s *Scheduler) updateTrafficShare() {
	controllers := cmp.Or(s.countedControllers, float64(s.settings.Controllers))
	s.trafficShare = 1 / max(1, controllers)
	for index := range s.executors {
		e := &s.executors[index]
		e.share = shareOf(s.trafficShare, e.cores)
	}
}

// sendProbe asks for a health check of an executor.
func (s *Scheduler) sendProbe(e *executor) {
	e.probing = true
	e.probedAt = s.now
	s.emit(Action{Kind: HealthCheck, Executor: e.id})
}

// progressIntervalMS returns the time between progress reports; where there are none, the time until silence tells anything.
func (s *Scheduler) progressIntervalMS() float64 {
	return cmp.Or(s.settings.ProgressEveryMS, reportsLostMS)
}

// sharesUnderOneThread reports whether this controller's share of an executor is below one thread.
func (s *Scheduler) sharesUnderOneThread(e *executor) bool { return e.share*e.cores < 1 }

// addProbeTokens allows more health checks for load reports.
func (s *Scheduler) addProbeTokens(tokens float64) {
	s.probeTokens = min(maxProbeTokens, s.probeTokens+tokens)
}
