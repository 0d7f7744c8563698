package handoffnet

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/membership"
	"liftshift/internal/placement"
	"liftshift/internal/testlog"
	"liftshift/internal/testservers"
	"liftshift/scheduler"
)

// idlePolicy is a scheduling policy that does nothing.
type idlePolicy struct{}

func (idlePolicy) Step(_ float64, _ *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	return out
}

// silentExecutors is a transport to executors that take every attempt and never answer, and an attempt of it.
type silentExecutors struct{}

func (e silentExecutors) Send(dispatch.Attempt) (dispatch.RunningAttempt, float64) { return e, 0 }

func (silentExecutors) HealthCheck(uint32, uint64) bool { return true }

func (silentExecutors) ForgetHealthCheck(uint32, uint64) {}

func (silentExecutors) ConnectionState(uint32) dispatch.ConnectionState {
	return dispatch.ConnectionState{}
}

func (silentExecutors) Release() {}

func (silentExecutors) Cancel() dispatch.CancelResult { return dispatch.CancelledUnsent }

func (silentExecutors) SetLevel(int) {}

// answerRecorder is an extension of the dispatch loop that records the answers that the agent's streams post.
type answerRecorder struct {
	mu       sync.Mutex
	answered []batchAnswered
}

func (r *answerRecorder) Handle(_ float64, event *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	if answered, ok := event.Message.(batchAnswered); ok && event.Kind == dispatch.MessagePosted {
		r.mu.Lock()
		r.answered = append(r.answered, answered)
		r.mu.Unlock()
	}
	return out
}

// answers returns what has been recorded.
func (r *answerRecorder) answers() []batchAnswered {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]batchAnswered(nil), r.answered...)
}

// waitForAnswers waits until at least n answers have been recorded and returns all of them.
func (r *answerRecorder) waitForAnswers(t *testing.T, n int) []batchAnswered {
	require.Eventually(t, func() bool { return len(r.answers()) >= n }, 3*time.Second, time.Millisecond,
		"fewer than %d answers were posted", n)
	return r.answers()
}

// testMember is an agent with a dispatch loop and a transport of its own.
type testMember struct {
	agent          *Agent
	transport      *clusternet.Transport
	loop           *dispatch.Loop
	address        string
	dropsDatagrams atomic.Bool // the member loses the datagrams that it receives
	stopOnce       sync.Once
	callsMu        sync.Mutex
	calls          []*receivedCall
}

// receivedCall is a batch that a member received by a call.
type receivedCall struct {
	batch      *handoff.Batch
	answeredAt float64 // by the member's clock; infinite while the call is handled
}

// recordCalls wraps the handler of calls so that it records them.
func (m *testMember) recordCalls(handle func(context.Context, []byte) ([]byte, error)) func(
	context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, data []byte) ([]byte, error) {
		batch, err := handoff.ReadBatch(data, m.agent.clock.Now())
		if err != nil {
			return handle(ctx, data)
		}
		call := &receivedCall{batch, math.Inf(1)}
		m.callsMu.Lock()
		m.calls = append(m.calls, call)
		m.callsMu.Unlock()
		reply, err := handle(ctx, data)
		m.callsMu.Lock()
		defer m.callsMu.Unlock()
		call.answeredAt = m.agent.clock.Now()
		return reply, err
	}
}

// limitedCalls returns the recorded calls whose records may be stored for a limited time.
func (m *testMember) limitedCalls() (limited []receivedCall) {
	m.callsMu.Lock()
	defer m.callsMu.Unlock()
	for _, call := range m.calls {
		if call.batch.StoreUntil != 0 {
			limited = append(limited, *call)
		}
	}
	return limited
}

// stop stops the transport.
func (m *testMember) stop() { m.stopOnce.Do(m.transport.Stop) }

// sendQuery sends member b one batch that queries some idempotency keys.
func (m *testMember) sendQuery(keys ...string) {
	batch := &handoff.Batch{From: handoff.Member{Name: "a", Incarnation: 1}, Version: 1}
	for _, key := range keys {
		batch.Items = append(batch.Items, handoff.Item{Op: handoff.OpQuery, Key: handoff.KeyOf(key, "")})
	}
	m.agent.sendBatch("b", batch, m.agent.clock.Now())
}

// memberNames are the members of the placement table.
var memberNames = []string{"a", "b", "c"}

// startMember starts a member whose loop has the given extension. If that is nil, the agent itself is the extension, as
// a replica of all partitions that holds its lease.
func startMember(t *testing.T, name string, extension dispatch.Extension) *testMember {
	return startMemberWithPolicy(t, name, extension, idlePolicy{})
}

// startMemberWithPolicy is startMember with a scheduling policy, whose attempts go to silentExecutors.
func startMemberWithPolicy(
	t *testing.T, name string, extension dispatch.Extension, policy scheduler.Policy,
) *testMember {
	log := testlog.Discard()
	address, err := testservers.FreeAddress()
	require.NoError(t, err)
	clock := dispatch.NewClock()
	m := &testMember{
		transport: clusternet.New(address, log),
		loop:      dispatch.New(clock, policy, log),
		address:   address,
	}
	m.loop.Executors = silentExecutors{}
	settings := handoff.DefaultSettings()
	settings.Classes = []scheduler.RequestClass{
		{Name: "mark", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3},
	}
	m.agent = New(handoff.Member{Name: name, Incarnation: 1}, settings, 1, m.loop, clock, m.transport, log)
	m.agent.leaseHeld = func() bool { return true }
	m.agent.startReceiving()
	m.transport.HandoffCall = m.recordCalls(m.transport.HandoffCall)
	receive := m.transport.HandoffDatagram
	m.transport.HandoffDatagram = func(from netip.AddrPort, data []byte) {
		if !m.dropsDatagrams.Load() {
			receive(from, data)
		}
	}
	if extension == nil {
		extension = m.agent
	}
	m.loop.Register(extension)
	viewSettings := membership.DefaultSettings()
	viewSettings.ProbeMS, viewSettings.AnswerMS, viewSettings.SuspectMS = 60e3, 30e3, 120e3
	self := membership.Member{Name: name, Incarnation: 1, Address: address}
	view := membership.New(m.transport.Now(), "test", self, []string{address}, viewSettings, 1)
	require.NoError(t, m.transport.Start(view, nil))
	go m.loop.Run()
	t.Cleanup(func() {
		m.stop()
		m.loop.Stop()
		m.agent.Close()
	})
	if extension == m.agent {
		m.applyPlacement()
	}
	return m
}

// applyPlacement gives the manager a placement table in which the members are replicas of all partitions.
func (m *testMember) applyPlacement() {
	var members []placement.Member
	for _, name := range memberNames {
		members = append(members, placement.Member{Name: name, Incarnation: 1})
	}
	var table placement.Table
	table.Reassign(members, 1)
	table.Step = 1
	m.loop.Call(func(now float64) {
		m.agent.Step(now, &handoff.Event{Kind: handoff.PlacementChanged, Members: members, Table: &table})
	})
}

// startPair returns member a, which sends batches and records the answers, and member b, which answers.
func startPair(t *testing.T) (a, b *testMember, recorder *answerRecorder) {
	recorder = &answerRecorder{}
	b = startMember(t, "b", nil)
	a = startMember(t, "a", recorder)
	a.agent.addresses.Store(&map[string]string{"b": b.address})
	return a, b, recorder
}
