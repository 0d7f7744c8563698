package simproto

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"liftshift/scheduler"
)

// The protocol's words for typed values of the scheduler.
var (
	outcomes = map[string]scheduler.Outcome{
		"completed":    scheduler.Succeeded,
		"errored":      scheduler.Errored,
		"saturated":    scheduler.Overloaded,
		"overdue":      scheduler.TimedOut,
		"refused_conn": scheduler.ConnectFailed,
		"severed":      scheduler.ConnectionLost,
		"recalled":     scheduler.Cancelled,
		"superseded":   scheduler.NeverSent,
	}
	listKinds = map[string]scheduler.ListKind{
		"update":      scheduler.ListDelta,
		"replace":     scheduler.ListComplete,
		"restored":    scheduler.ListRestored,
		"unavailable": scheduler.ListUnavailable,
	}
)

// eventTag is a kind of event, and the fields that its line can't do without.
type eventTag struct {
	kind     scheduler.EventKind
	required []string
}

var eventTags = map[string]eventTag{
	"ENDPOINTS":   {scheduler.EndpointsUpdated, []string{"Kind"}},
	"ARRIVAL":     {scheduler.RequestArrived, []string{"Handle", "TierClass", "DropDead"}},
	"CLIENT_GONE": {scheduler.ClientLeft, []string{"Handle"}},
	"VERDICT":     {scheduler.AttemptEnded, []string{"Handle", "Code"}},
	"CHANGE":      {scheduler.ProgressReported, []string{"Handle", "What"}},
	"PROBE_DONE":  {scheduler.HealthChecked, []string{"Code"}},
	"TIMER":       {scheduler.TimerFired, nil},
	"FIRST":       {scheduler.ResponseStarted, []string{"Handle"}},
	"MESSAGE":     {scheduler.PeerMessage, nil},
}

// playEvent reads the line of an event and hands it to its instance.
func (r *Reader) playEvent(tag, line string, now float64, host Host) error {
	known, ok := eventTags[tag]
	if !ok {
		return r.errorf("unknown event %.80q", tag)
	}
	r.event = scheduler.Event{Kind: known.kind}
	ev := &r.event
	instance := 0
	list := 0
	found := 0
	_, err := r.eachField(line, "", func(name, value string) (err error) {
		if value != "" && slices.Contains(known.required, name) {
			found++
		}
		switch name {
		case "I":
			instance, err = parseInt(value)
		case "Bank":
			list, err = parseInt(value)
		default:
			err = r.setField(ev, name, value)
		}
		return err
	})
	if err != nil {
		return err
	}
	if found != len(known.required) {
		return r.errorf("%s: needs %s: %.120q", tag, strings.Join(known.required, " "), line)
	}
	if ev.Kind == scheduler.EndpointsUpdated && ev.List != scheduler.ListUnavailable {
		if list < 0 || list >= listCount || !r.hasList[list] {
			return r.errorf("ENDPOINTS: no list numbered %d", list)
		}
		ev.Endpoints = r.lists[list]
	}
	return r.hostError(tag, host.HandleEvent(instance, now, ev))
}

// setField sets what a field of a line says of its event. Fields that no event has are passed over.
func (r *Reader) setField(ev *scheduler.Event, name, value string) (err error) {
	switch name {
	case "Handle":
		ev.Request = value
	case "N":
		ev.Attempt, err = parseInt(value)
	case "Executor":
		ev.Executor, err = parseExecutor(value)
	case "Code":
		ev.Outcome, err = parseWord(outcomes, "outcome", value)
	case "Spent":
		ev.ElapsedMS, err = parseTime(value)
	case "Over":
		ev.Final, err = parseBool(value)
	case "UsedUp":
		err = setUsage(ev, value)
	case "Load":
		err = r.setLoadReport(ev, value)
	case "What":
		ev.Progress, err = parseProgressKind(value)
	case "X":
		ev.Value, err = parseNumber(value)
	case "KeyBack":
		ev.Token, err = parseUint(value)
	case "Kind":
		ev.List, err = parseWord(listKinds, "kind of list", value)
	case "Neighbour":
		ev.FromPeer, err = parseInt(value)
	case "Data":
		if value != "-" {
			ev.Payload, err = base64.StdEncoding.DecodeString(value)
		}
	default:
		err = r.setArrivalField(ev, name, value)
	}
	return err
}

// setArrivalField sets what a field says of a new request.
func (r *Reader) setArrivalField(ev *scheduler.Event, name, value string) (err error) {
	switch name {
	case "TierClass":
		ev.Class = r.intern(value)
	case "TableGroup":
		ev.TableGroup, err = parseUint(value)
	case "Table":
		ev.OrderKey = r.intern(value)
	case "WantMb":
		ev.MemoryMB, err = parseNumber(value)
	case "Estimate":
		ev.WorkMS, err = parseTime(value)
	case "DropDead":
		ev.Deadline, err = parseTime(value)
	case "Resent":
		ev.Retried, err = parseBool(value)
	}
	return err
}

// The packing of a request's usage into one number: its work in milliseconds above its memory in units.
const (
	usageMemoryUnits = 4096
	usageUnitMB      = 4
)

// setUsage sets the work and the memory that a request took.
func setUsage(ev *scheduler.Event, value string) error {
	usage, err := parseUint(value)
	ev.CostMS = float64(usage / usageMemoryUnits)
	ev.UsedMB = float64(usage%usageMemoryUnits) * usageUnitMB
	return err
}

// setLoadReport sets the figures of a load report.
func (r *Reader) setLoadReport(ev *scheduler.Event, value string) error {
	r.loadReport = r.loadReport[:0]
	for _, figure := range strings.Split(value, ",") {
		n, err := parseNumber(figure)
		if err != nil {
			return err
		}
		r.loadReport = append(r.loadReport, n)
	}
	ev.LoadReport = r.loadReport
	return nil
}

// parseProgressKind returns what a progress report is about; the protocol has the scheduler's numbers.
func parseProgressKind(value string) (scheduler.ProgressKind, error) {
	n, err := parseInt(value)
	if err != nil {
		return 0, err
	}
	if n < int(scheduler.Progress) || n > int(scheduler.Waiting) {
		return 0, fmt.Errorf("unknown note %d", n)
	}
	return scheduler.ProgressKind(n), nil
}
