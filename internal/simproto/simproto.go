// Package simproto reads and writes the text lines of the bench's wire. The wire's names end here: what
// leaves this package are the events of package rules, and what enters are its actions.
package simproto

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"liftshift/internal/settings"
	"liftshift/scheduler"
)

// usPerMS is the wire's time unit: microseconds.
const usPerMS = 1000

// banks is how many numbered lists the wire keeps.
const banks = 16

// Host is what a batch is played to.
type Host interface {
	// Attach starts an instance, Stop ends it, Event hands it one event.
	Attach(instance int, seed uint64, settings scheduler.Settings) error
	Stop(instance int) error
	Event(instance int, now float64, ev *scheduler.Event) error
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	long  []byte
	lists [banks][]scheduler.Endpoint
	held  [banks]bool
	words map[string]string // names that come again and again, kept once
	ev    scheduler.Event
	load  []float64
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), words: map[string]string{}}
}

// next returns the next line without its end; it is valid until the next call.
func (r *Reader) next() (string, error) {
	r.line++
	b, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.long = r.long[:0]
		for err == bufio.ErrBufferFull {
			r.long = append(r.long, b...)
			b, err = r.in.ReadSlice('\n')
		}
		r.long = append(r.long, b...)
		b = r.long
	}
	if err == io.EOF && len(b) > 0 {
		return "", r.errorf("the line breaks off: %.80q", b)
	}
	if err != nil {
		return "", err
	}
	return string(b[:len(b)-1]), nil
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// fields walks the name=value parts of a line. A part named by tail runs to the end of the line.
func (r *Reader) fields(line, tail string, each func(name, value string) error) (string, error) {
	tag, rest, _ := strings.Cut(line, "\t")
	for rest != "" {
		var part string
		if tail != "" && strings.HasPrefix(rest, tail+"=") {
			part, rest = rest, ""
		} else {
			part, rest, _ = strings.Cut(rest, "\t")
		}
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return tag, r.errorf("%s: a part without a name: %.80q", tag, part)
		}
		if err := each(name, value); err != nil {
			return tag, r.errorf("%s: %s: %v", tag, name, err)
		}
	}
	return tag, nil
}

// word keeps one copy of a name that comes again and again.
func (r *Reader) word(s string) string {
	if w, ok := r.words[s]; ok {
		return w
	}
	w := strings.Clone(s)
	r.words[w] = w
	return w
}

func whole(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", s)
	}
	return n, nil
}

func token(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number from 0 up", s)
	}
	return n, nil
}

func executor(s string) (uint32, error) {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not an executor", s)
	}
	return uint32(n), nil
}

func number(s string) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return n, nil
}

func millis(s string) (float64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time", s)
	}
	return float64(n) / usPerMS, nil
}

func flag(s string) (bool, error) {
	switch s {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 1 nor 0", s)
}

var outcomes = map[string]scheduler.Outcome{
	"completed": scheduler.Succeeded, "errored": scheduler.Errored, "saturated": scheduler.Overloaded, "overdue": scheduler.TimedOut,
	"refused_conn": scheduler.ConnectFailed, "severed": scheduler.ConnectionLost, "recalled": scheduler.Cancelled,
	"superseded": scheduler.NeverSent,
}

var standings = map[string]scheduler.Availability{
	"active": scheduler.Active, "leaving": scheduler.Draining, "left": scheduler.Removed,
}

var listKinds = map[string]scheduler.ListKind{
	"update": scheduler.ListDelta, "replace": scheduler.ListComplete, "restored": scheduler.ListRestored, "unavailable": scheduler.ListUnavailable,
}

// tags are the events of the wire, with the kind of event and the parts that each can't do without.
var tags = map[string]struct {
	kind  scheduler.EventKind
	needs string
}{
	"ENDPOINTS": {scheduler.EndpointsUpdated, "Kind"}, "ARRIVAL": {scheduler.RequestArrived, "Handle TierClass DropDead"},
	"CLIENT_GONE": {scheduler.ClientLeft, "Handle"}, "VERDICT": {scheduler.AttemptEnded, "Handle Code"},
	"CHANGE": {scheduler.ProgressReported, "Handle What"}, "PROBE_DONE": {scheduler.HealthChecked, "Code"}, "TIMER": {scheduler.TimerFired, ""},
	"FIRST": {scheduler.ResponseStarted, "Handle"}, "MESSAGE": {scheduler.PeerMessage, ""},
}

// Batch plays the next batch to host and returns its number. At the end of the input it returns io.EOF.
func (r *Reader) Batch(host Host) (seq uint64, err error) {
	line, err := r.next()
	if err != nil {
		return 0, err
	}
	var now float64
	clock := false
	tag, err := r.fields(line, "", func(name, value string) (err error) {
		switch name {
		case "Clock":
			now, err = millis(value)
			clock = true
		case "seq":
			seq, err = token(value)
		}
		return err
	})
	switch {
	case err != nil:
		return 0, err
	case tag != "BEGIN_BATCH":
		return 0, r.errorf("BEGIN_BATCH expected, not %.80q", line)
	case !clock:
		return 0, r.errorf("BEGIN_BATCH: Clock is missing")
	}
	for {
		line, err = r.next()
		if err == io.EOF {
			return 0, r.errorf("the batch has no EOF_BATCH")
		}
		if err != nil {
			return 0, err
		}
		if line == "EOF_BATCH" {
			return seq, nil
		}
		if err = r.event(line, now, host); err != nil {
			return 0, err
		}
	}
}

func (r *Reader) event(line string, now float64, host Host) error {
	tag, _, _ := strings.Cut(line, "\t")
	switch tag {
	case "SNAPSHOT_ROWS":
		return r.rows(line)
	case "ATTACH":
		return r.attach(line, now, host)
	case "STOP":
		instance := 0
		if _, err := r.fields(line, "", func(name, value string) (err error) {
			if name == "I" {
				instance, err = whole(value)
			}
			return err
		}); err != nil {
			return err
		}
		return r.at(tag, host.Stop(instance))
	}
	t, ok := tags[tag]
	if !ok {
		return r.errorf("unknown event %.80q", tag)
	}
	r.ev = scheduler.Event{Kind: t.kind}
	ev := &r.ev
	instance, bank, seen := 0, 0, 0
	_, err := r.fields(line, "", func(name, value string) (err error) {
		if value != "" && strings.Contains(t.needs, name) {
			for _, need := range strings.Fields(t.needs) {
				if need == name {
					seen++
				}
			}
		}
		switch name {
		case "I":
			instance, err = whole(value)
		case "Bank":
			bank, err = whole(value)
		default:
			err = r.part(ev, name, value)
		}
		return err
	})
	if err != nil {
		return err
	}
	if seen != len(strings.Fields(t.needs)) {
		return r.errorf("%s: needs %s: %.120q", tag, t.needs, line)
	}
	if t.kind == scheduler.EndpointsUpdated && ev.List != scheduler.ListUnavailable {
		if bank < 0 || bank >= banks || !r.held[bank] {
			return r.errorf("ENDPOINTS: no list numbered %d", bank)
		}
		ev.Endpoints = r.lists[bank]
	}
	return r.at(tag, host.Event(instance, now, ev))
}

func (r *Reader) at(tag string, err error) error {
	if err != nil {
		return r.errorf("%s: %v", tag, err)
	}
	return nil
}

// part puts one part of a line into the event; parts that no event has are skipped.
func (r *Reader) part(ev *scheduler.Event, name, value string) (err error) {
	ok := true
	switch name {
	case "Handle":
		ev.Request = value
	case "TableGroup":
		ev.TableGroup, err = token(value)
	case "Table":
		ev.OrderKey = r.word(value)
	case "TierClass":
		ev.Class = r.word(value)
	case "WantMb":
		ev.MemoryMB, err = number(value)
	case "Resent":
		ev.Retried, err = flag(value)
	case "DropDead":
		ev.Deadline, err = millis(value)
	case "Estimate":
		ev.WorkMS, err = millis(value)
	case "N":
		ev.Attempt, err = whole(value)
	case "Executor":
		ev.Executor, err = executor(value)
	case "Code":
		if ev.Outcome, ok = outcomes[value]; !ok {
			err = fmt.Errorf("unknown outcome %q", value)
		}
	case "Spent":
		ev.ElapsedMS, err = millis(value)
	case "Over":
		ev.Final, err = flag(value)
	case "UsedUp":
		var n uint64
		n, err = token(value)
		ev.CostMS, ev.UsedMB = float64(n/4096), float64(n%4096)*4
	case "Load":
		r.load = r.load[:0]
		for _, s := range strings.Split(value, ",") {
			var n float64
			if n, err = number(s); err != nil {
				return err
			}
			r.load = append(r.load, n)
		}
		ev.LoadReport = r.load
	case "What":
		var n int
		n, err = whole(value)
		if err == nil && (n < int(scheduler.Progress) || n > int(scheduler.Waiting)) {
			err = fmt.Errorf("unknown note %d", n)
		}
		ev.Progress = scheduler.ProgressKind(n)
	case "X":
		ev.Value, err = number(value)
	case "KeyBack":
		ev.Token, err = token(value)
	case "Kind":
		if ev.List, ok = listKinds[value]; !ok {
			err = fmt.Errorf("unknown kind of list %q", value)
		}
	case "Neighbour":
		ev.FromPeer, err = whole(value)
	case "Data":
		if value != "-" {
			ev.Payload, err = base64.StdEncoding.DecodeString(value)
		}
	}
	return err
}

// rows reads a numbered list and its entries.
func (r *Reader) rows(line string) error {
	bank, count := 0, 0
	if _, err := r.fields(line, "", func(name, value string) (err error) {
		switch name {
		case "Bank":
			bank, err = whole(value)
		case "Records":
			count, err = whole(value)
		}
		return err
	}); err != nil {
		return err
	}
	if bank < 0 || bank >= banks || count < 0 {
		return r.errorf("SNAPSHOT_ROWS: no list numbered %d of %d entries", bank, count)
	}
	list := r.lists[bank][:0]
	for len(list) < count {
		line, err := r.next()
		if err == io.EOF {
			return r.errorf("SNAPSHOT_ROWS: %d entries of %d", len(list), count)
		}
		if err != nil {
			return err
		}
		var e scheduler.Endpoint
		named := false
		tag, err := r.fields(line, "", func(name, value string) (err error) {
			ok := true
			switch name {
			case "Executor":
				e.Executor, err = executor(value)
				named = true
			case "Hall":
				e.Zone = r.word(value)
			case "Type":
				e.Kind = r.word(value)
			case "UnitGroup":
				var n int
				n, err = whole(value)
				e.Cell = int64(n)
			case "Availability":
				if e.Availability, ok = standings[value]; !ok {
					err = fmt.Errorf("unknown standing %q", value)
				}
			case "Units":
				e.Units, err = number(value)
			case "UpSince":
				e.StartedAt, err = millis(value)
			}
			return err
		})
		if err != nil {
			return err
		}
		if tag != "ITEM" || !named {
			return r.errorf("SNAPSHOT_ROWS: an ITEM with its Executor expected, not %.80q", line)
		}
		list = append(list, e)
	}
	r.lists[bank], r.held[bank] = list, true
	return nil
}

func (r *Reader) attach(line string, now float64, host Host) error {
	instance, seed, text := 0, uint64(0), ""
	if _, err := r.fields(line, "Settings", func(name, value string) (err error) {
		switch name {
		case "I":
			instance, err = whole(value)
		case "Nonce64":
			seed, err = strconv.ParseUint(value, 10, 64)
		case "Settings":
			text = value
		}
		return err
	}); err != nil {
		return err
	}
	if text == "" {
		return r.errorf("ATTACH: Settings is missing")
	}
	s, err := settings.Read([]byte(text))
	if err != nil {
		return r.errorf("ATTACH: Settings: %v", err)
	}
	if err := host.Attach(instance, seed, s.Scheduler); err != nil {
		return r.at("ATTACH", err)
	}
	return r.at("ATTACH", host.Event(instance, now, &scheduler.Event{Kind: scheduler.Started}))
}

// Append writes the action of an instance as a line to b.
func Append(b []byte, instance int, a *scheduler.Action) []byte {
	num := func(name string, n int64) { b = strconv.AppendInt(append(append(b, '\t'), name...), n, 10) }
	text := func(name, s string) { b = append(append(append(b, '\t'), name...), s...) }
	name := [...]string{scheduler.Send: "ASSIGN", scheduler.SetResources: "RESOURCES", scheduler.Cancel: "CALL_OFF",
		scheduler.Reject: "TURN_AWAY", scheduler.Fail: "REPORT_FAILURE", scheduler.SetTimer: "SLEEP", scheduler.HealthCheck: "PROBE",
		scheduler.Subscribe: "LISTEN", scheduler.Log: "LOG", scheduler.SendPeer: "SHARE"}[a.Kind]
	b = append(b, name...)
	num("I=", int64(instance))
	switch a.Kind {
	case scheduler.Send:
		text("Handle=", a.Request)
		num("Executor=", int64(a.Executor))
	case scheduler.SetResources:
		text("Handle=", a.Request)
		b = strconv.AppendFloat(append(b, "\tGrantMb="...), a.GrantMB, 'f', -1, 64)
		num("Prio=", int64(a.Level))
	case scheduler.Cancel:
		text("Handle=", a.Request)
		num("N=", int64(a.Attempt))
	case scheduler.Reject:
		text("Handle=", a.Request)
		if a.AfterMS > 0 {
			num("ComeBack=", int64(a.AfterMS*usPerMS))
		}
	case scheduler.Fail:
		text("Handle=", a.Request)
	case scheduler.SetTimer:
		num("Delay=", int64(math.Ceil(a.AfterMS*usPerMS)))
		num("KeyBack=", int64(a.Token))
	case scheduler.HealthCheck:
		num("Executor=", int64(a.Executor))
	case scheduler.Subscribe:
		num("Active=", 1)
	case scheduler.SendPeer:
		if a.Peer < 0 {
			text("Dest=", "*")
		} else {
			num("Dest=", int64(a.Peer))
		}
		b = base64.StdEncoding.AppendEncode(append(b, "\tData="...), a.Payload)
	case scheduler.Log:
		text("BodyText=", a.Text)
	}
	return append(b, '\n')
}

// AppendEnd writes the end of the reply to batch seq.
func AppendEnd(b []byte, seq uint64) []byte {
	return append(strconv.AppendUint(append(b, "FINISHED\tseq="...), seq, 10), '\n')
}
