// Package localityagent connects a controller's locality monitor to the rest of the controller: it passes the scheduler's view of executors
// to the monitor, carries messages between monitors over the cluster transport, plans to the consensus node and back, and the monitor's
// limits to the scheduler. It decides nothing.
//
// The transport's goroutine owns the monitor. The dispatch loop's goroutine owns what Handle collects.
package localityagent

import (
	"encoding/json"
	"maps"
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
	membersMS    = 250 // between two reads of the membership view
	tickInterval = 50 * time.Millisecond
)

// Agent connects a monitor to the transport, the consensus node and the dispatch loop.
type Agent struct {
	// Monitor belongs to the transport's goroutine.
	Monitor *locality.Monitor

	transport *clusternet.Transport
	view      *membership.View
	node      *raftnode.Node
	loop      *dispatch.Loop
	log       logrus.FieldLogger
	name      string
	stop      chan struct{}
	membersAt float64 // when the view was read last

	collector collector

	reach        atomic.Pointer[reachUpdate]
	reachChanged chan struct{}

	counts atomic.Pointer[locality.Counts]
	plan   atomic.Pointer[locality.Plan] // as logged last
}

// reachUpdate is what the scheduler is to know, with its version.
type reachUpdate struct {
	reaches []scheduler.ZoneReach
	version uint64
}

// New returns an agent that does nothing until Start is called.
func New(monitor *locality.Monitor, name string, settings *scheduler.Settings, loop *dispatch.Loop, transport *clusternet.Transport,
	view *membership.View, node *raftnode.Node, log logrus.FieldLogger) *Agent {
	return &Agent{Monitor: monitor, transport: transport, view: view, node: node, loop: loop, log: log, name: name, stop: make(chan struct{}),
		reachChanged: make(chan struct{}, 1), collector: newCollector(settings)}
}

// Start connects the agent. It is to be called before the transport listens.
func (a *Agent) Start() {
	a.node.OnPlan = a.handlePlan
	a.node.OnPlanConfirmed = func(now float64, number uint64, at float64) {
		a.step(now, &locality.Event{Kind: locality.PlanConfirmed, PlanNumber: number, At: at})
	}
	a.transport.LocalityDatagram = a.receiveDatagram
	go a.runReachUpdates()
	go a.runTicks()
}

// Close ends the agent.
func (a *Agent) Close() { close(a.stop) }

func (a *Agent) runTicks() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.transport.Post(a.tick)
		case <-a.stop:
			return
		}
	}
}

// runReachUpdates passes the latest limits to the scheduler.
func (a *Agent) runReachUpdates() {
	for {
		select {
		case <-a.reachChanged:
			update := a.reach.Load()
			a.loop.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: update.reaches}})
			// Behind it in the queue: by then the scheduler has applied it.
			a.loop.Put(dispatch.QueueItem{Call: func(float64) { a.collector.appliedVersion = update.version }})
		case <-a.stop:
			return
		}
	}
}

// Counters returns the counters for the log.
func (a *Agent) Counters() logrus.Fields {
	var counts locality.Counts
	if latest := a.counts.Load(); latest != nil {
		counts = *latest
	}
	var plan locality.Plan
	if latest := a.plan.Load(); latest != nil {
		plan = *latest
	}
	fields := logrus.Fields{"plan": plan.Number, "reports_sent": counts.ReportsSent, "reports_received": counts.ReportsReceived,
		"stale": counts.Stale, "malformed": counts.Malformed, "proposed": counts.Proposed, "plans": counts.Plans, "bytes": counts.Bytes,
		"lent": counts.Lent, "borrowed": counts.Borrowed}
	for _, z := range plan.Zones {
		fields["zone."+z.Name] = z.State.String()
	}
	return fields
}

// tick passes the membership view and the time to the monitor.
func (a *Agent) tick(now float64) {
	if now >= a.membersAt+membersMS {
		a.membersAt = now
		leader := a.node.Leader(now)
		a.step(now, &locality.Event{Kind: locality.MembersChanged, Members: a.members(), Leader: leader,
			Leads: leader == a.name && a.node.LeaseHeld()})
	}
	a.step(now, &locality.Event{Kind: locality.Ticked, UnixMS: time.Now().UnixMilli()})
	counts := a.Monitor.Counts
	a.counts.Store(&counts)
}

func (a *Agent) members() (list []locality.Member) {
	for _, m := range a.view.Members() {
		list = append(list, locality.Member{Name: m.Name, Zone: m.Zone, Region: m.Region, Live: m.State.IsLive()})
	}
	return list
}

// handlePlan takes what the consensus group has agreed on. A plan or order that can't be decoded is from a later version.
func (a *Agent) handlePlan(now float64, agreed raftnode.AgreedPlan) {
	ev := locality.Event{Kind: locality.PlanAgreed}
	if len(agreed.Plan) > 0 {
		plan := &locality.Plan{}
		if json.Unmarshal(agreed.Plan, plan) != nil {
			return
		}
		plan.Number = agreed.Number
		ev.Plan = plan
	}
	for _, name := range slices.Sorted(maps.Keys(agreed.Orders)) {
		var order locality.Order
		if json.Unmarshal(agreed.Orders[name], &order) == nil {
			ev.Orders = append(ev.Orders, order)
		}
	}
	a.step(now, &ev)
	a.logZoneChanges()
}

// logZoneChanges logs once for each plan which zones have changed.
func (a *Agent) logZoneChanges() {
	plan := a.Monitor.Plan()
	previous := a.plan.Load()
	if previous != nil && previous.Number == plan.Number {
		return
	}
	logged := *plan
	a.plan.Store(&logged)
	for _, z := range plan.Zones {
		before := zoneBefore(previous, z.Name)
		if z.State == before.State && z.Stage == before.Stage {
			continue
		}
		a.log.WithFields(logrus.Fields{"zone": z.Name, "from": before.State.String(), "to": z.State.String(), "stage": z.Stage,
			"plan": plan.Number, "reason": z.Reason}).Warn("locality: zone changed state")
	}
}

// zoneBefore returns a zone of the previous plan. One that is not there counts as healthy.
func zoneBefore(previous *locality.Plan, name string) locality.Zone {
	if previous != nil {
		for _, z := range previous.Zones {
			if z.Name == name {
				return z
			}
		}
	}
	return locality.Zone{State: locality.Healthy}
}

// SubmitOrder has the consensus group agree on an operator's order, or revoke the one for its zone.
func (a *Agent) SubmitOrder(order locality.Order, revoke bool) error {
	var data []byte
	if !revoke {
		encoded, err := json.Marshal(order)
		if err != nil {
			return err
		}
		data = encoded
	}
	a.node.Propose(consensus.OrderProposal("zone "+order.Zone, data))
	return nil
}
