package handoffnet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/scheduler"
)

// zoneSettings returns the settings of a scheduler whose keyed class "mark" is dropped by the executors of one zone.
func zoneSettings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.Kinds = []scheduler.ExecutorKind{{Name: "std", Cores: 8, MemoryMB: 16000}}
	settings.Classes = []scheduler.RequestClass{{
		Name:           "mark",
		Idempotency:    scheduler.Keyed,
		DedupScope:     scheduler.DedupZone,
		DedupWindowMS:  20e3,
		DeadlineMS:     5e3,
		SoftDeadlineMS: 5e3,
		Value:          1,
		LateValueShare: 0.5,
		Threads:        1,
	}}
	return settings
}

// An attempt that starts in the very step of a new endpoint list was replicated with the zone and cell of the list
// before, so a successor sent the key to another group than the one in which it may have run.
func TestAgent_ReplicatesWhereExecutorOfNewListRuns(t *testing.T) {
	for name, before := range map[string][]scheduler.Endpoint{
		"joins":                   nil,
		"known from another zone": {{Executor: 2, Availability: scheduler.Draining, Zone: "room-1", Kind: "std", Cell: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			a := startMemberWithPolicy(t, "a", nil, scheduler.New(1, zoneSettings()))
			b := startMember(t, "b", nil)
			a.agent.addresses.Store(&map[string]string{"b": b.address})
			b.agent.addresses.Store(&map[string]string{"a": a.address})
			a.updateList(scheduler.ListRestored, before...)
			a.loop.Submit(&dispatch.Request{
				ID:             "x",
				IdempotencyKey: "m",
				Class:          "mark",
				Deadline:       a.agent.clock.Now() + 5000,
				Client:         noClient{},
			})
			require.Eventually(t, func() bool { return a.agent.registered() == 1 }, 3*time.Second, time.Millisecond,
				"the request waits in the scheduler")
			joining := scheduler.Endpoint{Executor: 2, Zone: "room-2", Kind: "std", Cell: 2}
			a.updateList(scheduler.ListDelta, joining)
			var known []handoff.CopyStatus
			mayHaveRun := func() bool {
				b.loop.Call(func(float64) { known = b.agent.manager.Explain("m") })
				return len(known) == 1 && known[0].Copy.RunState == handoff.MayHaveRun
			}
			require.Eventually(t, mayHaveRun, 3*time.Second, time.Millisecond, "the attempt is replicated")
			assert.Equal(t, []any{"room-2", int64(2)}, []any{known[0].Copy.Zone, known[0].Copy.Cell})
		})
	}
}

// Guards against keys that run in two zones: an attempt that another process may have got, which took the address of its
// executor, was replicated with the executor's zone, and a successor sent the key there.
func TestAgent_ReplicatesNoLocationInDoubt(t *testing.T) {
	settings := zoneSettings()
	settings.PresumedNotifiedAfterMS = 7000
	a := startMemberWithPolicy(t, "a", nil, scheduler.New(1, settings))
	b := startMember(t, "b", nil)
	a.agent.addresses.Store(&map[string]string{"b": b.address})
	b.agent.addresses.Store(&map[string]string{"a": a.address})
	a.updateList(scheduler.ListRestored, scheduler.Endpoint{Executor: 1, Zone: "room-1", Kind: "std", Cell: 1})
	a.loop.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.LastConnectionLost, Executor: 1}})
	a.loop.Submit(&dispatch.Request{
		ID:             "x",
		IdempotencyKey: "m",
		Class:          "mark",
		Deadline:       a.agent.clock.Now() + 5000,
		Client:         noClient{},
	})
	var known []handoff.CopyStatus
	require.Eventually(t, func() bool {
		b.loop.Call(func(float64) { known = b.agent.manager.Explain("m") })
		return len(known) == 1 && known[0].Copy.RunState == handoff.MayHaveRun
	}, 3*time.Second, time.Millisecond, "the attempt is replicated")
	windowBegins := b.agent.clock.Now() - settings.Classes[0].DedupWindowMS
	assert.Less(t, known[0].Copy.FirstAttemptAt, windowBegins, "no successor may send the key to any zone")
}

// updateList passes a member's loop an update of the endpoint list.
func (m *testMember) updateList(kind scheduler.ListKind, endpoints ...scheduler.Endpoint) {
	m.loop.Put(dispatch.QueueItem{
		Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: kind, Endpoints: endpoints},
	})
}

// registered returns how many requests this member has registered at the replicas.
func (a *Agent) registered() (count uint64) {
	a.loop.Call(func(float64) { count = a.manager.Counts().Registered })
	return count
}
