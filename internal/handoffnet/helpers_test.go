package handoffnet

import (
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/membership"
	"liftshift/internal/placement"
	"liftshift/internal/testservers"
	"liftshift/scheduler"
)

// idle is a module that does nothing.
type idle struct{}

func (idle) Step(_ float64, _ *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	return out
}

// ear is a part that keeps what the trustee's lines bring.
type ear struct {
	mu   sync.Mutex
	came []answers
}

func (e *ear) Handle(_ float64, h *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	if a, is := h.Message.(answers); is && h.Kind == dispatch.MessagePosted {
		e.mu.Lock()
		e.came = append(e.came, a)
		e.mu.Unlock()
	}
	return out
}

func (e *ear) answers() []answers {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]answers(nil), e.came...)
}

// end is a trustee on a carriage of its own.
type end struct {
	trustee *Agent
	carrier *clusternet.Transport
	desk    *dispatch.Loop
	at      string
	deaf    atomic.Bool // to datagrams
	stops   sync.Once
}

func (e *end) stop() { e.stops.Do(e.carrier.Stop) }

var names = []string{"a", "b", "c"}

// open starts one; its desk's part is given, or is the trustee itself, which sits everywhere and holds its lease.
func open(t *testing.T, name string, part dispatch.Extension) *end {
	log := logrus.New()
	log.SetOutput(io.Discard)
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	clock := dispatch.NewClock()
	e := &end{carrier: clusternet.New(at, log), desk: dispatch.New(clock, idle{}, log), at: at}
	settings := handoff.DefaultSettings()
	settings.Classes = []scheduler.RequestClass{{Name: "mark", Effect: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3}}
	e.trustee = New(handoff.Member{Name: name, Incarnation: 1}, settings, 1, e.desk, clock, e.carrier, log)
	e.trustee.held = func() bool { return true }
	e.trustee.listen()
	hear := e.carrier.HandoffDatagram
	e.carrier.HandoffDatagram = func(from netip.AddrPort, data []byte) {
		if !e.deaf.Load() {
			hear(from, data)
		}
	}
	if part == nil {
		part = e.trustee
	}
	e.desk.Register(part)
	seen := membership.DefaultSettings()
	seen.ProbeMS, seen.AnswerMS, seen.SuspectMS = 60e3, 30e3, 120e3
	view := membership.New(e.carrier.Now(), "test", membership.Member{Name: name, Incarnation: 1, Address: at}, []string{at}, seen, 1)
	require.NoError(t, e.carrier.Start(view, nil))
	go e.desk.Run()
	t.Cleanup(func() {
		e.stop()
		e.desk.Stop()
		e.trustee.Close()
	})
	if part == e.trustee {
		var places []placement.Member
		for _, n := range names {
			places = append(places, placement.Member{Name: n, Incarnation: 1})
		}
		var table placement.Table
		table.Reassign(places, 1)
		table.Step = 1
		e.desk.Call(func(now float64) {
			e.trustee.Step(now, &handoff.Event{Kind: handoff.PlacementChanged, Members: places, Table: &table})
		})
	}
	return e
}

// pair is one that says things and hears what comes back, and one that answers.
func pair(t *testing.T) (a, b *end, heard *ear) {
	heard = &ear{}
	b = open(t, "b", nil)
	a = open(t, "a", heard)
	a.trustee.addresses.Store(&map[string]string{"b": b.at})
	return a, b, heard
}

// ask says words that ask for so many keys.
func (e *end) ask(keys ...string) {
	b := &handoff.Batch{From: handoff.Member{Name: "a", Incarnation: 1}, Version: 1}
	for _, k := range keys {
		b.Items = append(b.Items, handoff.Item{Op: handoff.OpQuery, Key: handoff.KeyOf(k, "")})
	}
	e.trustee.say("b", b, e.trustee.clock.Now())
}

func (e *ear) waits(t *testing.T, n int) []answers {
	require.Eventually(t, func() bool { return len(e.answers()) >= n }, 3*time.Second, time.Millisecond)
	return e.answers()
}
