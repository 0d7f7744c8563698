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

// limitsNotePrefix, followed by a team's name, is the id of the operator note that holds the team's limits. It is part
// of the stored format.
const limitsNotePrefix = "limit "

// storedLimits holds the limits of a team that an operator set at run time, as stored in an operator note.
type storedLimits struct {
	Weight   float64   `json:"Weight"`
	Ceiling  float64   `json:"Ceiling"`
	Threads  float64   `json:"Threads"`
	MemoryMB float64   `json:"MemoryMB"`
	Requests int       `json:"Searches"`
	Queue    int       `json:"Queue"`
	At       time.Time `json:"At"`
}

// reply describes the counters of the quotas and the state of all teams.
func (m *quotaManager) reply() adminapi.QuotasReply {
	counts := m.tree.Counts()
	reply := adminapi.QuotasReply{
		Share:     m.ceilingShare,
		Offered:   counts.Offered,
		Aged:      counts.Aged,
		Capped:    counts.Capped,
		Uncapped:  counts.Uncapped,
		Overdue:   counts.Overdue,
		Overflow:  counts.Overflow,
		Unknown:   counts.Unknown,
		Queued:    counts.Queued,
		LongestMS: counts.LongestMS,
	}
	for _, status := range m.tree.Statuses() {
		reply.Teams = append(reply.Teams, adminapi.Team{
			Name:        status.Team.Name,
			Parent:      status.Team.Parent,
			Weight:      status.Team.Weight,
			Queued:      status.Queued,
			InFlight:    status.InFlight,
			Threads:     status.Threads,
			FairShare:   status.FairShare,
			MemoryMB:    status.MemoryMB,
			WorkMS:      math.Round(status.WorkMS),
			Blocked:     status.Blocked,
			OldestMS:    status.OldestMS,
			BoundMS:     status.MaxWaitMS,
			Borrows:     status.Borrows,
			Lends:       status.Lends,
			Capped:      status.Capped,
			Ceiling:     status.Team.Ceiling,
			MaxInFlight: status.Team.MaxInFlight,
		})
	}
	return reply
}

// waitsReply describes how accurate the wait estimates were, sorted by team and request class.
func (m *quotaManager) waitsReply() adminapi.WaitsReply {
	list := m.estimator.Accuracy()
	slices.SortFunc(list, func(a, b waitestimate.Accuracy) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class))
	})
	var reply adminapi.WaitsReply
	for _, accuracy := range list {
		reply.Waits = append(reply.Waits, adminapi.WaitAccuracy{
			Team:         accuracy.Team,
			Class:        accuracy.Class,
			Starts:       accuracy.Starts,
			StartsWithin: accuracy.StartsWithin,
			Ends:         accuracy.Ends,
			EndsWithin:   accuracy.EndsWithin,
		})
	}
	return reply
}

// explain returns the reason why a request is queued. It fails if no request with that id is.
func (m *quotaManager) explain(id string) (adminapi.QueueExplainReply, error) {
	reason := m.tree.Explain(id)
	if reason == "" {
		return adminapi.QueueExplainReply{}, adminapi.RequestErrorf("no request %q waits here", id)
	}
	return adminapi.QueueExplainReply{Reason: reason}, nil
}

// findTeam returns a copy of the team with a name.
func (m *quotaManager) findTeam(name string) (team quota.Team, known bool) {
	teams := m.tree.Teams()
	i := slices.IndexFunc(teams, func(t quota.Team) bool { return t.Name == name })
	if i < 0 {
		return quota.Team{}, false
	}
	return teams[i], true
}

// setQuota changes limits of a team. If there is a store, the limits are stored and apply after a restart, too.
func (x *Extensions) setQuota(now float64, request adminapi.SetQuotaRequest) (adminapi.SetQuotaReply, error) {
	team, known := x.quotas.findTeam(request.Team)
	if !known {
		return adminapi.SetQuotaReply{}, adminapi.RequestErrorf("there is no team %q", request.Team)
	}
	if err := applyLimits(&team, &request); err != nil {
		return adminapi.SetQuotaReply{}, err
	}
	x.quotas.setLimits(x.loop, now, team)
	x.log.WithField("team", team.Name).WithField("author", request.Author).
		Warn("quotas: a team's limits were changed")
	if x.store == nil {
		return adminapi.SetQuotaReply{}, nil
	}
	text, err := json.Marshal(storedLimits{
		Weight:   team.Weight,
		Ceiling:  team.Ceiling,
		Threads:  team.Threads,
		MemoryMB: team.MemoryMB,
		Requests: team.MaxInFlight,
		Queue:    team.MaxQueued,
		At:       time.Now().UTC(),
	})
	if err != nil {
		return adminapi.SetQuotaReply{}, err
	}
	x.store.Step(now, &ledger.Event{
		Kind:           ledger.OperatorNoteSet,
		ID:             limitsNotePrefix + team.Name,
		IdempotencyKey: request.Author,
		Body:           text,
	})
	return adminapi.SetQuotaReply{Lasts: true}, nil
}

// applyLimits sets in team the limits that the request contains, up to the first one that is out of range.
func applyLimits(team *quota.Team, request *adminapi.SetQuotaRequest) error {
	for _, limit := range []struct {
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
		if limit.value == nil {
			continue
		}
		if inRange := *limit.value >= limit.min && *limit.value <= limit.max; !inRange { // NaN is never in range
			return adminapi.RequestErrorf("%s must be from %g to %g", limit.name, limit.min, limit.max)
		}
		limit.set(*limit.value)
	}
	return nil
}

// restoreLimits applies the limits that operators set before the start. Limits of a team that the file no longer has
// are skipped and logged.
func (x *Extensions) restoreLimits() {
	if x.quotas == nil {
		return
	}
	for _, note := range x.store.OperatorNotes() {
		name, ok := strings.CutPrefix(note.ID, limitsNotePrefix)
		var stored storedLimits
		if !ok || json.Unmarshal(note.Body, &stored) != nil {
			continue
		}
		log := x.log.WithField("team", name).WithField("author", note.Text).
			WithField("at", stored.At.Format(time.RFC3339))
		team, known := x.quotas.findTeam(name)
		if !known {
			log.Warn("quotas: limits were set for a team that is no more")
			continue
		}
		team.Weight, team.Ceiling = stored.Weight, stored.Ceiling
		team.Threads, team.MemoryMB = stored.Threads, stored.MemoryMB
		team.MaxInFlight, team.MaxQueued = stored.Requests, stored.Queue
		x.quotas.setLimits(x.loop, 0, team)
		log.Info("quotas: limits set at run time hold")
	}
}
