package localityagent

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/clusternet"
	"liftshift/internal/goldenfile"
	"liftshift/internal/locality"
	"liftshift/internal/membership"
	"liftshift/internal/testlog"
	"liftshift/internal/testservers"
	"liftshift/scheduler"
)

// startTransport starts a member's transport and returns it with the member.
func startTransport(t *testing.T, name string,
	receive func(netip.AddrPort, []byte)) (*clusternet.Transport, membership.Member) {
	t.Helper()
	address, err := testservers.FreeAddress()
	require.NoError(t, err)
	transport := clusternet.New(address, testlog.Discard())
	self := membership.Member{Name: name, Incarnation: 1, Address: address}
	transport.LocalityDatagram = receive
	settings := membership.DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 60e3, 30e3, 120e3 // longer than the test
	view := membership.New(transport.Now(), "test", self, []string{address}, settings, 1)
	require.NoError(t, transport.Start(view, nil))
	t.Cleanup(transport.Stop)
	return transport, self
}

// newTestAgent returns an agent in zone z0 without a node and a dispatch loop.
func newTestAgent(name string, transport *clusternet.Transport, view *membership.View) *Agent {
	monitor := locality.New(name, "z0", "r", locality.DefaultSettings())
	return New(monitor, name, &scheduler.Settings{}, nil, transport, view, nil, testlog.Discard())
}

var (
	goldenMembers = []locality.Member{{Name: "a", Zone: "z0", Live: true}, {Name: "b", Zone: "z0", Live: true}}
	goldenPlan    = &locality.Plan{Number: 300, Pairs: []locality.ZonePair{{From: "z0", To: "z1", Cap: 80,
		Shares: []locality.Share{{Name: "a", Threads: 40}, {Name: "b", Threads: 40}}}}}
)

// goldenExecutors returns an executor in zone z1 with the given threads in flight.
func goldenExecutors(inFlight float64) []locality.Executor {
	return []locality.Executor{{Zone: "z1", Kind: "big", Cores: 8, Listed: true, HasEvidence: true, InFlight: inFlight}}
}

// Guards the bytes of the datagrams between agents, which are a wire format.
func TestGolden_LocalityAgentDatagrams(t *testing.T) {
	received := make(chan []byte, 64)
	receive := func(_ netip.AddrPort, data []byte) { received <- append([]byte(nil), data...) }
	_, recipient := startTransport(t, "b", receive)
	transport, _ := startTransport(t, "a", nil)
	// The recipient is the only member of the view: datagrams to other members are not sent.
	view := membership.New(0, "test", recipient, nil, membership.DefaultSettings(), 1)
	agent := newTestAgent("a", transport, view)
	for _, ev := range []locality.Event{
		{Kind: locality.MembersChanged, Leader: "b", Members: goldenMembers},
		{Kind: locality.PlanAgreed, Plan: goldenPlan}, // leads to an announcement
		{Kind: locality.PlanConfirmed, Number: 300, RequestedAt: 1000},
		{Kind: locality.Observed, Executors: goldenExecutors(40), DemandThreads: 50}, // leads to a loan request
		{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5},
		// Reserves threads, which may be lent once the scheduler has applied the lower limit.
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", Number: 7},
		{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5, AppliedReachVersion: 100},
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", Number: 0x0123456789abcdef}, // leads to a loan
		{Kind: locality.Ticked, UnixMS: 1},                                                // leads to a report
	} {
		agent.step(1000, &ev)
	}
	files := map[byte]string{'r': "report", 'n': "announce", 'q': "ask-loan", 'l': "give-loan"}
	got := map[byte][]byte{}
	for timeout := time.After(5 * time.Second); len(got) < len(files); {
		select {
		case data := <-received:
			got[data[0]] = data
		case <-timeout:
			require.Len(t, got, len(files), "kinds of datagrams that arrived in time: %q", got)
		}
	}
	for kind, name := range files {
		got[kind] = goldenfile.Compare(t, name+".bin", got[kind])
	}
	assert.Len(t, got, len(files))
}

// Guards the decoding of the golden datagrams: a report, a loan request and a loan must take effect. Agent b gets the
// report and the request. Agent a makes a loan request of its own; the loan is given the ID of that request here.
func TestGolden_LocalityAgentDatagramsDecoded(t *testing.T) {
	transport, self := startTransport(t, "b", nil)
	view := membership.New(0, "test", self, nil, membership.DefaultSettings(), 1)
	step := func(agent *Agent, ev locality.Event) {
		transport.Post(func(float64) { agent.step(1000, &ev) })
	}
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join("testdata", "golden", name+".bin"))
		require.NoError(t, err)
		return data
	}
	counts := func(agent *Agent) locality.Counts {
		got := make(chan locality.Counts, 1)
		transport.Post(func(float64) {
			agent.step(1000, &locality.Event{Kind: locality.PlanConfirmed, Number: 300, RequestedAt: 1000})
			got <- agent.Monitor.Counts
		})
		return <-got
	}
	prepare := func(agent *Agent) {
		step(agent, locality.Event{Kind: locality.MembersChanged, Leader: "b", Members: goldenMembers})
		step(agent, locality.Event{Kind: locality.PlanAgreed, Plan: goldenPlan})
		step(agent, locality.Event{Kind: locality.PlanConfirmed, Number: 300, RequestedAt: 1000})
	}
	observe := func(agent *Agent, inFlight, demand float64, applied uint64) {
		step(agent, locality.Event{Kind: locality.Observed, Executors: goldenExecutors(inFlight), DemandThreads: demand,
			AppliedReachVersion: applied})
	}
	b := newTestAgent("b", transport, view)
	prepare(b)
	step(b, locality.Event{Kind: locality.MembersChanged, Leader: "b", Leads: true, Members: goldenMembers})
	b.receiveDatagram(netip.AddrPort{}, read("report"))
	observe(b, 2.5, 2.5, 0)
	b.receiveDatagram(netip.AddrPort{}, read("ask-loan"))
	observe(b, 2.5, 2.5, 100)
	b.receiveDatagram(netip.AddrPort{}, read("ask-loan"))
	got := counts(b)
	assert.Equal(t, uint64(1), got.ReportsReceived, "reports that b received")
	assert.Equal(t, uint64(0), got.Malformed, "malformed reports that b received")
	assert.Equal(t, uint64(1), got.Lent, "loans that b granted")

	a := newTestAgent("a", transport, view)
	prepare(a)
	observe(a, 40, 50, 0)
	loan := read("give-loan")
	const nameOffset, idOffset = headerBytes, headerBytes + 1 // the names have one byte
	copy(loan[idOffset:idOffset+loanIDBytes], read("ask-loan")[idOffset:])
	loan[nameOffset] = 'b'
	a.receiveDatagram(netip.AddrPort{}, loan)
	assert.Equal(t, uint64(1), counts(a).Borrowed, "loans that a received")
}
