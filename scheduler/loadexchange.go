package scheduler

import "math"

const (
	aggregators         = 3   // controllers that add up what the others tell: some may stall or be dead
	exchangeIntervalMS  = 250 // ms between tellings: half as often costs more gain than it saves in bytes
	levelThreadsPerCore = 0.2 // threads a core in each of the sixteen steps told, up to twice what is full
	failingExtraThreads = 4   // threads more told of an executor that fails: three such warnings fill it
)

// exchangeLoad lets a few controllers know what this one has out. Those add up and tell all how full executors are.
// A lost message is made good by the next; without any, the owed work decides.
func (s *Scheduler) exchangeLoad() {
	if !s.settings.MayMessagePeers || s.now < s.nextExchangeAt || len(s.executors) == 0 || !s.sharesUnderOneThread(&s.executors[0]) {
		return
	}
	s.nextExchangeAt = s.now + exchangeIntervalMS*(0.9+0.2*s.random())
	if !s.levelsFitMessage() {
		return // the owed work decides, as without tellings
	}
	s.loadMessage = append(s.loadMessage[:0], 0)
	for index := range s.executors {
		e, threads := &s.executors[index], s.executors[index].threads
		if e.failures > 0 && (s.now < e.avoidUntil || e.state == executorEjected) {
			threads += failingExtraThreads // a dead executor looks empty otherwise
		}
		s.appendLoad(e, threads)
	}
	if s.sendToAggregators(aggregators) {
		s.sumPeerLoads(s.now - reportsLostMS)
		for index := range s.executors {
			e := &s.executors[index]
			e.loadLevel = math.Round(max(e.peerThreads/e.cores, e.peerMemoryShare*maxThreadsPerCore) / levelThreadsPerCore)
		}
		s.publishLevels()
	}
}

// heard takes a message: what another controller has out, or how full the executors are.
func (s *Scheduler) receiveLoad(from int, data []byte) {
	told := s.decodeLoadMessage(from, data)
	for index := 0; told && index < len(s.executors); index++ {
		if e := &s.executors[index]; e.availability == Active {
			e.reportedThreads, e.reportedMB, e.reportedAt = e.loadLevel*levelThreadsPerCore*e.cores, 0, s.now
		}
	}
	s.dispatchNeeded = s.dispatchNeeded || told
}

// peerLoad is what another controller has out, as it last told.
type peerLoad struct {
	receivedAt float64
	entries    []byte
}
