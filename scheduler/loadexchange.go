package scheduler

// Load exchange between controllers. Where a controller's share of an executor is below one thread, it sees
// too little of an executor's load by itself. So each tells a few aggregators what it has in flight; these
// add it up and tell all how full each executor is. A lost message is made good by the next one; without any,
// the backlog decides.

import "math"

const (
	aggregators         = 3 // some may stall or be dead
	exchangeIntervalMS  = 250
	levelThreadsPerCore = 0.2 // threads a core in each of the sixteen levels, up to twice what is full
	failingExtraThreads = 4   // told of an executor that fails, as it looks empty otherwise
)

// exchangeLoad tells the aggregators what this controller has in flight and, if it is one, tells all how full
// executors are.
func (s *Scheduler) exchangeLoad() {
	if !s.exchangeDue() {
		return
	}
	s.nextExchangeAt = s.now + exchangeIntervalMS*(0.9+0.2*s.random())
	if !s.levelsFitMessage() {
		return
	}
	s.writeLoadMessage()
	if !s.sendToAggregators(aggregators) {
		return
	}
	s.sumPeerLoads(s.now - reportsLostMS)
	for index := range s.executors {
		e := &s.executors[index]
		threadsPerCore := max(e.peerThreads/e.cores, e.peerMemoryShare*maxThreadsPerCore)
		e.loadLevel = math.Round(threadsPerCore / levelThreadsPerCore)
	}
	s.publishLevels()
}

func (s *Scheduler) exchangeDue() bool {
	if !s.settings.MayMessagePeers || s.now < s.nextExchangeAt {
		return false
	}
	return len(s.executors) > 0 && s.sharesUnderOneThread(&s.executors[0])
}

func (s *Scheduler) writeLoadMessage() {
	s.loadMessage = append(s.loadMessage[:0], loadMessageTag)
	for index := range s.executors {
		e := &s.executors[index]
		threads := e.threads
		if e.failures > 0 && (s.now < e.avoidUntil || e.state == executorEjected) {
			threads += failingExtraThreads
		}
		s.appendLoad(e, threads)
	}
}

// receiveLoad takes a message: what another controller has in flight, or how full the executors are.
func (s *Scheduler) receiveLoad(from int, message []byte) {
	if !s.decodeLoadMessage(from, message) {
		return
	}
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability != Active {
			continue
		}
		e.reportedThreads = e.loadLevel * levelThreadsPerCore * e.cores
		e.reportedMB = 0
		e.reportedAt = s.now
	}
	s.dispatchNeeded = true
}
