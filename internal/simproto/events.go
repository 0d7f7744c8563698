package simproto

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"liftshift/scheduler"
)

var (
	// outcomes maps the protocol's words for the outcome of an attempt or a health check.
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

	// listKinds maps the protocol's words for the kind of an endpoint list.
	listKinds = map[string]scheduler.ListKind{
		"update":      scheduler.ListDelta,
		"replace":     scheduler.ListComplete,
		"restored":    scheduler.ListRestored,
		"unavailable": scheduler.ListUnavailable,
	}
)

// eventFormat describes the lines of one kind of event.
type eventFormat struct {
	kind     scheduler.EventKind
	required []string // fields that must be present and not empty
}

// eventFormats holds the format of each event by the tag of its lines.
var eventFormats = map[string]eventFormat{
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

// handleEvent parses the line of an event and passes the event to its instance.
func (r *Reader) handleEvent(tag, line string, now float64, host Host) error {
	format, ok := eventFormats[tag]
	if !ok {
		return r.errorf("unknown event %.80q", tag)
	}
	r.event = scheduler.Event{Kind: format.kind}
	event := &r.event
	instance := 0
	list := 0
	found := 0
	_, err := r.eachField(line, "", func(name, value string) (err error) {
		if value != "" && slices.Contains(format.required, name) {
			found++
		}
		switch name {
		case "I":
			instance, err = parseInt(value)
		case "Bank":
			list, err = parseInt(value)
		default:
			err = r.setField(event, name, value)
		}
		return err
	})
	if err != nil {
		return err
	}
	if found != len(format.required) {
		return r.errorf("%s: needs the fields %s, got %.120q", tag, strings.Join(format.required, ", "), line)
	}
	if event.Kind == scheduler.EndpointsUpdated && event.List != scheduler.ListUnavailable {
		if list < 0 || list >= listCount || !r.hasList[list] {
			return r.errorf("ENDPOINTS: no endpoint list with the Bank %d was read", list)
		}
		event.Endpoints = r.lists[list]
	}
	return r.hostError(tag, host.HandleEvent(instance, now, event))
}

// setField sets the part of an event that a field of its line holds. Unknown fields are ignored.
func (r *Reader) setField(event *scheduler.Event, name, value string) (err error) {
	switch name {
	case "Handle":
		event.Request = value
	case "N":
		event.Attempt, err = parseInt(value)
	case "Executor":
		event.Executor, err = parseExecutor(value)
	case "Code":
		event.Outcome, err = parseWord(outcomes, "outcome", value)
	case "Spent":
		event.ElapsedMS, err = parseTime(value)
	case "Over":
		event.Final, err = parseBool(value)
	case "UsedUp":
		err = setUsage(event, value)
	case "Load":
		err = r.setLoadReport(event, value)
	case "What":
		event.Progress, err = parseProgressKind(value)
	case "X":
		event.Value, err = parseNumber(value)
	case "KeyBack":
		event.Token, err = parseUint(value)
	case "Kind":
		event.List, err = parseWord(listKinds, "list kind", value)
	case "Neighbour":
		event.FromPeer, err = parseInt(value)
	case "Data":
		if value != "-" {
			event.Payload, err = base64.StdEncoding.DecodeString(value)
		}
	default:
		err = r.setArrivalField(event, name, value)
	}
	return err
}

// setArrivalField sets the part of a RequestArrived event that a field holds. Unknown fields are ignored.
func (r *Reader) setArrivalField(event *scheduler.Event, name, value string) (err error) {
	switch name {
	case "TierClass":
		event.Class = r.intern(value)
	case "TableGroup":
		event.TableGroup, err = parseUint(value)
	case "Table":
		event.OrderKey = r.intern(value)
	case "WantMb":
		event.MemoryMB, err = parseNumber(value)
	case "Estimate":
		event.WorkMS, err = parseTime(value)
	case "DropDead":
		event.Deadline, err = parseTime(value)
	case "Resent":
		event.Retried, err = parseBool(value)
	}
	return err
}

// A request's usage is packed into one number: the work in milliseconds times usageMemoryUnits, plus the memory in
// units of usageUnitMB.
const (
	usageMemoryUnits = 4096
	usageUnitMB      = 4
)

// setUsage sets the work and the memory that a request has used.
func setUsage(event *scheduler.Event, value string) error {
	usage, err := parseUint(value)
	event.CostMS = float64(usage / usageMemoryUnits)
	event.UsedMB = float64(usage%usageMemoryUnits) * usageUnitMB
	return err
}

// setLoadReport sets the load report, a list of numbers separated by commas.
func (r *Reader) setLoadReport(event *scheduler.Event, value string) error {
	r.loadReport = r.loadReport[:0]
	for _, text := range strings.Split(value, ",") {
		number, err := parseNumber(text)
		if err != nil {
			return err
		}
		r.loadReport = append(r.loadReport, number)
	}
	event.LoadReport = r.loadReport
	return nil
}

// parseProgressKind parses the kind of a progress report, for which the protocol uses the scheduler's numbers.
func parseProgressKind(value string) (scheduler.ProgressKind, error) {
	n, err := parseInt(value)
	if err != nil {
		return 0, err
	}
	if n < int(scheduler.Progress) || n > int(scheduler.Waiting) {
		return 0, fmt.Errorf("unknown progress kind %d", n)
	}
	return scheduler.ProgressKind(n), nil
}
