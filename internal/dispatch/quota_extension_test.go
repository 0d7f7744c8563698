package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// fakeQuota records its events and answers each kind with fixed effects.
type fakeQuota struct {
	events  []quota.Event
	effects map[quota.EventKind][]quota.Effect
	waitMS  float64
	payload []byte
}

func (p *fakeQuota) Step(_ float64, ev *quota.Event) []quota.Effect {
	p.events = append(p.events, *ev)
	return p.effects[ev.Kind]
}
func (p *fakeQuota) TeamOf(s *Request) string { return "team of " + s.Team }
func (p *fakeQuota) EndpointsUpdated(float64, scheduler.ListKind, []scheduler.Endpoint) []quota.Effect {
	return p.effects[quota.CapacityChanged]
}
func (p *fakeQuota) WaitEstimate(float64, string) (float64, float64) { return p.waitMS, p.waitMS + 10 }
func (p *fakeQuota) PeerMessages(float64) []quotashare.Message       { return nil }
func (p *fakeQuota) ChangedEstimates(_ float64, each func(string, float64, float64)) {
	each("a", 77, 88)
}
func (p *fakeQuota) HandlePeerMessage(_ float64, _ int, data []byte) []quotashare.Message {
	p.payload = data
	return []quotashare.Message{{To: 1, Data: []byte{9}}}
}

func (p *fakeQuota) kinds() (list []quota.EventKind) {
	for _, ev := range p.events {
		list = append(list, ev.Kind)
	}
	return list
}

// fakePeerClient records messages to peers and wait estimates.
type fakePeerClient struct {
	fakeTransport
	payload []byte
	waits   []float64
}

func (t *fakePeerClient) SendPeer(_ int, data []byte) { t.payload = data }
func (t *fakePeerClient) WaitEstimated(_ uint64, start, end float64) {
	t.waits = append(t.waits, start, end)
}

// newQueuedLoop returns a loop with a quota extension that has request a queued.
func newQueuedLoop(p *fakeQuota, transport *fakePeerClient, on map[scheduler.EventKind][]scheduler.Action) (*Loop, *fakePolicy) {
	loop, policy := newLoopWithAttempt(&transport.fakeTransport, on)
	loop.process(attemptEnded(scheduler.Succeeded)) // the request that is there already
	transport.fakeTransport.calls, transport.fakeTransport.sent, policy.events = nil, nil, nil
	loop.closedIDs = map[string]struct{}{}
	loop.Peers = transport
	loop.Register(QuotaExtension(p))
	loop.openCount.Add(1)
	s := newRequest(loop, &transport.fakeTransport)
	s.Client, s.Team, s.WantsWaitEstimate, s.OrderKey = transport, "x", true, "k"
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
	return loop, policy
}

// A request is queued until it is offered; the scheduler then gets it with the cap of its quota, which is told of all that follows.
func TestQuotaExtension_HoldsRequestUntilOffered(t *testing.T) {
	p, transport := &fakeQuota{waitMS: 50, effects: map[quota.EventKind][]quota.Effect{quota.Ticked: {{Kind: quota.Offer, ID: "a", PriorityCap: 500, MemoryShare: 0.7}},
		quota.AttemptStarted: {{Kind: quota.CapPriority, ID: "a", PriorityCap: 500}, {Kind: quota.Offer, ID: "a"}, {Kind: quota.Offer, ID: "gone"}}}}, &fakePeerClient{}
	loop, policy := newQueuedLoop(p, transport, nil)
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived), "nothing yet")
	assert.Equal(t, "team of x", p.events[0].Team)
	assert.True(t, p.events[0].Ordered)
	assert.Equal(t, []float64{50, 60}, transport.waits)
	loop.tick()
	ev := policy.lastEvent(scheduler.RequestArrived)
	assert.Equal(t, []any{"a", 500.0, 0.7, false, false}, []any{ev.Request, ev.PriorityCap, ev.MemoryShare, ev.Immediate, ev.Blocked})
	assert.Len(t, transport.sent, 1)
	assert.Equal(t, []float64{50, 60, 77, 88}, transport.waits, "told again while it waited")
	assert.Equal(t, 500.0, policy.lastEvent(scheduler.PriorityCapped).PriorityCap)
	p.effects = nil
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []quota.EventKind{quota.RequestQueued, quota.Ticked, quota.AttemptStarted, quota.AttemptEnded, quota.RequestClosed}, p.kinds())
	assert.True(t, p.events[4].Succeeded)
	assert.Empty(t, loop.requests)
	loop.handleOffer(&Command{Kind: CapPriority, ID: "a", PriorityCap: 500}) // it crosses the answer
	assert.Equal(t, []string{"succeeded"}, transport.calls)
}

// What the scheduler returns is queued again; a client that leaves meanwhile is dropped, and a rejection names the wait.
func TestQuotaExtension_ReturnedRequestIsQueuedAgain(t *testing.T) {
	back := map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.ReturnRequest, Request: "a"}}}
	p, transport := &fakeQuota{effects: map[quota.EventKind][]quota.Effect{quota.Ticked: {{Kind: quota.Offer, ID: "a", Immediate: true}}}}, &fakePeerClient{}
	loop, policy := newQueuedLoop(p, transport, nil)
	policy.actions = back
	loop.tick()
	assert.True(t, policy.lastEvent(scheduler.RequestArrived).Immediate)
	assert.True(t, loop.requests["a"].queued)
	assert.Equal(t, quota.RequestReturned, p.events[len(p.events)-1].Kind)
	policy.actions = map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a", AfterMS: 400}}}
	p.waitMS = 300
	loop.tick()
	assert.Equal(t, []string{"rejected"}, transport.calls)
	assert.Empty(t, loop.requests)
	loop, _ = newQueuedLoop(p, transport, nil)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: transport, Token: 5})
	assert.Equal(t, quota.RequestClosed, p.events[len(p.events)-1].Kind)
	assert.Empty(t, loop.requests)
	assert.Zero(t, loop.OpenRequests())
}

func TestQuotaExtension_ConsumesItsPeerMessages(t *testing.T) {
	p, transport := &fakeQuota{}, &fakePeerClient{}
	loop, policy := newQueuedLoop(p, transport, nil)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: 1, Payload: []byte{quotashare.Tag, 0}}})
	assert.Equal(t, []byte{quotashare.Tag, 0}, p.payload)
	assert.Equal(t, []byte{9}, transport.payload)
	assert.Nil(t, policy.lastEvent(scheduler.PeerMessage))
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: 1, Payload: []byte{0}}})
	assert.NotNil(t, policy.lastEvent(scheduler.PeerMessage))
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted}})
	assert.Equal(t, quota.ShutdownStarted, p.events[len(p.events)-1].Kind)
	go loop.Run()
	called := false
	assert.True(t, loop.Call(func(float64) { called = true }))
	assert.True(t, called)
	loop.Stop()
	assert.False(t, loop.Call(func(float64) {}))
}

// resizableAttempt is an attempt whose memory can be changed.
type resizableAttempt struct {
	fakeTransport
	grantsMB []float64
}

func (l *resizableAttempt) SetMemory(mb float64) { l.grantsMB = append(l.grantsMB, mb) }

func TestLoop_ChangesMemoryOfRunningAttempt(t *testing.T) {
	transport := &fakeTransport{}
	loop, _ := newLoopWithAttempt(transport, map[scheduler.EventKind][]scheduler.Action{scheduler.PriorityCapped: {{Kind: scheduler.SetResources, Request: "a", GrantMB: 32, Level: 3}}})
	l := &resizableAttempt{}
	loop.requests["a"].attempts[0].running = l
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.PriorityCapped, Request: "a"}})
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.PriorityCapped, Request: "a"}})
	assert.Equal(t, []float64{32}, l.grantsMB, "once, and its level stays")
	assert.Empty(t, l.calls)
}

// Extensions get events in the order of their registration and decide together; without extensions nothing is allocated.
func TestLoop_NotifiesExtensionsInOrder(t *testing.T) {
	loop, _ := newLoopWithAttempt(&fakeTransport{}, nil)
	assert.Zero(t, testing.AllocsPerRun(100, func() { loop.notify(Event{Kind: Ticked}) }))
	var heard []string
	loop.Register(extensionFunc(func(h *Event, out []Command) []Command {
		heard = append(heard, "first")
		return append(out, Command{Kind: Admit, Blocked: true}, Command{Kind: HoldAttempt})
	}))
	loop.Register(extensionFunc(func(h *Event, out []Command) []Command {
		heard = append(heard, "second")
		return append(out, Command{Kind: Admit, Prior: scheduler.PriorAttempt{At: 7}}, Command{Kind: SetRetryAfter, AfterMS: 3})
	}))
	v := loop.notify(Event{Kind: RequestReceived, AfterMS: 9})
	assert.Equal(t, []string{"first", "second"}, heard)
	assert.Equal(t, decision{blocked: true, prior: scheduler.PriorAttempt{At: 7}, holds: 1, retryAfterMS: 3}, v)
}

type extensionFunc func(h *Event, out []Command) []Command

func (p extensionFunc) Handle(_ float64, h *Event, out []Command) []Command { return p(h, out) }
