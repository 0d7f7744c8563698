package locality

import (
	"maps"
	"math"
	"slices"

	"liftshift/scheduler"
)

// orderGraceMS is the time from the start within which an order that is learned of may be an old one.
const orderGraceMS = 2000

// Monitor is one controller's part in planning. It is not safe for concurrent use.
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
	zoneMembers     []string // live members of this controller's zone, sorted
	childReports    map[string]*receivedReport
	zoneReports     map[string]*receivedReport // on the leader, by zone
	reportSequence  uint64
	reportSentAt    float64

	// Leadership.
	leader     string
	leads      bool
	wasLeading bool // at the last tick
	planner    planner
	planAt     float64
	proposed   uint64 // number of the last plan that was proposed
	proposedAt float64

	// The agreed plan.
	plan            Plan
	orders          []Order
	orderUntil      map[Order]float64 // of orders with a span
	confirmedAt     float64           // when the plan's shares were last confirmed
	confirmedNumber uint64            // of a later plan than is known here
	confirmedPlanAt float64           // when that one was confirmed
	announcedAt     float64
	fetchedAt       float64
	latestNumber    uint64 // of all plans that were announced

	// What the scheduler may use.
	reaches      []scheduler.ZoneReach
	reachVersion uint64
	zoneUnknown  bool // no executor is in this controller's zone
	loans        loanBook

	// Counts are the counters since the start.
	Counts Counts
}

// Counts are the counters of a Monitor.
type Counts struct{ Lent, Borrowed, ReportsSent, ReportsReceived, Stale, Malformed, Proposed, Plans, Bytes uint64 }

// New returns the monitor of a controller.
func New(name, zone, region string, settings Settings) *Monitor {
	return &Monitor{name: name, zone: zone, region: region, settings: settings, childReports: map[string]*receivedReport{},
		zoneReports: map[string]*receivedReport{}, loans: newLoanBook(), orderUntil: map[Order]float64{}, confirmedAt: math.Inf(-1)}
}

func (m *Monitor) emit(e Effect) { m.effects = append(m.effects, e) }

// Plan returns the agreed plan as far as it is known here.
func (m *Monitor) Plan() *Plan { return &m.plan }

// Explanations returns the reasons for the latest plan if this controller leads.
func (m *Monitor) Explanations() []string { return m.planner.explanations }

// Orders returns the agreed orders.
func (m *Monitor) Orders() []Order { return m.orders }

// Reaches returns what was passed to the scheduler last.
func (m *Monitor) Reaches() []scheduler.ZoneReach { return m.reaches }

// Step handles an event at the caller's time in milliseconds and returns the effects. The slice is valid until the next call.
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
		m.lead()
		m.announcePlan(false)
		m.fetchPlan(m.latestNumber)
		m.updateReach()
	}
	m.Counts.Lent = m.loans.lentCount
	m.Counts.Borrowed = m.loans.borrowedCount
	return m.effects
}

// handlePlan takes what the group has agreed on.
func (m *Monitor) handlePlan(ev *Event) {
	if ev.Plan != nil && ev.Plan.Number >= m.plan.Number {
		if ev.Plan.Number > m.plan.Number {
			m.Counts.Plans++
		}
		m.plan = *ev.Plan
	}
	m.orders = ev.Orders
	m.timeOrders(ev.Orders)
	if m.plan.Number >= m.confirmedNumber {
		m.confirmedAt = max(m.confirmedAt, m.confirmedPlanAt)
	}
	m.announcePlan(true)
	m.updateReach()
}

// handleConfirmation takes that a plan was in force at a time. A share is granted to another controller only so long after a later plan is
// in force, and that one is later than what was in force here.
func (m *Monitor) handleConfirmation(ev *Event) {
	m.confirmedNumber = ev.PlanNumber
	m.confirmedPlanAt = ev.At
	if ev.PlanNumber <= m.plan.Number {
		m.confirmedAt = max(m.confirmedAt, ev.At)
	} else {
		m.fetchPlan(ev.PlanNumber)
	}
}

// handleAnnouncement takes that a plan exists, from the member that aggregates this one's reports or from the leader.
func (m *Monitor) handleAnnouncement(ev *Event) {
	parent := m.parentOf(m.name)
	if ev.From == parent || parent == "" && ev.From == m.leader {
		m.fetchPlan(ev.PlanNumber)
	}
}

// timeOrders notes until when orders with a span are in force: for their span from when they are learned of. Soon after the start they may
// be old, and the wall clock is the only evidence; it may shorten them and never extends them.
func (m *Monitor) timeOrders(orders []Order) {
	maps.DeleteFunc(m.orderUntil, func(o Order, _ float64) bool { return !slices.Contains(orders, o) })
	for _, o := range orders {
		if _, known := m.orderUntil[o]; known || o.SpanMS <= 0 {
			continue
		}
		left := o.SpanMS
		if m.now < m.startedAt+orderGraceMS {
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

// handleMembers takes the membership view.
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

// announcePlan announces the plan to the members whose reports this one aggregates and, on the leader, to the first member of each zone.
func (m *Monitor) announcePlan(atOnce bool) {
	if m.plan.Number == 0 || !atOnce && m.now < m.announcedAt+2*reportMS {
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
	for _, name := range slices.Sorted(maps.Values(firstOfZone)) { // effects do not depend on the order of a map
		if name != m.name {
			m.emit(Effect{Kind: AnnouncePlan, To: name, Number: m.plan.Number})
		}
	}
}

// fetchPlan fetches a plan that is not known here; again after a while if it does not arrive.
func (m *Monitor) fetchPlan(number uint64) {
	m.latestNumber = max(m.latestNumber, number)
	if m.latestNumber > m.plan.Number && m.now >= m.fetchedAt+reportMS {
		m.fetchedAt = m.now
		m.emit(Effect{Kind: FetchPlan, Number: m.latestNumber})
	}
}
