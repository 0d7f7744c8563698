package locality

import (
	"maps"
	"math"
	"slices"

	"liftshift/scheduler"
)

// staleOrderWindowMS is the time after the start during which orders that arrive may have been in force for long
// already.
const staleOrderWindowMS = 2000

// Monitor is one controller's locality state machine. It reports observations, computes plans while this controller
// leads the consensus group, and limits the scheduler to this controller's shares. It is not safe for concurrent use.
type Monitor struct {
	name, zone, region string
	settings           Settings
	now                float64
	startedAt          float64
	unixMS             int64
	effects            []Effect

	// Observations.
	ownReport       Report
	ownReportAt     float64
	executors       []Executor
	listUnavailable bool
	members         []Member
	zoneMembers     []string                   // live members of this controller's zone, sorted
	childReports    map[string]*receivedReport // by member whose reports this controller aggregates
	zoneReports     map[string]*receivedReport // on the leader, by zone
	reportSequence  uint64
	reportSentAt    float64

	// Leadership.
	leader         string
	leads          bool
	wasLeading     bool // at the previous tick
	planner        planner
	nextPlanAt     float64
	proposedNumber uint64 // of the plan that was proposed last
	proposedAt     float64

	// The latest agreed plan that this controller knows.
	plan                Plan
	orders              []Order
	orderUntil          map[Order]float64 // end of each order with a SpanMS, in the time of Step
	sharesConfirmedAt   float64           // latest time at which a confirmation of the shares was requested
	confirmedPlanNumber uint64            // of the plan that was confirmed last, which may be later than plan
	confirmedPlanAt     float64           // when its confirmation was requested
	announcedAt         float64
	fetchedAt           float64
	latestPlanNumber    uint64 // highest number of a plan that was announced or confirmed

	// The limits that the scheduler has.
	reaches        []scheduler.ZoneReach
	reachOwnZone   string // as passed along with them
	reachVersion   uint64
	ownZoneUnknown bool // no executor was ever listed in this controller's zone
	loans          loanState

	// Counts holds the counters since the start.
	Counts Counts
}

// Counts holds the counters of a Monitor.
type Counts struct {
	Lent            uint64 // loans to other controllers
	Borrowed        uint64 // loans from other controllers
	ReportsSent     uint64
	ReportsReceived uint64 // without malformed ones, with stale ones
	Stale           uint64 // reports that were duplicate, out of date or not for this controller
	Malformed       uint64 // reports that could not be decoded or were implausible
	Proposed        uint64 // plans that this controller proposed
	Plans           uint64 // agreed plans that this controller adopted
	ReportBytesSent uint64 // size of the reports sent
}

// New returns the monitor of the controller with the given name, zone and region.
func New(name, zone, region string, settings Settings) *Monitor {
	return &Monitor{
		name:              name,
		zone:              zone,
		region:            region,
		settings:          settings,
		childReports:      map[string]*receivedReport{},
		zoneReports:       map[string]*receivedReport{},
		loans:             newLoanState(),
		orderUntil:        map[Order]float64{},
		sharesConfirmedAt: math.Inf(-1),
	}
}

func (m *Monitor) emit(e Effect) { m.effects = append(m.effects, e) }

// Zone returns the zone of this controller.
func (m *Monitor) Zone() string { return m.zone }

// Plan returns the latest agreed plan that this controller knows.
func (m *Monitor) Plan() *Plan { return &m.plan }

// Explanations returns the reasons for the plan that this controller computed last, a line each. They are for
// operators.
func (m *Monitor) Explanations() []string { return m.planner.explanations }

// Orders returns the agreed orders, including those that have ended.
func (m *Monitor) Orders() []Order { return m.orders }

// Reaches returns the limits that were passed to the scheduler last.
func (m *Monitor) Reaches() []scheduler.ZoneReach { return m.reaches }

// Step handles an event and returns its effects. The time now is in milliseconds and must be from a monotonic clock.
// The slice is valid until the next call.
func (m *Monitor) Step(now float64, ev *Event) []Effect {
	m.effects = m.effects[:0]
	m.now = max(m.now, now)
	if m.startedAt == 0 {
		m.startedAt = now
	}
	switch ev.Kind {
	case Observed:
		m.observe(ev)
		m.expireLoans()
		m.reviewLoans(ev)
	case LoanRequested:
		m.expireLoans()
		m.handleLoanRequest(ev)
	case LoanGranted:
		m.expireLoans()
		m.handleLoan(ev)
	case MembersChanged:
		m.handleMembers(ev)
	case ReportReceived:
		m.handleReport(ev)
	case PlanAgreed:
		m.handlePlan(ev)
	case PlanConfirmed:
		m.handleConfirmation(ev)
	case PlanAnnounced:
		m.handleAnnouncement(ev)
	case Ticked:
		m.unixMS = ev.UnixMS
		m.expireLoans()
		m.sendReport()
		m.proposePlan()
		m.announcePlan(false)
		m.fetchPlan(m.latestPlanNumber)
		m.updateReach()
	}
	m.Counts.Lent = m.loans.lentCount
	m.Counts.Borrowed = m.loans.borrowedCount
	return m.effects
}

// handlePlan adopts the agreed plan, unless it is older than the known one, and the agreed orders.
func (m *Monitor) handlePlan(ev *Event) {
	if ev.Plan != nil && ev.Plan.Number >= m.plan.Number {
		if ev.Plan.Number > m.plan.Number {
			m.Counts.Plans++
		}
		m.plan = *ev.Plan
	}
	m.orders = ev.Orders
	m.setOrderExpiry(ev.Orders)
	if m.plan.Number >= m.confirmedPlanNumber {
		m.sharesConfirmedAt = max(m.sharesConfirmedAt, m.confirmedPlanAt)
	}
	m.announcePlan(true)
	m.updateReach()
}

// handleConfirmation renews the lease of this controller's shares if this controller knows the confirmed plan, and
// fetches that plan otherwise. A share that a later plan revokes is granted to another controller only a lease duration
// after that plan, and the confirmation was requested before that plan. So the lease counts from the request.
func (m *Monitor) handleConfirmation(ev *Event) {
	m.confirmedPlanNumber = ev.Number
	m.confirmedPlanAt = ev.RequestedAt
	if ev.Number <= m.plan.Number {
		m.sharesConfirmedAt = max(m.sharesConfirmedAt, ev.RequestedAt)
	} else {
		m.fetchPlan(ev.Number)
	}
}

// handleAnnouncement fetches an announced plan. Announcements count only from the member that aggregates the reports of
// this controller, or from the leader if there is no such member.
func (m *Monitor) handleAnnouncement(ev *Event) {
	parent := m.parentOf(m.name)
	if ev.From == parent || parent == "" && ev.From == m.leader {
		m.fetchPlan(ev.Number)
	}
}

// setOrderExpiry sets when orders with a SpanMS end: that long after they become known to this controller. Orders that
// become known soon after the start may be older, so their end by the wall clock applies if it is earlier. The wall
// clock is the only evidence of their age, and never extends an order.
func (m *Monitor) setOrderExpiry(orders []Order) {
	maps.DeleteFunc(m.orderUntil, func(o Order, _ float64) bool { return !slices.Contains(orders, o) })
	for _, o := range orders {
		if _, known := m.orderUntil[o]; known || o.SpanMS <= 0 {
			continue
		}
		left := o.SpanMS
		if m.now < m.startedAt+staleOrderWindowMS {
			left = min(left, max(0, float64(o.Until-m.unixMS)))
		}
		m.orderUntil[o] = m.now + left
	}
}

// ordersInForce returns the orders that are in force now.
func (m *Monitor) ordersInForce() (list []Order) {
	for _, o := range m.orders {
		until, hasSpan := m.orderUntil[o]
		inForce := o.Until == 0 || m.unixMS < o.Until
		if hasSpan {
			inForce = m.now < until
		}
		if inForce {
			list = append(list, o)
		}
	}
	return list
}

// handleMembers adopts the membership view and the leader, and drops the reports of members that now report to others.
func (m *Monitor) handleMembers(ev *Event) {
	m.members = ev.Members
	m.leader = ev.Leader
	m.leads = ev.Leads
	m.zoneMembers = m.zoneMembers[:0]
	for _, member := range ev.Members {
		if member.Live && member.Zone == m.zone {
			m.zoneMembers = append(m.zoneMembers, member.Name)
		}
	}
	slices.Sort(m.zoneMembers)
	for name := range m.childReports {
		if m.parentOf(name) != m.name {
			delete(m.childReports, name)
		}
	}
}

// announcePlan announces the plan to the members whose reports this controller aggregates and, on the leader, to the
// first member of each zone. Unless immediately is set, it does so at intervals.
func (m *Monitor) announcePlan(immediately bool) {
	if m.plan.Number == 0 || !immediately && m.now < m.announcedAt+2*reportIntervalMS {
		return
	}
	m.announcedAt = m.now
	for k, name := range m.zoneMembers {
		if k > 0 && m.zoneMembers[parentIndex(k)] == m.name {
			m.emit(Effect{Kind: AnnouncePlan, To: name, Number: m.plan.Number})
		}
	}
	if !m.leads {
		return
	}
	firstOfZone := map[string]string{}
	for _, member := range m.members {
		first := firstOfZone[member.Zone]
		if member.Live && (first == "" || member.Name < first) {
			firstOfZone[member.Zone] = member.Name
		}
	}
	for _, name := range slices.Sorted(maps.Values(firstOfZone)) { // sorted, so that the order of effects is deterministic
		if name != m.name {
			m.emit(Effect{Kind: AnnouncePlan, To: name, Number: m.plan.Number})
		}
	}
}

// fetchPlan fetches the latest plan if this controller does not know it, and retries at intervals until it arrives.
func (m *Monitor) fetchPlan(number uint64) {
	m.latestPlanNumber = max(m.latestPlanNumber, number)
	if m.latestPlanNumber > m.plan.Number && m.now >= m.fetchedAt+reportIntervalMS {
		m.fetchedAt = m.now
		m.emit(Effect{Kind: FetchPlan, Number: m.latestPlanNumber})
	}
}
