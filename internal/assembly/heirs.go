package assembly

import (
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"liftshift/internal/adminapi"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/handoffnet"
	"liftshift/internal/placement"
	"liftshift/internal/settings"
	"liftshift/internal/vfs"
)

// heirs joins a trustee to a controller: who uses it, what is logged, what is asked of it. It decides nothing.
type heirs struct {
	inst    *Extensions
	trustee *handoffnet.Agent
}

// openHeirs makes the trustee, where the file has a block estate; the carriage does not listen yet.
func (i *Extensions) openHeirs(f *fleet, seed uint32, platform *settings.Settings) error {
	file := i.file.Handoff
	for _, name := range file.AdoptClasses {
		if platform.Scheduler.Class(name) == nil {
			return fmt.Errorf("estate: adopt names %q, which is no offering", name)
		}
	}
	g := handoff.Settings{Classes: platform.Scheduler.Classes, RetryBudget: platform.AdoptionBudget, RetryAfterMS: platform.Scheduler.LongestRetryAfterMS(),
		AdoptClasses: file.AdoptClasses, AdoptAtOnce: file.AdoptAtOnce, CopyAfterMS: file.CopyAfterMS, MaxCopies: file.MaxCopies,
		MaxAnswerBytes: file.MaxAnswerBytes, RememberMS: i.file.Store.RememberMS, DoubtMS: file.DoubtMS, SendWithoutReplicas: file.SendWithoutReplicas}
	self := f.view.Self()
	t := handoffnet.New(handoff.Member{Name: self.Name, Incarnation: self.Incarnation}, g, seed, i.desk, f.clock, f.carrier, i.log)
	if i.file.Handoff.CopiesOnDisk {
		dir, err := vfs.OpenDir(filepath.Join(i.file.Store.Directory, "estate"), true)
		if err != nil {
			return fmt.Errorf("estate: %w", err)
		}
		if err := t.PersistCopies(vfs.WithFaults(dir), func(note any) { i.desk.Put(dispatch.QueueItem{Message: note}) }); err != nil {
			return err
		}
	}
	t.Start(f.seat)
	i.heirs = &heirs{inst: i, trustee: t}
	return nil
}

func (h *heirs) count() {
	if h != nil {
		h.inst.log.WithFields(h.trustee.Counters()).Info("estate")
	}
}

func (h *heirs) close() {
	if h != nil {
		h.trustee.Close()
	}
}

// answer answers the questions of the operators' tools that are the estate's.
func (h *heirs) answer(question string, fields map[string]any) (ours bool, out map[string]any, err error) {
	if !strings.HasPrefix(question, "estate") {
		return false, nil, nil
	}
	if h == nil {
		return true, nil, adminapi.RequestErrorf("there is no estate: the operators' file has no block estate")
	}
	name, _ := fields["name"].(string)
	done := h.inst.desk.Call(func(now float64) {
		switch e := h.trustee.Manager(); question {
		case "estate":
			out = h.show(e)
		case "estate explain":
			if out = explainCopy(now, e, name); out == nil {
				err = adminapi.RequestErrorf("nothing is known here of a search or mark %q; ask another controller, or the method outcome", name)
			}
		case "estate release":
			h.inst.log.WithField("search", name).WithField("who", fields["who"]).Warn("estate: a search is given up by an operator")
			h.trustee.Step(now, &handoff.Event{Kind: handoff.ReleaseRequested, ID: name})
			out = map[string]any{"asked": true}
		case "estate adopt":
			h.inst.log.WithField("member", name).WithField("who", fields["who"]).Warn("estate: an operator wants this controller to take over")
			h.trustee.Step(now, &handoff.Event{Kind: handoff.AdoptionRequested, ID: name})
			out = map[string]any{"asked": true}
		default:
			err = adminapi.RequestErrorf("no question %q", question)
		}
	})
	if !done {
		return true, nil, fmt.Errorf("this controller stops")
	}
	return true, out, err
}

// show gives what is kept here, who sits where and what is claimed.
func (h *heirs) show(e *handoff.Manager) map[string]any {
	out := map[string]any{}
	for name, v := range h.trustee.Counters() {
		switch n := v.(type) {
		case uint64:
			out[name] = float64(n)
		case int:
			out[name] = float64(n)
		}
	}
	out["held"] = h.trustee.LeaseHeld()
	var orphans, claims, seats []any
	for name, n := range e.OrphanedRequests() {
		orphans = append(orphans, map[string]any{"member": name, "copies": float64(n)})
	}
	if t := e.Table(); t != nil {
		out["copies_wanted"], out["version"], out["step"] = float64(t.Copies), float64(t.Version), float64(t.Step)
		for _, c := range t.Claims {
			claims = append(claims, map[string]any{"member": c.Name, "life": fmt.Sprint(c.Incarnation), "heir": c.Successor, "parts": float64(popcount(c.Partitions))})
		}
		settled := 0
		by := map[string]int{}
		for _, p := range t.Partitions {
			if p.Previous == nil {
				settled++
			}
			for _, c := range p.Current {
				by[c.Name]++
			}
		}
		out["parts"], out["parts_settled"] = float64(len(t.Partitions)), float64(settled)
		for _, name := range slices.Sorted(maps.Keys(by)) {
			seats = append(seats, map[string]any{"member": name, "parts": float64(by[name])})
		}
	}
	out["orphans"], out["claimed"], out["chairs"] = orphans, claims, seats
	return out
}

func popcount(mask uint32) (n int) {
	for k := range placement.PartitionCount {
		n += int(mask >> k & 1)
	}
	return n
}

// explainCopy gives what is known here of a search or mark.
func explainCopy(now float64, e *handoff.Manager, name string) map[string]any {
	var list []any
	for _, s := range e.Explain(name) {
		c := &s.Copy
		ran := [...]string{"no shot of it can have run", "a shot of it may have run", "it ran"}[c.RunState]
		list = append(list, map[string]any{"id": c.ID, "mark": c.IdempotencyKey, "offering": c.Class, "state": s.State, "owner": c.Owner.Name,
			"life": fmt.Sprint(c.Owner.Incarnation), "number": float64(c.Sequence), "outcome": c.Outcome.String(), "ran": ran, "place": c.Zone,
			"left_ms": math.Round(c.Deadline - now), "answer": c.Answer != nil, "in_hand_here": s.InFlightHere})
	}
	if list == nil {
		return nil
	}
	return map[string]any{"copies": list}
}
