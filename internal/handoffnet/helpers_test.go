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

// idle is a decision module that does nothing.
type idle struct{}

func (idle) Step(_ float64, _ *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	return out
}

// receiver is an extension that records what the agent's streams post.
type receiver struct {
	mu       sync.Mutex
	answered []batchAnswered
}

func (r *receiver) Handle(_ float64, event *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	if a, is := event.Message.(batchAnswered); is && event.Kind == dispatch.MessagePosted {
		r.mu.Lock()
		r.answered = append(r.answered, a)
		r.mu.Unlock()
	}
	return out
}

func (r *receiver) answers() []batchAnswered {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]batchAnswered(nil), r.answered...)
}

// member is an agent with a transport of its own.
type member struct {
	agent          *Agent
	transport      *clusternet.Transport
	loop           *dispatch.Loop
	at             string
	dropsDatagrams atomic.Bool // on their way to it
	stops          sync.Once
}

func (m *member) stop() { m.stops.Do(m.transport.Stop) }

var names = []string{"a", "b", "c"}

// open starts one; its loop's extension is given, or is the agent itself, a replica of all partitions that holds its lease.
func open(t *testing.T, name string, extension dispatch.Extension) *member {
	log := logrus.New()
	log.SetOutput(io.Discard)
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	clock := dispatch.NewClock()
	m := &member{transport: clusternet.New(at, log), loop: dispatch.New(clock, idle{}, log), at: at}
	settings := handoff.DefaultSettings()
	settings.Classes = []scheduler.RequestClass{{Name: "mark", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3}}
	m.agent = New(handoff.Member{Name: name, Incarnation: 1}, settings, 1, m.loop, clock, m.transport, log)
	m.agent.leaseHeld = func() bool { return true }
	m.agent.listen()
	receive := m.transport.HandoffDatagram
	m.transport.HandoffDatagram = func(from netip.AddrPort, data []byte) {
		if !m.dropsDatagrams.Load() {
			receive(from, data)
		}
	}
	if extension == nil {
		extension = m.agent
	}
	m.loop.Register(extension)
	viewSettings := membership.DefaultSettings()
	viewSettings.ProbeMS, viewSettings.AnswerMS, viewSettings.SuspectMS = 60e3, 30e3, 120e3
	view := membership.New(m.transport.Now(), "test", membership.Member{Name: name, Incarnation: 1, Address: at}, []string{at}, viewSettings, 1)
	require.NoError(t, m.transport.Start(view, nil))
	go m.loop.Run()
	t.Cleanup(func() {
		m.stop()
		m.loop.Stop()
		m.agent.Close()
	})
	if extension == m.agent {
		var members []placement.Member
		for _, n := range names {
			members = append(members, placement.Member{Name: n, Incarnation: 1})
		}
		var table placement.Table
		table.Reassign(members, 1)
		table.Step = 1
		m.loop.Call(func(now float64) {
			m.agent.Step(now, &handoff.Event{Kind: handoff.PlacementChanged, Members: members, Table: &table})
		})
	}
	return m
}

// pair returns a member that sends and records what comes back, and one that answers.
func pair(t *testing.T) (a, b *member, received *receiver) {
	received = &receiver{}
	b = open(t, "b", nil)
	a = open(t, "a", received)
	a.agent.addresses.Store(&map[string]string{"b": b.at})
	return a, b, received
}

// ask sends one batch that queries so many keys.
func (m *member) ask(keys ...string) {
	batch := &handoff.Batch{From: handoff.Member{Name: "a", Incarnation: 1}, Version: 1}
	for _, k := range keys {
		batch.Items = append(batch.Items, handoff.Item{Op: handoff.OpQuery, Key: handoff.KeyOf(k, "")})
	}
	m.agent.sendBatch("b", batch, m.agent.clock.Now())
}

// waits returns what was posted, once that is so much.
func (r *receiver) waits(t *testing.T, n int) []batchAnswered {
	require.Eventually(t, func() bool { return len(r.answers()) >= n }, 3*time.Second, time.Millisecond)
	return r.answers()
}
