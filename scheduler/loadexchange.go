package scheduler

// Load exchange between controllers. A controller whose share of an executor is below one thread learns too little
// about the executor's load from its own attempts. Each controller therefore reports its attempts in flight to a few
// aggregators, which add them up and send the load level of each executor to all controllers. Every message replaces
// the one before it, so a lost one does no lasting harm. Without any messages, executors are selected by backlog.

import "math"

const (
	aggregatorCount     = 3 // more than one, since some may be stalled or down
	exchangeIntervalMS  = 250
	levelThreadsPerCore = 0.2 // threads per core of a load level: the highest of the sixteen is twice maxThreadsPerCore

	// failingExtraThreads is added to the threads of a failing executor in the load message, because the executor would
	// otherwise look idle.
	failingExtraThreads = 4
)

// exchangeLoad sends this controller's load message to the aggregators if one is due. If this controller is an
// aggregator itself, it also computes the load levels of the executors and sends them to all controllers.
func (s *Scheduler) exchangeLoad() {
	if !s.exchangeDue() {
		return
	}
	s.nextExchangeAt = s.now + exchangeIntervalMS*(0.9+0.2*s.random()) // jitter keeps the controllers out of step
	if !s.levelsFitMessage() {
		return
	}
	s.writeLoadMessage()
	if !s.sendToAggregators(aggregatorCount) {
		return
	}
	s.sumPeerLoads(s.now - reportTimeoutMS)
	for index := range s.executors {
		e := &s.executors[index]
		threadsPerCore := max(e.peerThreads/e.cores, e.peerMemoryShare*maxThreadsPerCore)
		e.loadLevel = math.Round(threadsPerCore / levelThreadsPerCore)
	}
	s.publishLevels()
}

// exchangeDue reports whether the deployment uses the load exchange and its next round is due.
func (s *Scheduler) exchangeDue() bool {
	if !s.settings.MayMessagePeers || s.now < s.nextExchangeAt {
		return false
	}
	return len(s.executors) > 0 && s.sharesUnderOneThread(&s.executors[0])
}

// writeLoadMessage fills s.loadMessage with this controller's threads and memory on each executor.
func (s *Scheduler) writeLoadMessage() {
	s.loadMessage = append(s.loadMessage[:0], loadMessageType)
	for index := range s.executors {
		e := &s.executors[index]
		threads := e.threads
		if e.failures > 0 && (s.now < e.avoidUntil || e.state == executorEjected) {
			threads += failingExtraThreads
		}
		s.appendLoad(e, threads)
	}
}

// receiveLoad handles a message of the load exchange. Load levels count as a load report of each active executor.
func (s *Scheduler) receiveLoad(from int, message []byte) {
	if !s.decodePeerMessage(from, message) {
		return
	}
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability != Active {
			continue
		}
		e.reportedThreads = e.loadLevel * levelThreadsPerCore * e.cores
		e.reportedMB = 0
		e.lastLoadReportAt = s.now
	}
	s.dispatchNeeded = true
}
