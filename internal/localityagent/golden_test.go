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

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares what was written with a golden file and gives that; with -update it writes the file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s is written otherwise", name)
	return want
}

// goldenCarrier starts a carrier for a member.
func goldenCarrier(t *testing.T, name string, scout func(netip.AddrPort, []byte)) (*clusternet.Transport, membership.Member) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	c, self := clusternet.New(at, log), membership.Member{Name: name, Incarnation: 1, Address: at}
	c.LocalityDatagram = scout
	settings := membership.DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 60e3, 30e3, 120e3
	view := membership.New(c.Now(), "test", self, []string{at}, settings, 1)
	require.NoError(t, c.Start(view, nil))
	t.Cleanup(c.Stop)
	return c, self
}

var goldenPlan = &locality.Plan{Number: 300, Pairs: []locality.Pair{{From: "z0", To: "z1", Cap: 80, Shares: []locality.Share{{Name: "a", Threads: 40}, {Name: "b", Threads: 40}}}}}

func goldenSeen(out float64) []locality.Executor {
	return []locality.Executor{{Zone: "z1", Kind: "big", Cores: 8, Listed: true, Known: true, InFlight: out}}
}

// The datagrams between scouts are written as they always were.
func TestGolden_ScoutDatagrams(t *testing.T) {
	came := make(chan []byte, 64)
	_, b := goldenCarrier(t, "b", func(_ netip.AddrPort, data []byte) { came <- append([]byte(nil), data...) })
	carrier, _ := goldenCarrier(t, "a", nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := membership.New(0, "test", b, nil, membership.DefaultSettings(), 1) // its own member is the one that is sent to
	s := New(locality.New("a", "z0", "r", locality.DefaultSettings()), "a", &scheduler.Settings{}, nil, carrier, view, nil, log)
	for _, ev := range []locality.Event{
		{Kind: locality.MembersChanged, Leader: "b", Members: []locality.Member{{Name: "a", Zone: "z0", Living: true}, {Name: "b", Zone: "z0", Living: true}}},
		{Kind: locality.PlanAgreed, Plan: goldenPlan},
		{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000},
		{Kind: locality.Observed, Executors: goldenSeen(40), DemandThreads: 50}, // asks for a loan
		{Kind: locality.Observed, Executors: goldenSeen(2.5), DemandThreads: 2.5},
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", PlanNumber: 7},
		{Kind: locality.Observed, Executors: goldenSeen(2.5), DemandThreads: 2.5, Applied: 100},
		{Kind: locality.LoanRequested, From: "b", Zone: "z1", PlanNumber: 0x0123456789abcdef}, // lends
		{Kind: locality.Ticked, UnixMS: 1},                                                    // reports
	} {
		s.step(1000, &ev)
	}
	words := map[byte]string{'r': "report", 'n': "announce", 'q': "ask-loan", 'l': "give-loan"}
	got := map[byte][]byte{}
	for late := time.After(5 * time.Second); len(got) < len(words); {
		select {
		case data := <-came:
			got[data[0]] = data
		case <-late:
			require.Len(t, got, len(words), "%q", got)
		}
	}
	for kind, name := range words {
		got[kind] = golden(t, name+".bin", got[kind])
	}
	assert.Len(t, got, len(words))
}

// A report, a question for a loan and a loan are taken from the datagrams again. The loan bears the number of the question here.
func TestGolden_ScoutDatagramsRead(t *testing.T) {
	carrier, self := goldenCarrier(t, "b", nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := membership.New(0, "test", self, nil, membership.DefaultSettings(), 1)
	watch := func(name string) *Agent {
		return New(locality.New(name, "z0", "r", locality.DefaultSettings()), name, &scheduler.Settings{}, nil, carrier, view, nil, log)
	}
	step := func(s *Agent, ev locality.Event) { carrier.Post(func(float64) { s.step(1000, &ev) }) }
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join("testdata", "golden", name+".bin"))
		require.NoError(t, err)
		return data
	}
	counts := func(s *Agent) locality.Counts {
		got := make(chan locality.Counts, 1)
		carrier.Post(func(float64) {
			s.step(1000, &locality.Event{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000})
			got <- s.Monitor.Counts
		})
		return <-got
	}
	begin := func(s *Agent) {
		step(s, locality.Event{Kind: locality.MembersChanged, Leader: "b", Members: []locality.Member{{Name: "a", Zone: "z0", Living: true}, {Name: "b", Zone: "z0", Living: true}}})
		step(s, locality.Event{Kind: locality.PlanAgreed, Plan: goldenPlan})
		step(s, locality.Event{Kind: locality.PlanConfirmed, PlanNumber: 300, At: 1000})
	}
	b := watch("b")
	begin(b)
	step(b, locality.Event{Kind: locality.MembersChanged, Leader: "b", Leads: true, Members: []locality.Member{{Name: "a", Zone: "z0", Living: true}, {Name: "b", Zone: "z0", Living: true}}})
	b.heard(netip.AddrPort{}, read("report"))
	step(b, locality.Event{Kind: locality.Observed, Executors: goldenSeen(2.5), DemandThreads: 2.5})
	b.heard(netip.AddrPort{}, read("ask-loan"))
	step(b, locality.Event{Kind: locality.Observed, Executors: goldenSeen(2.5), DemandThreads: 2.5, Applied: 100})
	b.heard(netip.AddrPort{}, read("ask-loan"))
	got := counts(b)
	assert.Equal(t, []uint64{1, 0, 1}, []uint64{got.ReportsReceived, got.Malformed, got.Lent})

	a := watch("a")
	begin(a)
	step(a, locality.Event{Kind: locality.Observed, Executors: goldenSeen(40), DemandThreads: 50})
	loan := read("give-loan")
	copy(loan[3:11], read("ask-loan")[3:11])
	loan[2] = 'b'
	a.heard(netip.AddrPort{}, loan)
	assert.Equal(t, uint64(1), counts(a).Borrowed)
}
