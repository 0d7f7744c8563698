package assembly

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/ledger"
	"liftshift/internal/quota"
	"liftshift/internal/waitestimate"
)

// limitNote stands before the name of a team in the operator note that keeps its limits.
const limitNote = "limit "

// limits are those of a team as they are stored.
type limits struct {
	Weight   float64   `json:"Weight"`
	Ceiling  float64   `json:"Ceiling"`
	Threads  float64   `json:"Threads"`
	MemoryMB float64   `json:"MemoryMB"`
	Requests int       `json:"Searches"`
	Queue    int       `json:"Queue"`
	At       time.Time `json:"At"`
}

// reply returns how all teams stand.
func (m *quotaManager) reply() adminapi.QuotasReply {
	c := m.tree.Counts()
	reply := adminapi.QuotasReply{Share: m.share, Offered: c.Offered, Aged: c.Aged, Capped: c.Capped, Uncapped: c.Uncapped,
		Overdue: c.Overdue, Overflow: c.Overflow, Unknown: c.Unknown, Queued: c.Queued, LongestMS: c.LongestMS}
	for _, s := range m.tree.Statuses() {
		reply.Teams = append(reply.Teams, adminapi.Team{Name: s.Team.Name, Parent: s.Team.Parent, Weight: s.Team.Weight,
			Queued: s.Queued, InFlight: s.InFlight, Threads: s.Threads, FairShare: s.FairShare, MemoryMB: s.MemoryMB,
			WorkMS: math.Round(s.WorkMS), Blocked: s.Blocked, OldestMS: s.OldestMS, BoundMS: s.MaxWaitMS, Borrows: s.Borrows,
			Lends: s.Lends, Capped: s.Capped, Ceiling: s.Team.Ceiling, MaxInFlight: s.Team.MaxInFlight})
	}
	return reply
}

// waitsReply returns how well the estimates told to clients held.
func (m *quotaManager) waitsReply() adminapi.WaitsReply {
	list := m.estimator.Accuracy()
	slices.SortFunc(list, func(a, b waitestimate.Accuracy) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class))
	})
	var reply adminapi.WaitsReply
	for _, a := range list {
		reply.Waits = append(reply.Waits, adminapi.WaitAccuracy{Team: a.Team, Class: a.Class, Starts: a.Starts,
			StartsWithin: a.StartsWithin, Ends: a.Ends, EndsWithin: a.EndsWithin})
	}
	return reply
}

// explain says why a request waits.
func (m *quotaManager) explain(id string) (adminapi.QueueExplainReply, error) {
	reason := m.tree.Explain(id)
	if reason == "" {
		return adminapi.QueueExplainReply{}, adminapi.RequestErrorf("no request %q waits here", id)
	}
	return adminapi.QueueExplainReply{Reason: reason}, nil
}

// team returns a copy of the team of a name.
func (m *quotaManager) team(name string) (quota.Team, bool) {
	teams := m.tree.Teams()
	k := slices.IndexFunc(teams, func(t quota.Team) bool { return t.Name == name })
	if k < 0 {
		return quota.Team{}, false
	}
	return teams[k], true
}

// setQuota changes limits of a team, and has that last where there is a store.
func (x *Extensions) setQuota(now float64, request adminapi.SetQuotaRequest) (adminapi.SetQuotaReply, error) {
	team, known := x.quotas.team(request.Team)
	if !known {
		return adminapi.SetQuotaReply{}, adminapi.RequestErrorf("there is no team %q", request.Team)
	}
	if err := applyLimits(&team, &request); err != nil {
		return adminapi.SetQuotaReply{}, err
	}
	x.quotas.setLimits(x.loop, now, team)
	x.log.WithField("team", team.Name).WithField("author", request.Author).Warn("quotas: a team's limits were changed")
	if x.store == nil {
		return adminapi.SetQuotaReply{}, nil
	}
	text, err := json.Marshal(limits{team.Weight, team.Ceiling, team.Threads, team.MemoryMB, team.MaxInFlight, team.MaxQueued, time.Now().UTC()})
	if err != nil {
		return adminapi.SetQuotaReply{}, err
	}
	x.store.Step(now, &ledger.Event{Kind: ledger.OperatorNoteSet, ID: limitNote + team.Name, IdempotencyKey: request.Author, Body: text})
	return adminapi.SetQuotaReply{Lasts: true}, nil
}

// applyLimits sets those limits of a team that a request names.
func applyLimits(team *quota.Team, request *adminapi.SetQuotaRequest) error {
	for _, f := range []struct {
		name     string
		value    *float64
		min, max float64
		set      func(float64)
	}{
		{"weight", request.Weight, 1e-3, 1e6, func(v float64) { team.Weight = v }},
		{"ceiling", request.Ceiling, 0.001, 1, func(v float64) { team.Ceiling = v }},
		{"threads", request.Threads, 0, 1e6, func(v float64) { team.Threads = v }},
		{"memory_mb", request.MemoryMB, 0, 1e9, func(v float64) { team.MemoryMB = v }},
		{"searches", request.Requests, 0, 1e6, func(v float64) { team.MaxInFlight = int(v) }},
		{"queue", request.Queue, 0, 1e7, func(v float64) { team.MaxQueued = int(v) }},
	} {
		if f.value == nil {
			continue
		}
		if inRange := *f.value >= f.min && *f.value <= f.max; !inRange { // NaN is in no range
			return adminapi.RequestErrorf("%s must be from %g to %g", f.name, f.min, f.max)
		}
		f.set(*f.value)
	}
	return nil
}

// restoreLimits takes over limits that were set before the start. A team that is no more is left out, and logged.
func (x *Extensions) restoreLimits() {
	if x.quotas == nil {
		return
	}
	for _, note := range x.store.OperatorNotes() {
		name, ok := strings.CutPrefix(note.ID, limitNote)
		var l limits
		if !ok || json.Unmarshal(note.Body, &l) != nil {
			continue
		}
		log := x.log.WithField("team", name).WithField("author", note.Text).WithField("at", l.At.Format(time.RFC3339))
		team, known := x.quotas.team(name)
		if !known {
			log.Warn("quotas: limits were set for a team that is no more")
			continue
		}
		team.Weight, team.Ceiling = l.Weight, l.Ceiling
		team.Threads, team.MemoryMB = l.Threads, l.MemoryMB
		team.MaxInFlight, team.MaxQueued = l.Requests, l.Queue
		x.quotas.setLimits(x.loop, 0, team)
		log.Info("quotas: limits set at run time hold")
	}
}
