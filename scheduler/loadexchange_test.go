package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// allowPeerMessages turns on the load exchange.
func allowPeerMessages(settings *Settings) { settings.MayMessagePeers = true }

func TestScheduler_AggregatesLoadOfControllers(t *testing.T) {
	aggregator := newSmallShareScheduler(3, allowPeerMessages)
	reporter := newSmallShareScheduler(3, allowPeerMessages)
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
	// A message with the length that a shorter endpoint list has is ignored.
	reporter.Step(1030, &Event{Kind: PeerMessage, FromPeer: 0, Payload: levels.Payload[:2]}, nil)
	assert.Equal(t, 1020.0, e.lastLoadReportAt)
}

func TestScheduler_ReportsFailingExecutorAsFuller(t *testing.T) {
	s := newSmallShareScheduler(2, allowPeerMessages)
	s.executors[0].failures, s.executors[0].state = 1, executorEjected
	s.exchangeLoad()
	s.sumPeerLoads(0)
	assert.Equal(t, float64(failingExtraThreads), s.executors[0].peerThreads)
	assert.Zero(t, s.executors[1].peerThreads)
}

func TestScheduler_AvoidsExecutorReportedFull(t *testing.T) {
	s := newSmallShareScheduler(2, allowPeerMessages)
	for index := range s.executors {
		e := &s.executors[index]
		e.reportedThreads, e.lastLoadReportAt = 3*e.cores*float64(index), 1000
	}
	for k := range 5 {
		arrive(s, 1000, string(rune('a'+k)), "read")
	}
	assert.Zero(t, s.executors[1].inFlight)
	assert.Positive(t, s.executors[0].inFlight)
}

// Messages come from other machines: no sequence of bytes may make the scheduler panic, send an attempt or send a
// message that is too long.
func FuzzScheduler_ReceiveLoad(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, 0)
	f.Add([]byte{1, 2, 0x53}, 7)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := newTestScheduler(3, func(settings *Settings) {
			settings.MayMessagePeers = true
			settings.Controllers = 40
		})
		out := s.Step(1100, &Event{Kind: PeerMessage, FromPeer: from, Payload: data}, nil)
		out = s.Step(1400, &Event{Kind: TimerFired}, out)
		for _, action := range out {
			if action.Kind == Send || len(action.Payload) > 256 {
				t.Fatalf("message %x from controller %d led to action %+v", data, from, action)
			}
		}
	})
}

// Guards against messages longer than 256 bytes, however many executors there are.
func TestScheduler_LoadMessagesFitDatagram(t *testing.T) {
	for _, executors := range []int{80, 300, 508, 509, 3200} {
		s := New(7, testSettings(func(settings *Settings) {
			settings.MayMessagePeers = true
			settings.Controllers = 900
			settings.ControllerIndex = 0
			settings.Classes[0].Threads = 1
		}))
		s.startedAt = -1e6
		var list []Endpoint
		for index := range executors {
			list = append(list, Endpoint{Executor: uint32(index)*2654435761 + 1, Kind: "big"})
		}
		s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
		for index := range s.executors {
			s.executors[index].threads, s.executors[index].inFlight = 1, 1
		}
		sent := 0
		for _, action := range tickAt(s, 2000) {
			if action.Kind == SendPeer {
				sent++
				assert.LessOrEqual(t, len(action.Payload), 256, "message length with %d executors", executors)
			}
		}
		assert.Equal(t, executors <= 508, sent > 0, "%d messages sent with %d executors", sent, executors)
	}
}
