package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_AggregatesLoadOfControllers(t *testing.T) {
	aggregator, reporter := newSmallShareScheduler(3, func(s *Settings) { s.MayMessagePeers = true }), newSmallShareScheduler(3, func(s *Settings) { s.MayMessagePeers = true })
	reporter.settings.ControllerIndex = 7
	e := &reporter.executors[1]
	e.threads, e.grantedMB = 8, e.memoryMB/2
	reporter.exchangeLoad()
	load := reporter.actions[0]
	assert.Equal(t, []ActionKind{SendPeer, SendPeer, SendPeer}, actionKinds(reporter.actions))
	aggregator.Step(1010, &Event{Kind: PeerMessage, FromPeer: 7, Payload: load.Payload}, nil)
	aggregator.exchangeLoad()
	levels := aggregator.actions[len(aggregator.actions)-1]
	assert.Equal(t, -1, levels.Peer)
	reporter.Step(1020, &Event{Kind: PeerMessage, FromPeer: 0, Payload: levels.Payload}, nil)
	assert.InDelta(t, 8, e.reportedThreads, levelThreadsPerCore*e.cores)
	assert.Zero(t, reporter.executors[0].reportedThreads)
	reporter.Step(1030, &Event{Kind: PeerMessage, FromPeer: 0, Payload: levels.Payload[:2]}, nil) // of another endpoint list
	assert.Equal(t, 1020.0, e.reportedAt)
}

func TestScheduler_ReportsFailingExecutorAsFuller(t *testing.T) {
	s := newSmallShareScheduler(2, func(s *Settings) { s.MayMessagePeers = true })
	s.executors[0].failures, s.executors[0].state = 1, executorEjected
	s.exchangeLoad()
	s.sumPeerLoads(0)
	assert.Equal(t, float64(failingExtraThreads), s.executors[0].peerThreads)
	assert.Zero(t, s.executors[1].peerThreads)
}

func TestScheduler_AvoidsExecutorReportedFull(t *testing.T) {
	s := newSmallShareScheduler(2, func(s *Settings) { s.MayMessagePeers = true })
	for index := range s.executors {
		e := &s.executors[index]
		e.reportedThreads, e.reportedAt = 3*e.cores*float64(index), 1000
	}
	for k := range 5 {
		arrive(s, 1000, string(rune('a'+k)), "read")
	}
	assert.Zero(t, s.executors[1].inFlight)
	assert.Positive(t, s.executors[0].inFlight)
}

// A message is whatever another machine sent: no bytes may stop an instance or make it send anything.
func FuzzScheduler_ReceiveLoad(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, 0)
	f.Add([]byte{1, 2, 0x53}, 7)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := newTestScheduler(3, func(s *Settings) { s.MayMessagePeers = true; s.Controllers = 40 })
		out := s.Step(1100, &Event{Kind: PeerMessage, FromPeer: from, Payload: data}, nil)
		out = s.Step(1400, &Event{Kind: TimerFired}, out)
		for _, a := range out {
			if a.Kind == Send || len(a.Payload) > 256 {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// Messages between controllers fit a datagram, however many executors there are.
func TestScheduler_LoadMessagesFitDatagram(t *testing.T) {
	for _, n := range []int{80, 300, 508, 509, 3200} {
		s := New(7, testSettings(func(s *Settings) {
			s.MayMessagePeers = true
			s.Controllers = 900
			s.ControllerIndex = 0
			s.Classes[0].Threads = 1
		}))
		s.startedAt = -1e6
		var list []Endpoint
		for index := range n {
			list = append(list, Endpoint{Executor: uint32(index)*2654435761 + 1, Kind: "big"})
		}
		s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
		for index := range s.executors {
			s.executors[index].threads, s.executors[index].inFlight = 1, 1
		}
		sent := 0
		for _, a := range tickAt(s, 2000) {
			if a.Kind == SendPeer {
				sent++
				assert.LessOrEqual(t, len(a.Payload), 256, "%d executors", n)
			}
		}
		assert.Equal(t, n <= 508, sent > 0, "%d executors", n)
	}
}
