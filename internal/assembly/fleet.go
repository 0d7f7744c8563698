package assembly

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/adminapi"
	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/membership"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/raftnode"
	"liftshift/internal/settings"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

const (
	lifeNote    = "fleet life"
	version     = 1  // of what this program can say to others
	mostLines   = 40 // lines of the log for changes in the fleet, in so long
	linesSpan   = 10 * time.Second
	changedRoom = 64
)

// fleet joins the view of the fleet to a controller: who uses it, what is logged, what is asked of it. It decides nothing.
type fleet struct {
	inst    *Extensions
	file    *operatorconfig.Cluster
	carrier *clusternet.Transport
	view    *membership.View // the carrier's goroutine owns it
	seat    *raftnode.Node   // nil: no council
	clock   dispatch.Clock
	log     logrus.FieldLogger
	changes chan float64 // how many there are, for the desk
	ended   chan struct{}

	lines    int
	linesAt  float64
	unsaid   uint64
	present  float64
	counts   atomic.Pointer[membership.Counts]
	declared atomic.Uint64
	sick     atomic.Bool // the disk of this voter does not take what must last
}

// openFleet makes the view and begins to listen, where the file has a block fleet.
func (i *Extensions) openFleet(name string, platform *settings.Settings, clock dispatch.Clock) error {
	file := i.file.Cluster
	if file == nil {
		return nil
	}
	if file.Member != "" {
		name = file.Member
	}
	if name == "" {
		return fmt.Errorf("fleet: this controller has no name: give member, or a name in the platform's configuration")
	}
	f := &fleet{inst: i, file: file, clock: clock, log: i.log, changes: make(chan float64, changedRoom), ended: make(chan struct{})}
	f.carrier = clusternet.New(file.Listen, i.log)
	f.carrier.OnEffect = f.said
	self := membership.Member{Name: name, Incarnation: f.life(), Address: file.Address, Zone: file.Zone, Region: file.Region, Version: version}
	seed := crc32.ChecksumIEEE([]byte(name + strconv.FormatUint(self.Incarnation, 10)))
	f.view = membership.New(f.carrier.Now(), file.Name, self, file.Seeds, file.Membership, seed)
	if err := f.openSeat(seed, platform); err != nil {
		return err
	}
	i.fleet = f
	i.log.WithFields(logrus.Fields{"fleet": file.Name, "member": name, "life": self.Incarnation, "address": file.Address}).Info("fleet: joining")
	return nil
}

// openSeat begins to listen, with a seat in the council where the file names its founders.
func (f *fleet) openSeat(seed uint32, platform *settings.Settings) error {
	if len(f.file.Founders) == 0 {
		return f.carrier.Start(f.view, nil)
	}
	folder, err := vfs.OpenDir(filepath.Join(f.inst.file.Store.Directory, "council"), true)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	if f.seat, err = raftnode.New(f.carrier, f.view, vfs.WithFaults(folder), f.file.Founders, f.file.Consensus, seed, f.log); err != nil {
		return err
	}
	f.seat.OnEffect = f.agreed
	if f.inst.file.Handoff != nil {
		if err := f.inst.openHeirs(f, seed, platform); err != nil {
			return err
		}
	}
	if f.inst.file.Locality != nil {
		f.inst.openLookout(f, &platform.Scheduler)
	}
	return f.carrier.Start(f.view, f.seat)
}

// marks are what this controller tells of itself.
func (f *fleet) marks(m membership.Flags) membership.Flags {
	if f.seat != nil {
		m |= membership.CanVote
	}
	if f.sick.Load() {
		m = m&^membership.CanVote | membership.DiskFailing
	}
	return m
}

// agreed takes what the council says; the carrier's goroutine calls it.
func (f *fleet) agreed(now float64, e consensus.Effect) {
	log := f.log.WithFields(logrus.Fields{"member": e.Name, "life": e.Incarnation, "term": e.Term})
	switch e.Kind {
	case consensus.MemberLost:
		f.declared.Add(1)
		log.WithField("why", e.Reason).Warn("council: a life is declared lost")
	case consensus.MemberAdmitted:
		f.line(now).WithFields(logrus.Fields{"member": e.Name, "life": e.Incarnation, "term": e.Term}).Info("council: a life is let in")
	case consensus.LeaderChanged:
		f.log.WithField("leader", e.Name).Info("council: led by another")
	case consensus.GroupFormed:
		f.log.Info("council: founded")
	case consensus.LeaseChanged:
		if e.Held {
			f.log.Info("council: this controller holds its lease")
		} else {
			f.log.Warn("council: this controller's lease is over")
		}
	case consensus.IncarnationRevoked:
		f.log.Warn("council: this life has been declared lost; going on as another")
		f.carrier.RaiseIncarnation(now)
	case consensus.VoterFailed:
		f.log.WithField("why", e.Reason).Error("council: this voter can't go on; the others do")
		f.sick.Store(true)
		go f.carrier.SetFlag(f.marks(membership.Ready))
	}
}

// showCouncil gives how this member stands to the council, and what is agreed.
func (f *fleet) showCouncil(now float64, record consensus.Record) map[string]any {
	s := f.seat.Status(now)
	var voters, places []any
	for _, v := range record.Voters {
		m, _ := f.view.Find(v.Name)
		voters = append(voters, map[string]any{"name": v.Name, "zone": m.Zone, "phase": m.State.String(), "id": strconv.FormatUint(v.ID, 16)})
	}
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		p := record.Members[name]
		places = append(places, map[string]any{"name": name, "life": strconv.FormatUint(p.Incarnation, 10), "term": float64(p.Term), "lost": p.Lost, "left": p.LeftGracefully})
	}
	return map[string]any{"founded": s.Formed, "voter": s.Voter, "broken": s.Failed, "leader": s.Leader, "term": float64(s.Term),
		"commit": float64(s.Commit), "log": float64(s.LogEntries), "held": s.LeaseHeld, "lease_ms": math.Round(s.LeaseLeftMS), "voters": voters, "places": places,
		"declared": float64(record.DeclaredLost)}
}

// life gives the number of this start: later than any that is on record here, and than any start before by the machine's clock.
func (f *fleet) life() uint64 {
	life := uint64(max(1, time.Now().UnixMilli()))
	if f.inst.keep == nil {
		return life
	}
	for _, n := range f.inst.keep.OperatorNotes() {
		if n.ID != lifeNote {
			continue
		}
		if before, err := strconv.ParseUint(string(n.Body), 10, 64); err == nil && before >= life {
			life = before + 1
		}
	}
	f.keepLife(life)
	return life
}

func (f *fleet) keepLife(life uint64) {
	f.inst.keep.Step(f.clock.Now(), &ledger.Event{Kind: ledger.OperatorNoteSet, ID: lifeNote, Body: []byte(strconv.FormatUint(life, 10))})
}

// begin tells the others that this controller serves, and the module how many there are whenever that changes.
func (f *fleet) begin() {
	if f == nil {
		return
	}
	f.carrier.SetFlag(f.marks(membership.Ready))
	go func() {
		for {
			select {
			case n := <-f.changes:
				f.inst.desk.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ControllersCounted, Value: n}})
				if t := f.inst.team; t != nil {
					f.inst.desk.Put(dispatch.QueueItem{Call: func(float64) { t.parts.Owners(int(n)) }})
				}
			case <-f.ended:
				return
			}
		}
	}()
}

func (f *fleet) stopping() {
	if f != nil {
		f.carrier.SetFlag(f.marks(membership.Draining))
		f.carrier.Leave()
	}
}

func (f *fleet) close() {
	if f != nil {
		if f.seat != nil {
			f.seat.ReleaseLease()
		}
		f.carrier.Stop()
		close(f.ended)
	}
}

// said takes what the view says; the carrier's goroutine calls it.
func (f *fleet) said(now float64, e membership.Effect) {
	m := &e.Member
	switch e.Kind {
	case membership.MemberChanged:
		if m.Name != f.view.Self().Name {
			line := f.line(now).WithFields(logrus.Fields{"member": m.Name, "life": m.Incarnation, "was": e.From.String(), "zone": m.Zone, "why": e.Reason})
			if m.State == membership.Dead || m.State == membership.Suspect {
				line.Warn("fleet: " + m.State.String())
			} else if e.From != m.State {
				line.Info("fleet: " + m.State.String())
			}
		}
	case membership.SelfIncarnationRaised:
		f.log.WithField("life", m.Incarnation).Warn("fleet: the others knew a later life of this name; this one goes on under a later still")
		if f.inst.keep != nil {
			life := m.Incarnation
			go f.inst.desk.Put(dispatch.QueueItem{Call: func(float64) { f.keepLife(life) }})
		}
	case membership.DuplicateName:
		f.log.WithFields(logrus.Fields{"name": m.Name, "address": m.Address, "life": m.Incarnation, "why": e.Reason}).Error("fleet: a name borne twice")
	case membership.SelfStalled:
		f.line(now).WithField("ms", math.Round(e.MS)).Warn("fleet: this controller stood still, and judges nobody by it")
	case membership.PartitionSuspected:
		f.log.Warn("fleet: many went at once; it may be this controller that is cut off")
	}
	if n := f.view.Present(); n != f.present {
		select {
		case f.changes <- n:
			f.present = n
		default: // told with the next change
		}
	}
	c := f.view.Counts()
	f.counts.Store(&c)
}

// line bounds the lines that a fleet in trouble costs.
func (f *fleet) line(now float64) logrus.FieldLogger {
	if now > f.linesAt+float64(linesSpan/time.Millisecond) {
		if f.unsaid > 0 {
			f.log.WithField("lines", f.unsaid).Warn("fleet: further changes were not logged one by one")
		}
		f.lines, f.linesAt, f.unsaid = 0, now, 0
	}
	if f.lines++; f.lines > mostLines {
		f.unsaid++
		return silence
	}
	return f.log
}

// silence is a log that says nothing.
var silence = func() logrus.FieldLogger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return l
}()

// count logs the counters.
func (f *fleet) count() {
	if f == nil {
		return
	}
	c := f.counts.Load()
	if c == nil {
		return
	}
	f.log.WithFields(logrus.Fields{"probes": c.Probes, "unanswered": c.Unanswered, "indirect": c.Indirect, "refuted": c.Refuted,
		"condemned": c.Condemned, "stalls": c.Stalls, "sent": c.Sent, "sent_bytes": c.SentBytes, "heard": c.Heard, "foreign": c.Foreign,
		"newer": c.Newer, "malformed": c.Malformed, "exchanges": c.Exchanges, "merged": c.Merged, "crowded": c.Crowded,
		"dropped": f.carrier.Dropped.Load(), "calls_lost": f.carrier.CallsLost.Load(), "declared": f.declared.Load()}).Info("fleet")
}

// answer answers the questions of the operators' tools that are the fleet's.
func (f *fleet) answer(question string, fields map[string]any) (ours bool, out map[string]any, err error) {
	if !strings.HasPrefix(question, "members") && !strings.HasPrefix(question, "council") {
		return false, nil, nil
	}
	if f == nil {
		return true, nil, adminapi.RequestErrorf("there is no fleet: the operators' file has no block fleet")
	}
	var record consensus.Record
	if question == "council" && f.seat != nil {
		if record, err = f.seat.Record(); err != nil {
			return true, nil, fmt.Errorf("council: the member that leads did not tell the record: %w", err)
		}
	}
	done := f.carrier.Do(func(now float64, v *membership.View) {
		switch question {
		case "members":
			out = f.show(now, v)
		case "members explain":
			name, _ := fields["name"].(string)
			out, err = explain(now, v, name)
		case "council":
			if f.seat == nil {
				err = adminapi.RequestErrorf("there is no council: the block fleet names no founders")
				return
			}
			out = f.showCouncil(now, record)
		case "council move":
			from, _ := fields["from"].(string)
			to, _ := fields["to"].(string)
			if f.seat == nil {
				err = adminapi.RequestErrorf("there is no council: the block fleet names no founders")
			} else if err = f.seat.ReplaceVoter(now, from, to); err != nil {
				err = adminapi.RequestErrorf("%v", err)
			}
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

func names(m membership.Flags) (list []any) {
	for _, n := range m.Names() {
		list = append(list, n)
	}
	return list
}

// show gives the whole view.
func (f *fleet) show(now float64, v *membership.View) map[string]any {
	var list []any
	for _, m := range v.Members() {
		list = append(list, map[string]any{"name": m.Name, "life": strconv.FormatUint(m.Incarnation, 10), "incarnation": float64(m.Refutation),
			"phase": m.State.String(), "marks": names(m.Flags), "address": m.Address, "zone": m.Zone, "region": m.Region,
			"version": float64(m.Version), "for_ms": math.Round(now - m.Since)})
	}
	c := v.Counts()
	return map[string]any{"fleet": f.file.Name, "self": v.Self().Name, "members": list, "present": v.Present(),
		"slow": float64(v.Health()), "probes": float64(c.Probes), "unanswered": float64(c.Unanswered), "sent": float64(c.Sent),
		"sent_bytes": float64(c.SentBytes), "heard": float64(c.Heard), "hash": strconv.FormatUint(v.Hash(), 16)}
}

// explain gives what was noticed of a member.
func explain(now float64, v *membership.View, name string) (map[string]any, error) {
	m, known := v.Find(name)
	if !known {
		return nil, adminapi.RequestErrorf("no member %q is known here", name)
	}
	var list []any
	for _, e := range v.Explain(name) {
		list = append(list, map[string]any{"ago_ms": math.Round(now - e.At), "what": e.Observation, "who": e.Reporter})
	}
	return map[string]any{"name": m.Name, "phase": m.State.String(), "for_ms": math.Round(now - m.Since), "address": m.Address,
		"life": strconv.FormatUint(m.Incarnation, 10), "incarnation": float64(m.Refutation), "accused_by": m.AccusedBy, "evidence": list}, nil
}
