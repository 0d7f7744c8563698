package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// effectsByEvent are the effects with which a fakeQuotaManager answers each kind of event.
type effectsByEvent = map[quota.EventKind][]quota.Effect

// fakeQuotaManager records its events and answers each kind of event with fixed effects.
type fakeQuotaManager struct {
	events  []quota.Event
	effects effectsByEvent
	startMS float64 // estimate for every request, which ends 10 ms later
	payload []byte  // of the last message from another controller
}

func (m *fakeQuotaManager) Step(_ float64, event *quota.Event) []quota.Effect {
	m.events = append(m.events, *event)
	return m.effects[event.Kind]
}

func (m *fakeQuotaManager) TeamOf(request *Request) string { return "team of " + request.Team }

func (m *fakeQuotaManager) EndpointsUpdated(float64, scheduler.ListKind, []scheduler.Endpoint) []quota.Effect {
	return m.effects[quota.CapacityChanged]
}

func (m *fakeQuotaManager) WaitEstimate(float64, string) (startMS, endMS float64) {
	return m.startMS, m.startMS + 10
}

func (m *fakeQuotaManager) PeerMessages(float64) []quotashare.Message { return nil }

func (m *fakeQuotaManager) ChangedEstimates(_ float64, report func(string, float64, float64)) {
	report("a", 77, 88)
}

func (m *fakeQuotaManager) HandlePeerMessage(_ float64, _ int, data []byte) []quotashare.Message {
	m.payload = data
	return []quotashare.Message{{To: 1, Data: []byte{9}}}
}

// eventKinds returns the kinds of the recorded events in order.
func (m *fakeQuotaManager) eventKinds() (kinds []quota.EventKind) {
	for _, event := range m.events {
		kinds = append(kinds, event.Kind)
	}
	return kinds
}

// lastEventKind returns the kind of the last recorded event.
func (m *fakeQuotaManager) lastEventKind() quota.EventKind { return m.events[len(m.events)-1].Kind }

// fakePeerClient is a PeerSender and a WaitListener that records messages to peers and wait estimates.
type fakePeerClient struct {
	fakeTransport
	payload   []byte
	estimates []float64 // start and end of each estimate
}

func (c *fakePeerClient) SendPeer(_ int, data []byte) { c.payload = data }
func (c *fakePeerClient) WaitEstimated(_ uint64, startMS, endMS float64) {
	c.estimates = append(c.estimates, startMS, endMS)
}

// newQueuedLoop returns a loop with a quota extension that has queued request a.
func newQueuedLoop(manager *fakeQuotaManager, client *fakePeerClient) (*Loop, *fakePolicy) {
	loop, policy := newLoopWithAttempt(&client.fakeTransport, nil)
	loop.process(attemptEnded(scheduler.Succeeded)) // closes the request of newLoopWithAttempt
	client.fakeTransport.calls, client.fakeTransport.sent, policy.events = nil, nil, nil
	loop.closedIDs = map[string]struct{}{}
	loop.Peers = client
	loop.Register(QuotaExtension(manager))
	loop.openCount.Add(1)
	request := newRequest(loop, &client.fakeTransport)
	request.Client, request.Team, request.WantsWaitEstimate, request.OrderKey = client, "x", true, "k"
	loop.process(requestArrived(request))
	return loop, policy
}

// A request is queued until the quota manager offers it. The scheduler then gets it with the priority cap of its quota,
// and the quota manager gets all events that follow.
func TestQuotaExtension_HoldsRequestUntilOffered(t *testing.T) {
	manager, client := &fakeQuotaManager{startMS: 50, effects: effectsByEvent{
		quota.Ticked: {{Kind: quota.Offer, ID: "a", PriorityCap: 500, MemoryShare: 0.7}},
		quota.AttemptStarted: {
			{Kind: quota.CapPriority, ID: "a", PriorityCap: 500},
			{Kind: quota.Offer, ID: "a"},
			{Kind: quota.Offer, ID: "unknown"},
		},
	}}, &fakePeerClient{}
	loop, policy := newQueuedLoop(manager, client)
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived), "the scheduler does not get a queued request")
	assert.Equal(t, "team of x", manager.events[0].Team)
	assert.True(t, manager.events[0].Ordered)
	assert.Equal(t, []float64{50, 60}, client.estimates)
	loop.tick()
	arrived := policy.lastEvent(scheduler.RequestArrived)
	assert.Equal(t, []any{"a", 500.0, 0.7, false, false},
		[]any{arrived.Request, arrived.PriorityCap, arrived.MemoryShare, arrived.Immediate, arrived.Blocked})
	assert.Len(t, client.sent, 1)
	assert.Equal(t, []float64{50, 60, 77, 88}, client.estimates, "the changed estimate is reported, too")
	assert.Equal(t, 500.0, policy.lastEvent(scheduler.PriorityCapped).PriorityCap)
	manager.effects = nil
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []quota.EventKind{
		quota.RequestQueued,
		quota.Ticked,
		quota.AttemptStarted,
		quota.AttemptEnded,
		quota.RequestClosed,
	}, manager.eventKinds())
	assert.True(t, manager.events[4].Succeeded)
	assert.Empty(t, loop.requests)
	loop.handleOffer(&Command{Kind: CapPriority, ID: "a", PriorityCap: 500}) // ignored: the request is answered
	assert.Equal(t, []string{"succeeded"}, client.calls)
}

// A request that the scheduler returns is queued again and can be offered and rejected later. A queued request is
// dropped if its client leaves.
func TestQuotaExtension_ReturnedRequestIsQueuedAgain(t *testing.T) {
	manager, client := &fakeQuotaManager{effects: effectsByEvent{
		quota.Ticked: {{Kind: quota.Offer, ID: "a", Immediate: true}},
	}}, &fakePeerClient{}
	loop, policy := newQueuedLoop(manager, client)
	policy.actions = actionsByEvent{scheduler.RequestArrived: {{Kind: scheduler.ReturnRequest, Request: "a"}}}
	loop.tick()
	assert.True(t, policy.lastEvent(scheduler.RequestArrived).Immediate)
	assert.True(t, loop.requests["a"].queued)
	assert.Equal(t, quota.RequestReturned, manager.lastEventKind())
	policy.actions = actionsByEvent{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a", AfterMS: 400}}}
	manager.startMS = 300
	loop.tick()
	assert.Equal(t, []string{"rejected"}, client.calls)
	assert.Empty(t, loop.requests)
	loop, _ = newQueuedLoop(manager, client)
	loop.process(clientLeft(client, 5))
	assert.Equal(t, quota.RequestClosed, manager.lastEventKind())
	assert.Empty(t, loop.requests)
	assert.Zero(t, loop.OpenRequests())
}

func TestQuotaExtension_ConsumesItsPeerMessages(t *testing.T) {
	peerMessage := func(payload ...byte) QueueItem {
		return QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: 1, Payload: payload}}
	}
	manager, client := &fakeQuotaManager{}, &fakePeerClient{}
	loop, policy := newQueuedLoop(manager, client)
	loop.process(peerMessage(quotashare.Tag, 0))
	assert.Equal(t, []byte{quotashare.Tag, 0}, manager.payload)
	assert.Equal(t, []byte{9}, client.payload)
	assert.Nil(t, policy.lastEvent(scheduler.PeerMessage))
	loop.process(peerMessage(0))
	assert.NotNil(t, policy.lastEvent(scheduler.PeerMessage))
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted}})
	assert.Equal(t, quota.ShutdownStarted, manager.lastEventKind())
	go loop.Run()
	called := false
	assert.True(t, loop.Call(func(float64) { called = true }))
	assert.True(t, called)
	loop.Stop()
	assert.False(t, loop.Call(func(float64) {}))
}

// resizableAttempt is a RunningAttempt that records changes of its memory grant.
type resizableAttempt struct {
	fakeTransport
	grantsMB []float64
}

func (a *resizableAttempt) SetMemory(grantMB float64) { a.grantsMB = append(a.grantsMB, grantMB) }

func TestLoop_ChangesMemoryOfRunningAttempt(t *testing.T) {
	loop, _ := newLoopWithAttempt(&fakeTransport{}, actionsByEvent{
		scheduler.PriorityCapped: {{Kind: scheduler.SetResources, Request: "a", GrantMB: 32, Level: 3}},
	})
	running := &resizableAttempt{}
	loop.requests["a"].attempts[0].running = running
	priorityCapped := QueueItem{Event: scheduler.Event{Kind: scheduler.PriorityCapped, Request: "a"}}
	loop.process(priorityCapped)
	loop.process(priorityCapped)
	assert.Equal(t, []float64{32}, running.grantsMB, "an unchanged grant is not set again")
	assert.Empty(t, running.calls, "an unchanged level is not set")
}
