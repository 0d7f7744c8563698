package locality

import "slices"

// planMS is the time between two reviews of the plan.
const planMS = 250

// lead makes the next plan if this controller leads.
func (m *Monitor) lead() {
	if !m.leads {
		m.wasLeading = false
		clear(m.zoneReports)
		return
	}
	if !m.wasLeading {
		m.wasLeading = true
		m.planAt = m.now + 2*reportMS // until reports have arrived
		m.planner.start(m.now, &m.plan, &m.settings)
	}
	isPending := m.proposed > m.plan.Number && m.now < m.proposedAt+reportTimeoutMS
	if m.now < m.planAt || isPending {
		return
	}
	m.planAt = m.now + planMS
	in := m.planInput()
	if !m.listUnavailable {
		in.addExecutors(m.executors)
	}
	plan, changed := m.planner.next(&m.plan, in)
	if !changed {
		return
	}
	m.proposed = plan.Number
	m.proposedAt = m.now
	m.Counts.Proposed++
	m.emit(Effect{Kind: ProposePlan, Plan: &plan})
}

func (m *Monitor) planInput() *planInput {
	return &planInput{now: m.now, reports: m.Reports(), members: m.members, orders: m.ordersInForce(), settings: &m.settings}
}

// addExecutors sums up the cores and kinds of the endpoint list.
func (in *planInput) addExecutors(executors []Executor) {
	in.cores = map[string]float64{}
	in.kinds = map[string][]string{}
	for k := range executors {
		x := &executors[k]
		if !x.Listed {
			continue
		}
		in.cores[x.Zone] += x.Cores
		if !slices.Contains(in.kinds[x.Zone], x.Kind) {
			in.kinds[x.Zone] = append(in.kinds[x.Zone], x.Kind)
			slices.Sort(in.kinds[x.Zone])
		}
	}
}
