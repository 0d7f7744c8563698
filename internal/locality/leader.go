package locality

import "slices"

// planIntervalMS is the interval at which the leader reviews the plan.
const planIntervalMS = 250

// proposePlan computes the next plan and proposes it to the consensus group if this controller leads and a plan is due.
func (m *Monitor) proposePlan() {
	if !m.leads {
		m.wasLeading = false
		clear(m.zoneReports)
		return
	}
	if !m.wasLeading {
		m.wasLeading = true
		m.nextPlanAt = m.now + 2*reportIntervalMS // reports arrive first
		m.planner.start(m.now, &m.plan, &m.settings)
	}
	isPending := m.proposedNumber > m.plan.Number && m.now < m.proposedAt+reportTimeoutMS
	if m.now < m.nextPlanAt || isPending {
		return
	}
	m.nextPlanAt = m.now + planIntervalMS
	in := m.planInput()
	if !m.listUnavailable {
		in.addExecutors(m.executors)
	}
	plan, changed := m.planner.nextPlan(&m.plan, in)
	if !changed {
		return
	}
	m.proposedNumber = plan.Number
	m.proposedAt = m.now
	m.Counts.Proposed++
	m.emit(Effect{Kind: ProposePlan, Plan: &plan})
}

// planInput returns the input of a plan without the endpoint list.
func (m *Monitor) planInput() *planInput {
	return &planInput{
		now:      m.now,
		reports:  m.Reports(),
		members:  m.members,
		orders:   m.ordersInForce(),
		settings: &m.settings,
	}
}

// addExecutors adds the cores and kinds of the listed executors by zone.
func (in *planInput) addExecutors(executors []Executor) {
	in.cores = map[string]float64{}
	in.kinds = map[string][]string{}
	for k := range executors {
		executor := &executors[k]
		if !executor.Listed {
			continue
		}
		zone := executor.Zone
		in.cores[zone] += executor.Cores
		if !slices.Contains(in.kinds[zone], executor.Kind) {
			in.kinds[zone] = append(in.kinds[zone], executor.Kind)
			slices.Sort(in.kinds[zone])
		}
	}
}
