// Package localityagent connects a controller's locality monitor to the rest of the controller. It passes the
// scheduler's view of the executors to the monitor and the limits that the monitor sets to the scheduler. It carries
// messages between monitors over the cluster transport, submits plans to the consensus group through the consensus
// node, and passes agreed plans to the monitor. All decisions are the monitor's.
//
// The monitor belongs to the transport's goroutine, the collector of observations to the dispatch loop's goroutine.
package localityagent

import (
	"encoding/json"
	"fmt"
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
	membersIntervalMS = 250 // time between two reads of the membership view
	tickInterval      = 50 * time.Millisecond
)

// zoneOrderPrefix precedes the zone in the name under which the consensus group keeps an operator's order.
const zoneOrderPrefix = "zone "

// Agent connects a monitor to the transport, the consensus node and the dispatch loop.
type Agent struct {
	// Monitor belongs to the transport's goroutine.
	Monitor *locality.Monitor

	transport     *clusternet.Transport
	view          *membership.View
	node          *raftnode.Node
	loop          *dispatch.Loop
	log           logrus.FieldLogger
	name          string
	stop          chan struct{}
	membersReadAt float64 // time of the last read of the membership view

	collector collector

	latestReach  atomic.Pointer[reachUpdate]
	reachChanged chan struct{}

	latestCounts atomic.Pointer[locality.Counts]
	loggedPlan   atomic.Pointer[locality.Plan] // the plan whose zone changes were logged last
}

// reachUpdate holds the limits that the scheduler is to apply to the remote zones, and their version. Zones without a
// limit are closed, except the own zone, unless that is empty.
type reachUpdate struct {
	ownZone string
	reaches []scheduler.ZoneReach
	version uint64
}

// New returns an agent that does nothing until Start is called.
func New(monitor *locality.Monitor, name string, settings *scheduler.Settings, loop *dispatch.Loop,
	transport *clusternet.Transport, view *membership.View, node *raftnode.Node, log logrus.FieldLogger) *Agent {
	return &Agent{Monitor: monitor, transport: transport, view: view, node: node, loop: loop, log: log, name: name,
		stop: make(chan struct{}), reachChanged: make(chan struct{}, 1), collector: newCollector(settings)}
}

// Start connects the agent and starts its goroutines. It is to be called before the transport listens and before the
// dispatch loop runs.
func (a *Agent) Start() {
	a.closeOtherZones()
	a.node.OnPlan = a.handlePlan
	a.node.OnPlanConfirmed = func(now float64, number uint64, at float64) {
		a.step(now, &locality.Event{Kind: locality.PlanConfirmed, Number: number, RequestedAt: at})
	}
	a.transport.LocalityDatagram = a.receiveDatagram
	go a.runReachUpdates()
	go a.runTicks()
}

// closeOtherZones has the scheduler keep to the own zone until the monitor sets limits. The event precedes the first
// endpoint list in the loop's queue.
func (a *Agent) closeOtherZones() {
	a.loop.Put(dispatch.QueueItem{
		Event: scheduler.Event{Kind: scheduler.ReachabilityChanged, OwnZone: a.Monitor.Zone()},
	})
}

// Close stops the agent's goroutines and does not wait for them. It may be called once.
func (a *Agent) Close() { close(a.stop) }

// runTicks calls tick on the transport's goroutine at regular intervals.
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

// runReachUpdates passes the latest limits of the remote zones to the scheduler.
func (a *Agent) runReachUpdates() {
	for {
		select {
		case <-a.reachChanged:
			update := a.latestReach.Load()
			a.loop.Put(dispatch.QueueItem{Event: scheduler.Event{
				Kind:        scheduler.ReachabilityChanged,
				OwnZone:     update.ownZone,
				RemoteZones: update.reaches,
			}})
			// The call is queued behind the event: when it runs, the scheduler has applied the limits.
			a.loop.Put(dispatch.QueueItem{Call: func(float64) { a.collector.appliedVersion = update.version }})
		case <-a.stop:
			return
		}
	}
}

// Counters returns the counters for the log. It may be called from any goroutine.
func (a *Agent) Counters() logrus.Fields {
	var counts locality.Counts
	if latest := a.latestCounts.Load(); latest != nil {
		counts = *latest
	}
	var plan locality.Plan
	if logged := a.loggedPlan.Load(); logged != nil {
		plan = *logged
	}
	fields := logrus.Fields{"plan": plan.Number, "reports_sent": counts.ReportsSent,
		"reports_received": counts.ReportsReceived, "stale": counts.Stale, "malformed": counts.Malformed,
		"proposed": counts.Proposed, "plans": counts.Plans, "bytes": counts.ReportBytesSent, "lent": counts.Lent,
		"borrowed": counts.Borrowed}
	for _, zone := range plan.Zones {
		fields["zone."+zone.Name] = zone.State.String()
	}
	return fields
}

// tick passes the time and, every membersIntervalMS, the membership view to the monitor.
func (a *Agent) tick(now float64) {
	if now >= a.membersReadAt+membersIntervalMS {
		a.membersReadAt = now
		leader := a.node.Leader(now)
		a.step(now, &locality.Event{Kind: locality.MembersChanged, Members: a.members(), Leader: leader,
			Leads: leader == a.name && a.node.LeaseHeld()})
	}
	a.step(now, &locality.Event{Kind: locality.Ticked, UnixMS: time.Now().UnixMilli()})
	counts := a.Monitor.Counts
	a.latestCounts.Store(&counts)
}

// members returns the members of the membership view in the monitor's terms.
func (a *Agent) members() (members []locality.Member) {
	for _, m := range a.view.Members() {
		members = append(members, locality.Member{Name: m.Name, Zone: m.Zone, Region: m.Region, Live: m.State.IsLive()})
	}
	return members
}

// handlePlan passes the plan and the orders that the consensus group has agreed on to the monitor. What cannot be
// decoded was written by a later version of the software: such an order is skipped, and such a plan is ignored
// together with the orders.
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

// logZoneChanges logs, once for each plan, the zones whose state or stage differs from the previous plan.
func (a *Agent) logZoneChanges() {
	plan := a.Monitor.Plan()
	previous := a.loggedPlan.Load()
	if previous != nil && previous.Number == plan.Number {
		return
	}
	logged := *plan
	a.loggedPlan.Store(&logged)
	for _, zone := range plan.Zones {
		before := previousZone(previous, zone.Name)
		if zone.State == before.State && zone.Stage == before.Stage {
			continue
		}
		a.log.WithFields(logrus.Fields{"zone": zone.Name, "from": before.State.String(), "to": zone.State.String(),
			"stage": zone.Stage, "plan": plan.Number, "reason": zone.Reason}).Warn("locality: zone changed state")
	}
}

// previousZone returns a zone of the previous plan. A zone that was not in it, or any zone if there was no previous
// plan, counts as healthy.
func previousZone(previous *locality.Plan, name string) locality.Zone {
	if previous != nil {
		for _, zone := range previous.Zones {
			if zone.Name == name {
				return zone
			}
		}
	}
	return locality.Zone{State: locality.Healthy}
}

// SubmitOrder proposes an operator's order to the consensus group, or the revocation of the order for its zone. It
// does not wait for the agreement.
func (a *Agent) SubmitOrder(order locality.Order, revoke bool) error {
	var data []byte
	if !revoke {
		encoded, err := json.Marshal(order)
		if err != nil {
			return fmt.Errorf("encoding the order for zone %q: %w", order.Zone, err)
		}
		data = encoded
	}
	a.node.Propose(consensus.OrderProposal(zoneOrderPrefix+order.Zone, data))
	return nil
}
