package locality

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
)

const (
	reportMS        = 250  // between two reports
	reportTimeoutMS = 1200 // after which a report does not count any more
	reportFanIn     = 8    // members whose reports one member aggregates, at most
	maxNameBytes    = 64
)

// reportMessage is a report on the wire.
type reportMessage struct {
	Sequence uint64 `json:"N"`
	Report   Report `json:"Report"`
}

// receivedReport is the latest report of a member or zone.
type receivedReport struct {
	receivedAt float64
	sequence   uint64
	report     Report
	from       string
}

func (r *receivedReport) isFresh(now float64) bool { return now <= r.receivedAt+reportTimeoutMS }

// coresSeen sums the cores of a zone's executors.
type coresSeen struct{ known, reachable float64 }

// observe makes this controller's own report.
func (m *Monitor) observe(ev *Event) {
	m.executors = ev.Executors
	m.listUnavailable = ev.WithoutList
	m.ownReportAt = m.now
	m.ownReport = Report{Zone: m.zone, Observers: 1, DemandThreads: ev.DemandThreads}
	if ev.WithoutList {
		m.ownReport.WithoutList = 1
	}
	cores := map[string]*coresSeen{}
	inFlight := map[string]float64{}
	var zones []string
	for k := range ev.Executors {
		x := &ev.Executors[k]
		c := cores[x.Zone]
		if c == nil {
			c = &coresSeen{}
			cores[x.Zone] = c
			zones = append(zones, x.Zone)
		}
		inFlight[x.Zone] += x.InFlight
		if !x.Known || !x.Listed { // one that is draining is no evidence
			continue
		}
		c.known += x.Cores
		if !x.Ejected {
			c.reachable += x.Cores
		}
	}
	slices.Sort(zones)
	for _, zone := range zones[:min(len(zones), maxZones)] {
		m.ownReport.Observations = append(m.ownReport.Observations, cores[zone].observation(zone, inFlight[zone]))
	}
}

// observation returns the verdict on a zone; without evidence there is none.
func (c *coresSeen) observation(zone string, inFlight float64) Observation {
	o := Observation{Zone: zone, InFlight: inFlight}
	switch {
	case c.known == 0:
	case c.reachable < unreachableShare*c.known:
		o.Unreachable = 1
	case c.reachable < degradedShare*c.known:
		o.Degraded = 1
	default:
		o.Healthy = 1
	}
	return o
}

// parentOf returns the member that aggregates another's reports, in a tree of the members of the zone sorted by name; "" for the first.
func (m *Monitor) parentOf(name string) string {
	k, found := slices.BinarySearch(m.zoneMembers, name)
	if !found || k == 0 {
		return ""
	}
	return m.zoneMembers[parentIndex(k)]
}

func parentIndex(k int) int { return (k - 1) / reportFanIn }

// sendReport aggregates the reports that are known here and sends the sum: to this member's parent, or from the first member of the zone
// to the leader.
func (m *Monitor) sendReport() {
	if m.now < m.reportSentAt+reportMS || m.ownReportAt == 0 {
		return
	}
	m.reportSentAt = m.now
	sum := Report{Zone: m.zone}
	if m.now < m.ownReportAt+reportTimeoutMS {
		sum.add(&m.ownReport)
	}
	for _, name := range slices.Sorted(maps.Keys(m.childReports)) { // sums of floats do not depend on the order of a map
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
	m.Counts.Bytes += uint64(len(data))
	m.emit(Effect{Kind: SendReport, To: to, Data: data})
}

// add adds another report to this one.
func (r *Report) add(other *Report) {
	r.Observers += other.Observers
	r.WithoutList += other.WithoutList
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

// isPlausible reports whether a report can be used: it has no more observers than there are members, and no impossible figures.
func (m *Monitor) isPlausible(r *Report) bool {
	if r.Observers < 0 || r.Observers > len(m.members) || r.WithoutList < 0 || r.WithoutList > r.Observers {
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

func (o *Observation) isPlausible(observers int) bool {
	if o.Healthy < 0 || o.Degraded < 0 || o.Unreachable < 0 || o.verdicts() > observers {
		return false
	}
	return o.InFlight >= 0 && len(o.Zone) <= maxNameBytes
}

// handleReport keeps a report: of a member whose reports this one aggregates or, on the leader, of a zone.
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
	if old := reports[key]; old != nil && old.supersedes(ev.From, msg.Sequence, m.now) {
		m.Counts.Stale++
		return
	}
	reports[key] = &receivedReport{m.now, msg.Sequence, msg.Report, ev.From}
}

// supersedes reports whether a further report is a duplicate or older. A sender that was silent for long may have restarted.
func (r *receivedReport) supersedes(from string, sequence uint64, now float64) bool {
	return r.from == from && sequence <= r.sequence && now < r.receivedAt+reportTimeoutMS
}

// Reports returns the zones' reports that count now if this controller leads.
func (m *Monitor) Reports() map[string]Report {
	list := map[string]Report{}
	for zone, r := range m.zoneReports {
		if r.isFresh(m.now) {
			list[zone] = r.report
		}
	}
	return list
}
