package assembly

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/quota"
	"liftshift/internal/retry"
	"liftshift/internal/waitestimate"
)

// limitNote is what stands before the name of a team in a note of its limits.
const limitNote = "limit "

// openDoor opens the control socket, where the file names one.
func (i *Extensions) openDoor() (err error) {
	if i.file.Control == "" {
		return nil
	}
	return retry.For(retry.AtStart, func() error {
		i.door, err = adminapi.Serve(i.file.Control, i.answer)
		return err
	}, adminapi.ErrInUse)
}

// answer answers a question of the operators' tools.
func (i *Extensions) answer(_ context.Context, question string, fields map[string]any) (map[string]any, error) {
	if ours, out, err := i.fleet.answer(question, fields); ours {
		return out, err
	}
	if ours, out, err := i.heirs.answer(question, fields); ours {
		return out, err
	}
	if ours, out, err := i.lookout.answer(question, fields); ours {
		return out, err
	}
	if i.team == nil {
		return nil, adminapi.RequestErrorf("there are no budgets: the operators' file has no block budgets")
	}
	var out map[string]any
	var err error
	done := i.desk.Call(func(now float64) {
		switch question {
		case "budgets":
			out = i.team.show()
		case "waits":
			out = i.team.showWaits()
		case "explain":
			id, _ := fields["id"].(string)
			if why := i.team.tree.Explain(id); why != "" {
				out = map[string]any{"why": why}
			} else {
				err = adminapi.RequestErrorf("no search %q waits here", id)
			}
		case "set":
			out, err = i.set(now, fields)
		default:
			err = adminapi.RequestErrorf("no question %q", question)
		}
	})
	if !done {
		return nil, context.Canceled
	}
	return out, err
}

// show gives how all teams stand.
func (t *teams) show() map[string]any {
	c := t.tree.Counts()
	var list []any
	for _, s := range t.tree.Statuses() {
		list = append(list, map[string]any{"team": s.Team.Name, "parent": s.Team.Parent, "weight": s.Team.Weight,
			"queued": float64(s.Queued), "hand": float64(s.InFlight), "threads": s.Threads, "due": s.FairShare, "memory_mb": s.Memory,
			"work_ms": math.Round(s.Work), "blocked": s.Blocked, "oldest_ms": s.OldestMS, "bound_ms": s.BoundMS, "borrows": s.Borrows,
			"lends": s.Lends, "pressed": float64(s.Capped), "ceiling": s.Team.Ceiling, "searches": float64(s.Team.MaxInFlight)})
	}
	return map[string]any{"teams": list, "part": t.part, "offered": float64(c.Offered), "aged": float64(c.Aged),
		"pressed": float64(c.Capped), "eased": float64(c.Uncapped), "overdue": float64(c.Overdue), "overflow": float64(c.Overflow),
		"unknown": float64(c.Unknown), "queued": float64(c.Queued), "longest_ms": c.LongestMS}
}

// waits gives how well the figures told held.
func (t *teams) showWaits() map[string]any {
	kept := t.book.Accuracy()
	slices.SortFunc(kept, func(a, b waitestimate.Accuracy) int {
		return strings.Compare(a.Team+"\x00"+a.Class, b.Team+"\x00"+b.Class)
	})
	var list []any
	for _, k := range kept {
		list = append(list, map[string]any{"team": k.Team, "offering": k.Class, "starts": float64(k.Starts),
			"starts_kept": float64(k.StartsWithin), "ends": float64(k.Ends), "ends_kept": float64(k.EndsWithin)})
	}
	return map[string]any{"waits": list}
}

// limit is a change of a team's limits as it is kept.
type limit struct {
	Weight   float64   `json:"Weight"`
	Ceiling  float64   `json:"Ceiling"`
	Threads  float64   `json:"Threads"`
	MemoryMB float64   `json:"MemoryMB"`
	Searches int       `json:"Searches"`
	Queue    int       `json:"Queue"`
	At       time.Time `json:"At"`
}

// set changes a team's limits, and has that last where there is a store.
func (i *Extensions) set(now float64, fields map[string]any) (map[string]any, error) {
	name, _ := fields["team"].(string)
	who, _ := fields["who"].(string)
	var team *quota.Team
	for _, t := range i.team.tree.Teams() {
		if t.Name == name {
			team = &t
		}
	}
	if team == nil {
		return nil, adminapi.RequestErrorf("there is no team %q", name)
	}
	for _, f := range []struct {
		name        string
		least, most float64
		set         func(float64)
	}{
		{"weight", 1e-3, 1e6, func(v float64) { team.Weight = v }}, {"ceiling", 0.001, 1, func(v float64) { team.Ceiling = v }},
		{"threads", 0, 1e6, func(v float64) { team.Threads = v }}, {"memory_mb", 0, 1e9, func(v float64) { team.MemoryMB = v }},
		{"searches", 0, 1e6, func(v float64) { team.MaxInFlight = int(v) }}, {"queue", 0, 1e7, func(v float64) { team.MaxQueued = int(v) }},
	} {
		v, given := fields[f.name]
		if !given {
			continue
		}
		n, ok := v.(float64)
		if !ok || !(n >= f.least && n <= f.most) {
			return nil, adminapi.RequestErrorf("%s must be from %g to %g", f.name, f.least, f.most)
		}
		f.set(n)
	}
	i.desk.Execute(dispatch.AppendQuotaCommands(nil, i.team.tree.Step(now, &quota.Event{Kind: quota.TeamChanged, NewLimits: *team})))
	i.log.WithField("team", name).WithField("who", who).Warn("budgets: a team's limits were changed")
	if i.keep == nil {
		return map[string]any{"lasts": false}, nil
	}
	text, err := json.Marshal(limit{team.Weight, team.Ceiling, team.Threads, team.MemoryMB, team.MaxInFlight, team.MaxQueued, time.Now().UTC()})
	if err != nil {
		return nil, err
	}
	i.keep.Step(now, &ledger.Event{Kind: ledger.OperatorNoteSet, ID: limitNote + name, IdempotencyKey: who, Body: text})
	return map[string]any{"lasts": true}, nil
}

// recallLimits takes over limits that were set before the start. A team that is no more is left out, and said.
func (i *Extensions) recallLimits() {
	if i.team == nil {
		return
	}
	teams := i.team.tree.Teams()
	for _, n := range i.keep.OperatorNotes() {
		name, ok := strings.CutPrefix(n.ID, limitNote)
		k := slices.IndexFunc(teams, func(t quota.Team) bool { return t.Name == name })
		var l limit
		if !ok || json.Unmarshal(n.Body, &l) != nil {
			continue
		}
		log := i.log.WithField("team", name).WithField("who", n.Text).WithField("at", l.At.Format(time.RFC3339))
		if k < 0 {
			log.Warn("budgets: limits were set for a team that is no more")
			continue
		}
		t := teams[k]
		t.Weight, t.Ceiling, t.Threads, t.MemoryMB, t.MaxInFlight, t.MaxQueued = l.Weight, l.Ceiling, l.Threads, l.MemoryMB, l.Searches, l.Queue
		i.desk.Execute(dispatch.AppendQuotaCommands(nil, i.team.tree.Step(0, &quota.Event{Kind: quota.TeamChanged, NewLimits: t})))
		log.Info("budgets: limits set at run time hold")
	}
}

// reset takes over the figures of a file that was read again.
func (t *teams) reset(d *dispatch.Loop, now float64, next *operatorconfig.Quotas) {
	for _, team := range next.Teams {
		d.Execute(dispatch.AppendQuotaCommands(nil, t.tree.Step(now, &quota.Event{Kind: quota.TeamChanged, NewLimits: team})))
	}
}
