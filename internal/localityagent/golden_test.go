package localityagent

import (
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/clusternet"
	"liftshift/internal/locality"
	"liftshift/internal/membership"
	"liftshift/internal/testservers"
	"liftshift/scheduler"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares bytes with a file of testdata/golden and returns the content of the file.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s is encoded differently", name)
	return want
}

// startTransport starts a member's transport.
func startTransport(t *testing.T, name string, receive func(netip.AddrPort, []byte)) (*clusternet.Transport, membership.Member) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	c, self := clusternet.New(at, log), membership.Member{Name: name, Incarnation: 1, Address: at}
	c.LocalityDatagram = receive
	settings := membership.DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 60e3, 30e3, 120e3
	view := membership.New(c.Now(), "test", self, []string{at}, settings, 1)
	require.NoError(t, c.Start(view, nil))
	t.Cleanup(c.Stop)
	return c, self
}

var goldenPlan = &locality.Plan{Number: 300, Pairs: []locality.Pair{{From: "z0", To: "z1", Cap: 80, Shares: []locality.Share{{Name: "a", Threads: 40}, {Name: "b", Threads: 40}}}}}

func goldenExecutors(out float64) []locality.Executor {
	return []locality.Executor{{Zone: "z1", Kind: "big", Cores: 8, Listed: true, Known: true, InFlight: out}}
}

// The datagrams between agents keep their bytes.
func TestGolden_LocalityAgentDatagrams(t *testing.T) {
	received := make(chan []byte, 64)
	_, b := startTransport(t, "b", func(_ netip.AddrPort, data []byte) { received <- append([]byte(nil), data...) })
	transport, _ := startTransport(t, "a", nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := membership.New(0, "test", b, nil, membership.DefaultSettings(), 1) // its only member is the recipient
	s := New(locality.New("a", "z0", "r", locality.DefaultSettings()), "a", &scheduler.Settings{}, nil, transport, view, nil, log)
	for _, ev := range []locality.Event{
		{Kind: locality.MembersChanged, Leader: "b", Members: []locality.Member{{Name: "a", Zone: "z0", Live: true}, {Name: "b", Zone: "z0", Live: true}}},
		{Kind: locality.PlanAgreed, Plan: goldenPlan},
		{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000},
		{Kind: locality.Observed, Executors: goldenExecutors(40), DemandThreads: 50}, // leads to a loan request
		{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5},
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", PlanNumber: 7},
		{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5, Applied: 100},
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", PlanNumber: 0x0123456789abcdef}, // leads to a loan
		{Kind: locality.Ticked, UnixMS: 1},                                                    // leads to a report
	} {
		s.step(1000, &ev)
	}
	files := map[byte]string{'r': "report", 'n': "announce", 'q': "ask-loan", 'l': "give-loan"}
	got := map[byte][]byte{}
	for late := time.After(5 * time.Second); len(got) < len(files); {
		select {
		case data := <-received:
			got[data[0]] = data
		case <-late:
			require.Len(t, got, len(files), "%q", got)
		}
	}
	for kind, name := range files {
		got[kind] = golden(t, name+".bin", got[kind])
	}
	assert.Len(t, got, len(files))
}

// A report, a loan request and a loan are decoded. The loan is given the ID of the request here.
func TestGolden_LocalityAgentDatagramsDecoded(t *testing.T) {
	transport, self := startTransport(t, "b", nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := membership.New(0, "test", self, nil, membership.DefaultSettings(), 1)
	newAgent := func(name string) *Agent {
		return New(locality.New(name, "z0", "r", locality.DefaultSettings()), name, &scheduler.Settings{}, nil, transport, view, nil, log)
	}
	step := func(s *Agent, ev locality.Event) { transport.Post(func(float64) { s.step(1000, &ev) }) }
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join("testdata", "golden", name+".bin"))
		require.NoError(t, err)
		return data
	}
	counts := func(s *Agent) locality.Counts {
		got := make(chan locality.Counts, 1)
		transport.Post(func(float64) {
			s.step(1000, &locality.Event{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000})
			got <- s.Monitor.Counts
		})
		return <-got
	}
	prepare := func(s *Agent) {
		step(s, locality.Event{Kind: locality.MembersChanged, Leader: "b", Members: []locality.Member{{Name: "a", Zone: "z0", Live: true}, {Name: "b", Zone: "z0", Live: true}}})
		step(s, locality.Event{Kind: locality.PlanAgreed, Plan: goldenPlan})
		step(s, locality.Event{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000})
	}
	b := newAgent("b")
	prepare(b)
	step(b, locality.Event{Kind: locality.MembersChanged, Leader: "b", Leads: true, Members: []locality.Member{{Name: "a", Zone: "z0", Live: true}, {Name: "b", Zone: "z0", Live: true}}})
	b.receiveDatagram(netip.AddrPort{}, read("report"))
	step(b, locality.Event{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5})
	b.receiveDatagram(netip.AddrPort{}, read("ask-loan"))
	step(b, locality.Event{Kind: locality.Observed, Executors: goldenExecutors(2.5), DemandThreads: 2.5, Applied: 100})
	b.receiveDatagram(netip.AddrPort{}, read("ask-loan"))
	got := counts(b)
	assert.Equal(t, []uint64{1, 0, 1}, []uint64{got.ReportsReceived, got.Malformed, got.Lent})

	a := newAgent("a")
	prepare(a)
	step(a, locality.Event{Kind: locality.Observed, Executors: goldenExecutors(40), DemandThreads: 50})
	loan := read("give-loan")
	copy(loan[3:11], read("ask-loan")[3:11])
	loan[2] = 'b'
	a.receiveDatagram(netip.AddrPort{}, loan)
	assert.Equal(t, uint64(1), counts(a).Borrowed)
}
