// Package localityagent carries a controller's part in deciding between zones: what its module holds of executors to its watch, what watches tell
// one another, plans to the council and back, and how far searches may go to the module. It decides nothing. The watch belongs to the
// carriage's goroutine, as the view and the council do; the desk's goroutine only hands over what it has.
package localityagent

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/locality"
	"liftshift/internal/membership"
	"liftshift/internal/raftnode"
	"liftshift/scheduler"
)

const (
	seenMS    = 90                    // between two looks at what the module holds: each tick of the desk
	presentMS = 250                   // between two looks at the view
	beat      = 50 * time.Millisecond // of the watch
	knownMS   = 10000                 // for which a sign of work, or a report, is evidence of an executor
	mostName  = 64
)

// The kinds of datagrams: the kind, the sender's name behind its length, and what is said.
const (
	reports   = 'r'
	announces = 'n'
	asksLoan  = 'q' // the number, the zone
	givesLoan = 'l' // the number, the threads, the zone
)

// Agent joins a watch to a desk, to the carriage and to the council.
type Agent struct {
	Monitor *locality.Monitor // of the carriage's goroutine
	carrier *clusternet.Transport
	view    *membership.View
	seat    *raftnode.Node
	desk    *dispatch.Loop
	log     logrus.FieldLogger
	name    string
	stop    chan struct{}
	last    float64 // when the view was looked at

	// Of the desk's goroutine.
	where   map[uint32]scheduler.Endpoint
	cores   map[string]float64 // of a machine, by kind
	threads map[string]float64 // of a search, by offering
	wants   float64
	seenAt  float64

	deaf bool

	reaches atomic.Pointer[reaching]
	applied uint64 // what the module has, of the desk's goroutine
	opened  chan struct{}

	counts atomic.Pointer[locality.Counts]
	plan   atomic.Pointer[locality.Plan]
}

// reaching is what the module is to know, and its number.
type reaching struct {
	list   []scheduler.ZoneReach
	number uint64
}

// New joins one; Begin has it work.
func New(w *locality.Monitor, name string, settings *scheduler.Settings, d *dispatch.Loop, c *clusternet.Transport, v *membership.View, s *raftnode.Node, log logrus.FieldLogger) *Agent {
	t := &Agent{Monitor: w, carrier: c, view: v, seat: s, desk: d, log: log, name: name, stop: make(chan struct{}), opened: make(chan struct{}, 1), where: map[uint32]scheduler.Endpoint{},
		cores: map[string]float64{}, threads: map[string]float64{}}
	for _, k := range settings.Kinds {
		t.cores[k.Name] = k.Cores
	}
	for _, c := range settings.Classes {
		t.threads[c.Name] = float64(max(1, c.Threads))
	}
	return t
}

// Start has it hear the council and the others; it is called before the carriage listens.
func (t *Agent) Start() {
	t.seat.OnPlan = t.planned
	t.seat.OnPlanConfirmed = func(now float64, number uint64, at float64) {
		t.step(now, &locality.Event{Kind: locality.PlanConfirmed, PlanNumber: number, At: at})
	}
	t.carrier.LocalityDatagram = t.heard
	go t.open()
	go func() {
		tick := time.NewTicker(beat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				t.carrier.Post(t.tick)
			case <-t.stop:
				return
			}
		}
	}()
}

// open tells the module how far searches may go, the latest word alone.
func (t *Agent) open() {
	for {
		select {
		case <-t.opened:
			r := t.reaches.Load()
			t.desk.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ReachabilityChanged, Reaches: r.list}})
			t.desk.Put(dispatch.QueueItem{Call: func(float64) { t.applied = r.number }}) // behind it in the queue: the module has it then
		case <-t.stop:
			return
		}
	}
}

// Close ends it.
func (t *Agent) Close() { close(t.stop) }

// Counters gives the counters for the log.
func (t *Agent) Counters() logrus.Fields {
	c, p := locality.Counts{}, locality.Plan{}
	if x := t.counts.Load(); x != nil {
		c = *x
	}
	if x := t.plan.Load(); x != nil {
		p = *x
	}
	f := logrus.Fields{"plan": p.Number, "told": c.ReportsSent, "heard": c.ReportsReceived, "stale": c.Stale, "malformed": c.Malformed, "proposed": c.Proposed,
		"plans": c.Plans, "bytes": c.Bytes, "lent": c.Lent, "borrowed": c.Borrowed}
	for _, z := range p.Zones {
		f["zone."+z.Name] = z.State.String()
	}
	return f
}

// tick gives the watch its time, and what the view has.
func (t *Agent) tick(now float64) {
	if now >= t.last+presentMS {
		t.last = now
		var list []locality.Member
		for _, m := range t.view.Members() {
			list = append(list, locality.Member{Name: m.Name, Zone: m.Zone, Region: m.Region, Living: m.State.IsLive()})
		}
		leader := t.seat.Leader(now)
		t.step(now, &locality.Event{Kind: locality.MembersChanged, Members: list, Leader: leader, Leads: leader == t.name && t.seat.LeaseHeld()})
	}
	t.step(now, &locality.Event{Kind: locality.Ticked, UnixMS: time.Now().UnixMilli()})
	c := t.Monitor.Counts
	t.counts.Store(&c)
}

// planned takes what is agreed.
func (t *Agent) planned(now float64, p raftnode.AgreedPlan) {
	ev := locality.Event{Kind: locality.PlanAgreed}
	if len(p.Plan) > 0 {
		plan := &locality.Plan{}
		if json.Unmarshal(p.Plan, plan) != nil {
			return // of a later version
		}
		plan.Number = p.Number
		ev.Plan = plan
	}
	names := make([]string, 0, len(p.Orders))
	for name := range p.Orders {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		var o locality.Order
		if json.Unmarshal(p.Orders[name], &o) == nil {
			ev.Orders = append(ev.Orders, o)
		}
	}
	t.step(now, &ev)
	t.tell()
}

// tell logs what the zones are now, once a change.
func (t *Agent) tell() {
	p := t.Monitor.Plan()
	was := t.plan.Load()
	if was != nil && was.Number == p.Number {
		return
	}
	one := *p
	t.plan.Store(&one)
	for _, z := range p.Zones {
		before, stage := locality.Healthy, 0
		if was != nil {
			for _, o := range was.Zones {
				if o.Name == z.Name {
					before, stage = o.State, o.Stage
				}
			}
		}
		if z.State != before || z.Stage != stage {
			t.log.WithFields(logrus.Fields{"zone": z.Name, "was": before.String(), "stage": z.Stage, "plan": p.Number, "why": z.Reason}).Warn("zones: " + z.State.String())
		}
	}
}

// step plays an event to the watch and carries what follows.
func (t *Agent) step(now float64, ev *locality.Event) {
	for _, e := range slices.Clone(t.Monitor.Step(now, ev)) {
		switch e.Kind {
		case locality.SendReport:
			t.send(now, e.To, reports, e.Data)
		case locality.AnnouncePlan:
			t.send(now, e.To, announces, binary.AppendUvarint(nil, e.Number))
		case locality.RequestLoan:
			t.send(now, e.To, asksLoan, append(binary.BigEndian.AppendUint64(nil, e.Number), e.Zone...))
		case locality.GrantLoan:
			t.send(now, e.To, givesLoan, append(binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint64(nil, e.Number), uint16(e.Threads)), e.Zone...))
		case locality.FetchPlan:
			t.seat.FetchPlan(now, t.Monitor.Plan().Number)
		case locality.ProposePlan:
			if data, err := json.Marshal(e.Plan); err == nil {
				t.seat.Propose(consensus.PlanProposal(e.Plan.Number, data))
			}
		case locality.LogWarning:
			t.log.Warn("zones: " + e.Text)
		case locality.SetReach:
			t.reaches.Store(&reaching{e.Reaches, e.Number})
			select {
			case t.opened <- struct{}{}:
			default: // it is on its way already, and will be as it is then
			}
		}
	}
}

func (t *Agent) send(now float64, to string, kind byte, data []byte) {
	m, known := t.view.Find(to)
	at, err := netip.ParseAddrPort(m.Address)
	if !known || err != nil {
		return
	}
	t.carrier.SendLocality(at, append(append([]byte{kind, byte(len(t.name))}, t.name...), data...))
}

// heard takes a datagram; the carriage's listening goroutine calls it.
func (t *Agent) heard(_ netip.AddrPort, data []byte) {
	if len(data) < 2 || data[1] > mostName || len(data) < 2+int(data[1]) {
		return
	}
	kind, from, rest := data[0], string(data[2:2+int(data[1])]), data[2+int(data[1]):]
	ev := locality.Event{From: from}
	switch {
	case kind == reports:
		ev.Kind, ev.Data = locality.ReportReceived, rest
	case kind == announces:
		ev.Kind = locality.PlanAnnounced
		ev.PlanNumber, _ = binary.Uvarint(rest)
	case kind == asksLoan && len(rest) > 8 && len(rest) <= 8+mostName:
		ev.Kind, ev.PlanNumber, ev.Zone = locality.LoanRequested, binary.BigEndian.Uint64(rest), string(rest[8:])
	case kind == givesLoan && len(rest) > 10 && len(rest) <= 10+mostName:
		ev.Kind, ev.PlanNumber, ev.Threads = locality.LoanGranted, binary.BigEndian.Uint64(rest), float64(binary.BigEndian.Uint16(rest[8:]))
		ev.Zone = string(rest[10:])
	default:
		return
	}
	t.carrier.TryPost(func(now float64) { t.step(now, &ev) })
}

// SubmitOrder has the council take in an operator's order, or take one back.
func (t *Agent) SubmitOrder(o locality.Order, back bool) error {
	var data []byte
	if !back {
		var err error
		if data, err = json.Marshal(o); err != nil {
			return err
		}
	}
	t.seat.Propose(consensus.OrderProposal("zone "+o.Zone, data))
	return nil
}

// ---- as a part of the desk

// Handle hands over what the module holds, and counts what searches in hand want.
func (t *Agent) Handle(now float64, h *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	switch h.Kind {
	case dispatch.RequestEntered:
		t.wants += t.threads[h.Request.Class]
	case dispatch.RequestClosed:
		t.wants = max(0, t.wants-t.threads[h.Request.Class])
	case dispatch.EndpointsUpdated:
		t.deaf = false
		t.list(h.List)
	case dispatch.ListUnavailable:
		t.deaf = true
	case dispatch.Ticked:
		if now < t.seenAt+seenMS {
			break
		}
		t.seenAt = now
		beliefs, _ := h.SchedulerState()
		ev := &locality.Event{Kind: locality.Observed, DemandThreads: t.wants, WithoutList: t.deaf, Applied: t.applied, Executors: t.executors(beliefs)}
		go t.carrier.Post(func(now float64) { t.step(now, ev) }) // this goroutine must not wait
	}
	return out
}

func (t *Agent) executors(beliefs []scheduler.ExecutorView) (list []locality.Executor) {
	for k := range beliefs {
		b := &beliefs[k]
		at, known := t.where[b.Executor]
		if !known {
			continue
		}
		x := locality.Executor{Zone: at.Zone, Kind: at.Kind, Cores: max(1, t.cores[at.Kind]), Listed: b.Availability == scheduler.Active, Ejected: b.Ejected, WarmingUp: b.WarmingUp,
			InFlight: float64(b.Threads)}
		x.Known = b.Ejected || b.ConsecutiveFailures > 0 || b.InFlight > 0 || b.SinceSignMS >= 0 && b.SinceSignMS < knownMS || b.SinceReportMS >= 0 && b.SinceReportMS < knownMS
		list = append(list, x)
	}
	return list
}

// list keeps where executors are.
func (t *Agent) list(l *scheduler.Event) {
	if l.List != scheduler.ListDelta {
		clear(t.where)
	}
	for _, e := range l.Endpoints {
		if delete(t.where, e.Executor); e.Availability != scheduler.Removed {
			t.where[e.Executor] = e
		}
	}
}
