package scheduler

import "slices"

// executor is what this instance knows of one executor.
type executor struct {
	id              uint32
	zone            string
	kind            string
	cell            int64
	cores, memoryMB float64
	share           float64 // this controller's part of it
	availability    Availability
	startedAt       float64
	acceptedAt      float64 // when the latest attempt was sent that it took: one that drains turns away what is new
	state           state
	threads         int     // of this instance's attempts there
	grantedMB       float64 // granted to them, MB
	queued          int     // of them, known to stand in line
	inFlight        int     // attempts there without an outcome
	lastSignAt      float64 // last sign of work: a note or an outcome
	busySince       float64
	probing         bool
	probedAt        float64 // when the last probe went out
	probeFailed     bool    // the last probe failed
	probesAnswered  int     // probes answered in a row
	failures        int     // errors, refusals and breaks in a row
	proven          bool    // has done work since it came back
	slowdown        float64 // slowness against the other executors
	ejectedAt       float64
	ejections       int
	avoidUntil      float64
	warmupUntil     float64
	warmupSent      window
	backlogMS       float64 // work sent beyond what this controller's part has done, as of owedAt
	backlogAt       float64
	reportedThreads float64 // threads there of all controllers, as last reported, and ours since
	reportedMB      float64
	reportedAt      float64
	peerThreads     float64 // threads there, while told figures are added up
	peerMemoryShare float64
	loadLevel       float64 // how full, as told
}

// groupHolder is a table group that a load holds on an executor.
type groupHolder struct {
	group    uint64
	executor int
	until    float64
}

// ExecutorViews appends what is held of each executor that is listed or has attempts out.
func (s *Scheduler) ExecutorViews(now float64, out []ExecutorView) []ExecutorView {
	since := func(at float64) float64 {
		if at == 0 {
			return -1
		}
		return now - at
	}
	for index := range s.executors {
		if e := &s.executors[index]; e.availability != Removed || e.inFlight > 0 {
			out = append(out, ExecutorView{Executor: e.id, InFlight: e.inFlight, Threads: e.threads, ConsecutiveFailures: e.failures, Availability: e.availability,
				Ejected: e.state == executorEjected, Ejections: e.ejections, WarmingUp: now < e.warmupUntil, WarmupUntil: e.warmupUntil, SinceSignMS: since(e.lastSignAt), SinceReportMS: since(e.reportedAt)})
		}
	}
	return out
}

// reportFigure gives the figure of a load report that goes by a name, or 0.
func (s *Scheduler) reportFigure(ev *Event, name string) float64 {
	if k := slices.Index(s.settings.ReportNames, name); k >= 0 && k < len(ev.LoadReport) {
		return ev.LoadReport[k]
	}
	return 0
}

// silentMS is how long an executor with attempts out has shown no sign of work.
func (s *Scheduler) silentMS(e *executor) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return s.now - max(e.lastSignAt, e.busySince)
}

// at gives the place of an executor, or -1.
func (s *Scheduler) executorIndex(id uint32) int {
	for index := range s.executors {
		if s.executors[index].id == id {
			return index
		}
	}
	return -1
}

// upsertExecutor gives the place of a listed executor, which starts as fresh if it is new.
func (s *Scheduler) upsertExecutor(endpoint *Endpoint, fresh executor) int {
	index := s.executorIndex(endpoint.Executor)
	if index < 0 {
		if index = s.freeExecutorIndex(); index == len(s.executors) {
			s.executors = append(s.executors, fresh)
		}
		s.executors[index] = fresh
		s.reportedHolders = slices.DeleteFunc(s.reportedHolders, func(holder groupHolder) bool { return holder.executor == index })
	}
	s.executors[index].setMachine(&s.settings, endpoint)
	s.executors[index].share = shareOf(s.trafficShare, s.executors[index].cores)
	s.recountRemoteThreads()
	return index
}

// freeExecutorIndex gives the first place of an executor that is gone and that no request in hand names, or the end: ids are
// always new, so places that were never used again would grow without end.
func (s *Scheduler) freeExecutorIndex() int {
	index := 0
	for index < len(s.executors) && (s.executors[index].availability != Removed || s.executors[index].inFlight > 0 || s.isReferenced(index)) {
		index++
	}
	return index
}

// isReferenced tells whether a request in hand had an attempt at x.
func (s *Scheduler) isReferenced(index int) bool {
	return slices.ContainsFunc(s.requests.entries, func(s request) bool {
		return s.inUse && slices.ContainsFunc(s.attempts[:s.attemptCount], func(a attempt) bool { return a.executor == index })
	})
}

// setMachine takes over what the list says of an executor's machine.
func (e *executor) setMachine(settings *Settings, endpoint *Endpoint) {
	e.zone, e.kind, e.cell = endpoint.Zone, endpoint.Kind, endpoint.Cell
	kind := settings.Kind(endpoint.Kind)
	e.cores, e.memoryMB = kind.Cores, kind.MemoryMB
}

// holds tells whether a load is known to hold a group on an executor.
func (s *Scheduler) groupIsHeld(group uint64, index int) bool {
	return slices.ContainsFunc(s.groupHolders, func(holder groupHolder) bool { return holder.group == group && holder.executor == index })
}

// ExecutorView is what an instance holds of one executor, for the front's log.
type ExecutorView struct {
	Executor            uint32
	InFlight            int // attempts there without an outcome
	Threads             int // of them
	ConsecutiveFailures int // failures in a row
	Availability        Availability
	Ejected             bool    // gets nothing until it has answered probes
	Ejections           int     // how often it was set aside lately
	WarmingUp           bool    // gets its part of a cold budget
	WarmupUntil         float64 // clock until which it does
	SinceSignMS         float64 // since the last sign of work; below 0: none yet
	SinceReportMS       float64 // since the last load report or telling; below 0: none yet
}
