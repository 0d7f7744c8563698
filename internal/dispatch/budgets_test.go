package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// purse plays budgets: it keeps what it was told and wants what it is given.
type purse struct {
	told  []quota.Event
	wants map[quota.EventKind][]quota.Effect
	wait  float64
	heard []byte
}

func (p *purse) Step(_ float64, ev *quota.Event) []quota.Effect {
	p.told = append(p.told, *ev)
	return p.wants[ev.Kind]
}
func (p *purse) TeamOf(s *Request) string { return "team of " + s.Team }
func (p *purse) EndpointsUpdated(float64, scheduler.ListKind, []scheduler.Endpoint) []quota.Effect {
	return p.wants[quota.CapacityChanged]
}
func (p *purse) WaitEstimate(float64, string) (float64, float64)                 { return p.wait, p.wait + 10 }
func (p *purse) PeerMessages(float64) []quotashare.Message                       { return nil }
func (p *purse) ChangedEstimates(_ float64, each func(string, float64, float64)) { each("a", 77, 88) }
func (p *purse) HandlePeerMessage(_ float64, _ int, data []byte) []quotashare.Message {
	p.heard = data
	return []quotashare.Message{{To: 1, Data: []byte{9}}}
}

func (p *purse) kinds() (list []quota.EventKind) {
	for _, ev := range p.told {
		list = append(list, ev.Kind)
	}
	return list
}

// told is peers that keep what they are told, and a client that hears waits.
type told struct {
	side
	data  []byte
	waits []float64
}

func (t *told) SendPeer(_ int, data []byte)                { t.data = data }
func (t *told) WaitEstimated(_ uint64, start, end float64) { t.waits = append(t.waits, start, end) }

// lined is a desk with budgets where request a stands in line.
func lined(p *purse, f *told, on map[scheduler.EventKind][]scheduler.Action) (*Loop, *script) {
	d, one := sent(&f.side, on)
	d.play(end(scheduler.Succeeded)) // the request that is there already
	f.side.did, f.side.sent, one.told = nil, nil, nil
	d.spent = map[string]struct{}{}
	d.Peers = f
	d.Register(QuotaExtension(p))
	d.open.Add(1)
	s := search0(d, &f.side)
	s.Client, s.Team, s.WantsWaitEstimate, s.OrderKey = f, "x", true, "k"
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
	return d, one
}

// A request stands in line until it is offered; the module then gets it with what the budgets say, and they hear all of it.
func TestARequestReachesTheModuleOnceItIsOffered(t *testing.T) {
	p, f := &purse{wait: 50, wants: map[quota.EventKind][]quota.Effect{quota.Ticked: {{Kind: quota.Offer, ID: "a", PriorityCap: 500, MemoryShare: 0.7}},
		quota.AttemptStarted: {{Kind: quota.CapPriority, ID: "a", PriorityCap: 500}, {Kind: quota.Offer, ID: "a"}, {Kind: quota.Offer, ID: "gone"}}}}, &told{}
	d, one := lined(p, f, nil)
	assert.Nil(t, one.last(scheduler.RequestArrived), "nothing yet")
	assert.Equal(t, "team of x", p.told[0].Team)
	assert.True(t, p.told[0].Ordered)
	assert.Equal(t, []float64{50, 60}, f.waits)
	d.tick()
	ev := one.last(scheduler.RequestArrived)
	assert.Equal(t, []any{"a", 500.0, 0.7, false, false}, []any{ev.Request, ev.PriorityCap, ev.MemoryShare, ev.Immediate, ev.Blocked})
	assert.Len(t, f.sent, 1)
	assert.Equal(t, []float64{50, 60, 77, 88}, f.waits, "told again while it waited")
	assert.Equal(t, 500.0, one.last(scheduler.PriorityCapped).PriorityCap)
	p.wants = nil
	d.play(end(scheduler.Succeeded))
	assert.Equal(t, []quota.EventKind{quota.RequestQueued, quota.Ticked, quota.AttemptStarted, quota.AttemptEnded, quota.RequestClosed}, p.kinds())
	assert.True(t, p.told[4].Succeeded)
	assert.Empty(t, d.requests)
	d.offer(&Command{Kind: CapPriority, ID: "a", PriorityCap: 500}) // it crosses the answer
	assert.Equal(t, []string{"handled"}, f.did)
}

// What the module gives back stands in line again; a client that leaves meanwhile is forgotten, and a denial names the wait.
func TestWhatIsGivenBackStandsInLine(t *testing.T) {
	back := map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.ReturnRequest, Request: "a"}}}
	p, f := &purse{wants: map[quota.EventKind][]quota.Effect{quota.Ticked: {{Kind: quota.Offer, ID: "a", Immediate: true}}}}, &told{}
	d, one := lined(p, f, nil)
	one.on = back
	d.tick()
	assert.True(t, one.last(scheduler.RequestArrived).Immediate)
	assert.True(t, d.requests["a"].inLine)
	assert.Equal(t, quota.RequestReturned, p.told[len(p.told)-1].Kind)
	one.on = map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a", AfterMS: 400}}}
	p.wait = 300
	d.tick()
	assert.Equal(t, []string{"denied"}, f.did)
	assert.Empty(t, d.requests)
	d, _ = lined(p, f, nil)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: f, Token: 5})
	assert.Equal(t, quota.RequestClosed, p.told[len(p.told)-1].Kind)
	assert.Empty(t, d.requests)
	assert.Zero(t, d.OpenRequests())
}

func TestLoansGoToTheBudgetsAndCallsAreMadeHere(t *testing.T) {
	p, f := &purse{}, &told{}
	d, one := lined(p, f, nil)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: 1, Payload: []byte{quotashare.Tag, 0}}})
	assert.Equal(t, []byte{quotashare.Tag, 0}, p.heard)
	assert.Equal(t, []byte{9}, f.data)
	assert.Nil(t, one.last(scheduler.PeerMessage))
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage, FromPeer: 1, Payload: []byte{0}}})
	assert.NotNil(t, one.last(scheduler.PeerMessage))
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted}})
	assert.Equal(t, quota.ShutdownStarted, p.told[len(p.told)-1].Kind)
	go d.Run()
	called := false
	assert.True(t, d.Call(func(float64) { called = true }))
	assert.True(t, called)
	d.Stop()
	assert.False(t, d.Call(func(float64) {}))
}

// lender is an attempt whose memory can be changed.
type lender struct {
	side
	mb []float64
}

func (l *lender) SetMemory(mb float64) { l.mb = append(l.mb, mb) }

func TestTheMemoryOfAnAttemptThatRunsIsChangedWhereThatCanBe(t *testing.T) {
	f := &side{}
	d, _ := sent(f, map[scheduler.EventKind][]scheduler.Action{scheduler.PriorityCapped: {{Kind: scheduler.SetResources, Request: "a", GrantMB: 32, Level: 3}}})
	l := &lender{}
	d.requests["a"].attempts[0].run = l
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.PriorityCapped, Request: "a"}})
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.PriorityCapped, Request: "a"}})
	assert.Equal(t, []float64{32}, l.mb, "once, and its level stays")
	assert.Empty(t, l.did)
}

// Parts hear in the order in which they joined, and say together what is about to happen; without parts nothing is even built.
func TestPartsHearInOrder(t *testing.T) {
	d, _ := sent(&side{}, nil)
	assert.Zero(t, testing.AllocsPerRun(100, func() { d.happen(Event{Kind: Ticked}) }))
	var heard []string
	d.Register(part(func(h *Event, out []Command) []Command {
		heard = append(heard, "first")
		return append(out, Command{Kind: Admit, Blocked: true}, Command{Kind: HoldAttempt})
	}))
	d.Register(part(func(h *Event, out []Command) []Command {
		heard = append(heard, "second")
		return append(out, Command{Kind: Admit, Prior: scheduler.PriorAttempt{At: 7}}, Command{Kind: SetRetryAfter, AfterMS: 3})
	}))
	v := d.happen(Event{Kind: RequestReceived, AfterMS: 9})
	assert.Equal(t, []string{"first", "second"}, heard)
	assert.Equal(t, verdict{barred: true, prior: scheduler.PriorAttempt{At: 7}, holds: 1, afterMS: 3}, v)
}

type part func(h *Event, out []Command) []Command

func (p part) Handle(_ float64, h *Event, out []Command) []Command { return p(h, out) }
