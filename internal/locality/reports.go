package locality

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
)

const (
	reportIntervalMS = 250  // interval at which a controller sends reports
	reportTimeoutMS  = 1200 // age after which a report is ignored
	reportFanIn      = 8    // maximum number of members whose reports one member aggregates
	maxNameBytes     = 64
)

// reportMessage is the wire format of a report.
type reportMessage struct {
	Sequence uint64 `json:"N"`
	Report   Report `json:"Report"`
}

// receivedReport is the latest report of a member or of a zone.
type receivedReport struct {
	receivedAt float64
	sequence   uint64
	report     Report
	from       string
}

// isFresh reports whether the report has not timed out.
func (r *receivedReport) isFresh(now float64) bool { return now <= r.receivedAt+reportTimeoutMS }

// observedCores sums the cores of a zone's executors of which there is evidence.
type observedCores struct{ known, reachable float64 }

// observe updates this controller's own report.
func (m *Monitor) observe(ev *Event) {
	m.executors = ev.Executors
	m.listUnavailable = ev.ListUnavailable
	m.ownReportAt = m.now
	m.ownReport = Report{Zone: m.zone, Observers: 1, DemandThreads: ev.DemandThreads}
	if ev.ListUnavailable {
		m.ownReport.ObserversWithoutList = 1
	}
	cores := map[string]*observedCores{}
	inFlight := map[string]float64{}
	var zones []string
	for k := range ev.Executors {
		executor := &ev.Executors[k]
		zone := executor.Zone
		zoneCores := cores[zone]
		if zoneCores == nil {
			zoneCores = &observedCores{}
			cores[zone] = zoneCores
			zones = append(zones, zone)
		}
		inFlight[zone] += executor.InFlight
		if !executor.HasEvidence || !executor.Listed { // a draining executor says nothing about its zone
			continue
		}
		zoneCores.known += executor.Cores
		if !executor.Ejected {
			zoneCores.reachable += executor.Cores
		}
	}
	slices.Sort(zones)
	for _, zone := range zones[:min(len(zones), maxZones)] {
		m.ownReport.Observations = append(m.ownReport.Observations, cores[zone].observation(zone, inFlight[zone]))
	}
}

// observation returns an observation with one verdict, or with none if there is no evidence of any executor.
func (c *observedCores) observation(zone string, inFlight float64) Observation {
	o := Observation{Zone: zone, InFlight: inFlight}
	switch {
	case c.known == 0: // no verdict
	case c.reachable < unreachableFraction*c.known:
		o.Unreachable = 1
	case c.reachable < degradedFraction*c.known:
		o.Degraded = 1
	default:
		o.Healthy = 1
	}
	return o
}

// parentOf returns the member that aggregates the reports of the named member. It returns "" for the first member of
// this controller's zone and for members that are not live in this zone. The members of a zone, sorted by name, form a
// tree with reportFanIn children for each member.
func (m *Monitor) parentOf(name string) string {
	k, found := slices.BinarySearch(m.zoneMembers, name)
	if !found || k == 0 {
		return ""
	}
	return m.zoneMembers[parentIndex(k)]
}

// parentIndex returns the index of a member's parent among the sorted members of the zone.
func parentIndex(k int) int { return (k - 1) / reportFanIn }

// sendReport sends the sum of this controller's own report and of the reports that it aggregates to its parent. The
// first member of a zone sends the sum to the leader.
func (m *Monitor) sendReport() {
	if m.now < m.reportSentAt+reportIntervalMS || m.ownReportAt == 0 {
		return
	}
	m.reportSentAt = m.now
	sum := Report{Zone: m.zone}
	if m.now < m.ownReportAt+reportTimeoutMS {
		sum.add(&m.ownReport)
	}
	for _, name := range slices.Sorted(maps.Keys(m.childReports)) { // sorted, so that float sums are deterministic
		r := m.childReports[name]
		if !r.isFresh(m.now) {
			delete(m.childReports, name)
			continue
		}
		sum.add(&r.report)
	}
	to := m.parentOf(m.name)
	if to == "" {
		to = m.leader
	}
	m.reportSequence++
	if to == m.name {
		m.zoneReports[m.zone] = &receivedReport{m.now, m.reportSequence, sum, m.zone}
		return
	}
	data, err := json.Marshal(reportMessage{m.reportSequence, sum})
	if to == "" || err != nil {
		return
	}
	m.Counts.ReportsSent++
	m.Counts.ReportBytesSent += uint64(len(data))
	m.emit(Effect{Kind: SendReport, To: to, Data: data})
}

// add adds the observations and the demand of another report to this one.
func (r *Report) add(other *Report) {
	r.Observers += other.Observers
	r.ObserversWithoutList += other.ObserversWithoutList
	r.DemandThreads += other.DemandThreads
	for _, o := range other.Observations {
		k := slices.IndexFunc(r.Observations, func(known Observation) bool { return known.Zone == o.Zone })
		if k >= 0 {
			r.Observations[k].addVerdicts(&o)
			r.Observations[k].InFlight += o.InFlight
		} else if len(r.Observations) < maxZones {
			r.Observations = append(r.Observations, o)
		}
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return cmp.Compare(a.Zone, b.Zone) })
}

// isPlausible reports whether a report has no more observers than there are members, and no impossible values.
func (m *Monitor) isPlausible(r *Report) bool {
	if r.Observers < 0 || r.Observers > len(m.members) {
		return false
	}
	if r.ObserversWithoutList < 0 || r.ObserversWithoutList > r.Observers {
		return false
	}
	if !(r.DemandThreads >= 0) || math.IsInf(r.DemandThreads, 0) {
		return false
	}
	if len(r.Zone) > maxNameBytes || len(r.Observations) > maxZones {
		return false
	}
	return !slices.ContainsFunc(r.Observations, func(o Observation) bool { return !o.isPlausible(r.Observers) })
}

// isPlausible reports whether an observation has no more verdicts than observers, and no impossible values.
func (o *Observation) isPlausible(observers int) bool {
	if o.Healthy < 0 || o.Degraded < 0 || o.Unreachable < 0 || o.verdicts() > observers {
		return false
	}
	return o.InFlight >= 0 && len(o.Zone) <= maxNameBytes
}

// handleReport stores a report of a member whose reports this controller aggregates or, on the leader, of a zone.
func (m *Monitor) handleReport(ev *Event) {
	var msg reportMessage
	if json.Unmarshal(ev.Data, &msg) != nil || !m.isPlausible(&msg.Report) {
		m.Counts.Malformed++
		return
	}
	m.Counts.ReportsReceived++
	reports := m.childReports
	key := ev.From
	if msg.Report.Zone != m.zone || m.parentOf(ev.From) != m.name {
		reports = m.zoneReports
		key = msg.Report.Zone
		if !m.leads || len(reports) >= maxZones && reports[key] == nil {
			m.Counts.Stale++
			return
		}
	}
	if latest := reports[key]; latest != nil && latest.supersedes(ev.From, msg.Sequence, m.now) {
		m.Counts.Stale++
		return
	}
	reports[key] = &receivedReport{m.now, msg.Sequence, msg.Report, ev.From}
}

// supersedes reports whether another report, with the given sender and sequence number, is a duplicate of this report
// or older. Once this report has timed out, its sender may have restarted and begun a new sequence.
func (r *receivedReport) supersedes(from string, sequence uint64, now float64) bool {
	return r.from == from && sequence <= r.sequence && now < r.receivedAt+reportTimeoutMS
}

// Reports returns the reports that have not timed out by zone of the observers. It is empty unless this controller
// leads.
func (m *Monitor) Reports() map[string]Report {
	reports := map[string]Report{}
	for zone, r := range m.zoneReports {
		if r.isFresh(m.now) {
			reports[zone] = r.report
		}
	}
	return reports
}
