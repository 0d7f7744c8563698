package chaostest

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// quick are times at which a test need not wait long.
const quickCluster = "probe = \"200ms\"\n answer = \"80ms\"\n suspect = \"800ms\"\n lease = \"2s\"\n declare = \"500ms\"\n"

// Twelve real processes join at once; a third is killed, then all but one, and started again: the views settle each time.
func TestJoinAndKills(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 12, Executors: 2, Zones: 3, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	for _, k := range []int{1, 4, 7, 10} {
		cl.Kill(k)
	}
	waitConverged(t, cl, "a third killed")
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "started again")
	for k := 1; k < 12; k++ {
		cl.Kill(k)
	}
	waitConverged(t, cl, "all but one killed")
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "all again")
	assert.Zero(t, cl.Terminate(5))
	took, err := cl.WaitUntilConverged(2 * time.Second)
	require.NoError(t, err, "nobody has to suspect one that said that it goes")
	t.Logf("a planned stop: settled in %v", took)
}

// Parted in halves and healed under load, one cut off one way, and one that stands still for long enough to be given up: nobody's
// search is answered twice or run twice for it.
func TestPartedUnderLoad(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 6, Executors: 3, Zones: 3, Store: true, ClusterSettings: quickCluster, WorkMS: 3})
	waitConverged(t, cl, "all join")
	history, end := cl.StartLoad(6, 5*time.Millisecond)
	for _, parting := range []struct {
		name  string
		knows bool
		way   func(a, b int) Link
	}{
		{"halves", true, func(a, b int) Link { return Link{Cut: a%2 != b%2} }},
		{"thirds", true, func(a, b int) Link { return Link{Cut: a%3 != b%3} }},
		{"one from all", true, func(a, b int) Link { return Link{Cut: a == 2 || b == 2} }},
		{"one way only", false, func(a, _ int) Link { return Link{Cut: a == 2, Loss: 0.05, Duplication: 0.05, DelayMS: 20} }},
	} {
		cl.Relay.SetLinks(parting.way)
		time.Sleep(2500 * time.Millisecond)
		if parting.knows {
			good, _ := cl.Converged()
			assert.False(t, good, "%s know that they are parted", parting.name)
		}
		cl.Relay.SetLinks(func(int, int) Link { return Link{} })
		waitConverged(t, cl, parting.name+" healed")
	}
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	view, err := cl.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, "gone", view["c3"])
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "awake")
	assert.Contains(t, cl.Controllers[3].Log(), "this controller stalled")
	end()
	list := history.List()
	assert.Empty(t, Check(list, cl.RunLog.Runs(), 6))
	assert.Greater(t, len(list), 300)
}

// At the usual figures, a process that stands still for 2 s stays; one that stands still for 30 s is given up, wakes up believing itself
// alive, distrusts itself, judges nobody, and is taken back.
func TestStandingStill(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 4, Executors: 1})
	waitConverged(t, cl, "all join")
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "after 2 s")
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(30 * time.Second)
	view, err := cl.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, "gone", view["c3"])
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "after 30 s")
	assert.Equal(t, 2, strings.Count(cl.Controllers[3].Log(), "this controller stalled"))
	assert.NotContains(t, cl.Controllers[3].Log(), "cluster: gone", "it judged nobody by what it did not hear")
}

// A restart under the same name, at once and with its store lost, is a later life; two processes of one name are both named.
func TestLivesAndTwins(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 4, Executors: 1, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	lives := func() string {
		a, err := cl.Call(0, "members explain", map[string]any{"name": "c2"})
		require.NoError(t, err)
		life, _ := a["life"].(string)
		return life
	}
	first := lives()
	cl.Kill(2)
	require.NoError(t, cl.Start(2))
	waitConverged(t, cl, "at once")
	require.Eventually(t, func() bool { return lives() > first }, 5*time.Second, 20*time.Millisecond)
	second := lives()
	cl.Kill(2)
	require.NoError(t, os.RemoveAll(filepath.Join(cl.Controllers[2].Directory, "store")))
	require.NoError(t, cl.Start(2))
	waitConverged(t, cl, "its store lost")
	require.Eventually(t, func() bool { return lives() > second }, 5*time.Second, 20*time.Millisecond)
	file := filepath.Join(cl.Controllers[3].Directory, "office.hcl")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	cl.Kill(3)
	require.NoError(t, os.WriteFile(file, bytes.Replace(text, []byte("fleet {\n"), []byte("fleet {\n  member = \"c2\"\n"), 1), 0o600))
	require.NoError(t, cl.Start(3))
	for _, k := range []int{2, 3} {
		require.Eventually(t, func() bool { return strings.Contains(cl.Controllers[k].Log(), "duplicate member name") }, 10*time.Second,
			20*time.Millisecond, "controller %d names the other", k)
	}
	third := lives()
	cl.Kill(2)
	cl.Kill(3)
	require.NoError(t, cl.Start(3)) // the name of c2, with the address and the store of c3
	require.Eventually(t, func() bool {
		a, err := cl.Call(0, "members explain", map[string]any{"name": "c2"})
		return err == nil && a["address"] == cl.Relay.AdvertiseAddress(3) && a["phase"] == "here" && lives() > third
	}, 10*time.Second, 20*time.Millisecond, "at another address, and no twin of the one that was killed")
}

// A council of real processes: founded, its leader killed, a voter's store lost and its place taken, a majority lost and back. No
// controller acts on a lease once the council may count it out.
func TestCouncilOfProcesses(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 1, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	leader := waitForLeader(t, cl, -1)
	waitForLeases(t, cl)
	assert.Equal(t, "in", agreedState(cl, 4, "c0"), "one that does not vote shows the record, too")
	cl.Kill(leader)
	began := time.Now()
	next := waitForLeader(t, cl, leader)
	t.Logf("led again after %v", time.Since(began).Round(10*time.Millisecond))
	lost := func(k int, state string) func() bool {
		return func() bool { return agreedState(cl, next, cl.Controllers[k].Name) == state }
	}
	require.Eventually(t, lost(leader, "lost"), 10*time.Second, 50*time.Millisecond, "the one that was killed is declared lost")
	require.NoError(t, cl.Start(leader))
	require.Eventually(t, lost(leader, "in"), 10*time.Second, 50*time.Millisecond, "its next life is let in")
	waitForLeases(t, cl)
	majority := []int{0, 1, 2}[:2]
	for _, k := range majority {
		cl.Kill(k)
	}
	for k := 2; k < 5; k++ {
		require.Eventually(t, func() bool { return !holdsLease(cl, k) }, 5*time.Second, 20*time.Millisecond, "%d: its lease ends without a majority", k)
	}
	require.NoError(t, cl.StartAll())
	waitForLeases(t, cl)
	next = waitForLeader(t, cl, -1)
	assert.Zero(t, cl.Terminate(next), "a planned stop of the leader")
	waitForLeader(t, cl, next) // by another, before it is back: then anyone may lead
	require.NoError(t, cl.Start(next))
	assert.Zero(t, cl.Terminate(4))
	next = waitForLeader(t, cl, -1)
	require.Eventually(t, lost(4, "left"), 5*time.Second, 50*time.Millisecond, "one that left is told as such, at once")
	for _, c := range cl.Controllers {
		assert.NotContains(t, c.Log(), "voter has failed")
	}
}

// The disk of a voter fills up, and one that only keeps searches fails, under load: labelled work is denied there and nowhere else, the
// voter falls silent and says so in its marks, the council goes on, no process ends; all is as before once the disks are well.
func TestDisksUnderLoad(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 2, Zones: 2, Founders: 3, Store: true, ClusterSettings: quickCluster, WorkMS: 2})
	waitConverged(t, cl, "all join")
	waitForLeases(t, cl)
	history, end := cl.StartLoad(5, 3*time.Millisecond)
	defer end()
	time.Sleep(time.Second)
	require.NoError(t, cl.SetDiskState(1, "full"))
	require.NoError(t, cl.SetDiskState(3, "failing"))
	cl.Kill(4) // something that the council has to keep
	sick := time.Now()
	leads := waitForLeader(t, cl, 1)
	require.Eventually(t, func() bool { return agreedState(cl, leads, "c4") == "lost" }, 15*time.Second, 50*time.Millisecond, "two of three voters agree")
	require.Eventually(t, func() bool { return strings.Contains(cl.Controllers[1].Log(), "voter has failed") }, 10*time.Second, 20*time.Millisecond)
	marked := func() bool {
		a, err := cl.Call(0, "members", nil)
		list, _ := a["members"].([]any)
		for _, x := range list {
			if m, _ := x.(map[string]any); err == nil && m["name"] == "c1" {
				marks, _ := m["marks"].([]any)
				return slices.Contains(marks, any("disk-sick"))
			}
		}
		return false
	}
	require.Eventually(t, marked, 5*time.Second, 20*time.Millisecond, "the others see its mark")
	time.Sleep(time.Second)
	well := time.Now()
	for _, k := range []int{1, 3} {
		require.NoError(t, cl.SetDiskState(k, "sound"))
	}
	time.Sleep(2 * time.Second)
	end()
	denied, after := map[int]int{}, map[int]int{}
	for _, a := range history.List() {
		if a.IdempotencyKey != "" && a.Result == "denied" && a.At.After(sick) && a.At.Before(well) {
			denied[a.Controller]++
		}
		if a.IdempotencyKey != "" && a.Result == "handled" && a.At.After(well.Add(time.Second)) {
			after[a.Controller]++
		}
	}
	assert.Positive(t, denied[3])
	assert.LessOrEqual(t, denied[0]+denied[2], denied[3]/10, "whose disks are well, if the machine is slow at times")
	for k := range 4 {
		assert.Positive(t, after[k], "%d handles labelled work again", k)
	}
	assert.Empty(t, Check(history.List(), cl.RunLog.Runs(), 5))
	for k := range 4 {
		assert.NotZero(t, cl.PID(k))
	}
}

// A voter is lost, and another while its place is being taken, with real processes: others take both places, and all goes on.
func TestVotersLostWhileOneIsReplaced(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 8, Executors: 1, Zones: 3, Founders: 5, Store: true, ClusterSettings: quickCluster + "replace = \"1500ms\"\nvoters = 5\n"})
	waitConverged(t, cl, "all join")
	waitForLeases(t, cl)
	leader := waitForLeader(t, cl, -1)
	lost := []int{}
	for k := 0; len(lost) < 2; k++ {
		if k != leader {
			lost = append(lost, k)
		}
	}
	cl.Kill(lost[0])
	require.Eventually(t, func() bool { return len(voters(cl, leader)) == 6 }, 20*time.Second, 5*time.Millisecond, "a newcomer learns")
	cl.Kill(lost[1])
	require.Eventually(t, func() bool {
		v := voters(cl, waitForLeader(t, cl, -1))
		return len(v) == 5 && !slices.Contains(v, cl.Controllers[lost[0]].Name) && !slices.Contains(v, cl.Controllers[lost[1]].Name)
	}, 40*time.Second, 50*time.Millisecond, "both places are taken")
	waitForLeases(t, cl)
}

// A drill as an operator plays it, with its report; one that is broken is told as such.
func TestDrill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drill.hcl")
	write := func(text string) *Script {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		s, err := ReadScript(path)
		require.NoError(t, err)
		return s
	}
	s := write("controllers = 3\nengines = 2\nclients = 3\nlength = \"4s\"\nseed = 5\nfleet = \"probe = \\\"200ms\\\"\\nanswer = \\\"80ms\\\"\\nsuspect = \\\"800ms\\\"\"\n" +
		"step \"1s\" { kill = [\"c1\"] }\nstep \"2s\" {\n parts = [[\"c0\"], [\"c2\"]]\n}\nstep \"3s\" {\n heal = true\n start = [\"c1\"]\n drain = [\"s1\"]\n disks = [\"c0\"]\n disk = \"slow 5ms\"\n}\n")
	cl := startCluster(t, Config{Controllers: 1, Executors: 1}) // builds the program
	var said bytes.Buffer
	o, err := Play(s, cl.Config.Program, t.TempDir(), &said)
	require.NoError(t, err, said.String())
	assert.Empty(t, o.Wrong)
	var html bytes.Buffer
	require.NoError(t, Report(&html, o))
	assert.Contains(t, html.String(), "<svg")
	for _, bad := range []string{"controllers = 0\nlength = \"1s\"", "controllers = 2\nlength = \"1s\"\nstep \"2s\" { heal = true }",
		"controllers = 2\nlength = \"1s\"\nstep \"0s\" { kill = [\"c7\"] }", "controllers = 2\nlength = \"x\"", "controllers = 3\nlength = \"1s\"\nfounders = 3"} {
		require.NoError(t, os.WriteFile(path, []byte(bad+"\n"), 0o600))
		_, err := ReadScript(path)
		assert.Error(t, err, bad)
	}
}

// The checker refuses what must be refused.
func TestCheckerRefuses(t *testing.T) {
	at := time.Now()
	run := func(id, mark string) testservers.Run { return testservers.Run{ID: id, IdempotencyKey: mark, At: at} }
	assert.Empty(t, Check([]SentRequest{{ID: "1", Class: "look", Result: "handled"}}, []testservers.Run{run("1", "")}, 1))
	leaving := map[string]time.Time{"s-1": at}
	assert.Empty(t, RunsAfterDrain([]testservers.Run{{ID: "1", Executor: "s-1", At: at.Add(time.Millisecond)}, {ID: "2", Executor: "s-2", At: at.Add(time.Hour)}}, leaving))
	assert.NotEmpty(t, RunsAfterDrain([]testservers.Run{{ID: "1", Executor: "s-1", At: at.Add(time.Second)}}, leaving), "a drain that is not kept")
	for name, c := range map[string]struct {
		asked []SentRequest
		runs  []testservers.Run
	}{
		"two answers":          {[]SentRequest{{ID: "1", Class: "look", Result: "denied"}, {ID: "1", Class: "look", Result: "denied"}}, nil},
		"a mark twice":         {[]SentRequest{{ID: "1", Class: "mark", IdempotencyKey: "m", Result: "handled"}}, []testservers.Run{run("1", "m"), run("2", "m")}},
		"once, twice":          {[]SentRequest{{ID: "1", Class: "once", Result: "cut off"}}, []testservers.Run{run("1", ""), run("1", "")}},
		"handled out of air":   {[]SentRequest{{ID: "1", Class: "look", Result: "handled"}}, nil},
		"denied though it ran": {[]SentRequest{{ID: "1", Class: "once", Result: "denied"}}, []testservers.Run{run("1", "")}},
		"past the ration": {[]SentRequest{{ID: "1", Class: "look", Result: "handled"}},
			[]testservers.Run{run("1", ""), run("1", ""), run("1", ""), run("1", ""), run("1", "")}},
	} {
		assert.NotEmpty(t, Check(c.asked, c.runs, 1), name)
	}
}

// A controller starts on a disk that is full or failing just then: what needs no record is handled, what needs one is denied, and
// once the disk is sound it is handled too. So it goes the first time and after a kill with searches in hand.
func TestStartsOnADiskThatIsSick(t *testing.T) {
	for _, sick := range []string{"full", "failing"} {
		cl := startCluster(t, Config{Controllers: 1, Executors: 2, WithoutCluster: true, Store: true, WorkMS: 2})
		ask := func(offering, id, mark string) (string, error) {
			c, err := testservers.Dial(cl.Controllers[0].ClientAddress, 8*time.Second)
			if err != nil {
				return "", err
			}
			defer c.Close()
			a, err := c.Submit(offering, id, mark, 2*time.Second)
			return map[int]string{0: "handled", testservers.CodeRejected: "denied"}[a.Code], err
		}
		for round := range 2 {
			id := func(n int) string { return fmt.Sprintf("%s-%d-%d", sick, round, n) }
			got, err := ask("once", id(0), "")
			require.NoError(t, err, "%s, round %d", sick, round)
			require.Equal(t, "handled", got)
			cl.Kill(0)
			require.NoError(t, cl.SetDiskState(0, sick))
			require.NoError(t, cl.Start(0))
			began := time.Now()
			got, err = ask("look", id(1), "")
			if !assert.NoError(t, err, "%s, round %d: ready within 8 s\n%.2000s", sick, round, cl.Controllers[0].Log()) {
				return
			}
			assert.Equal(t, "handled", got, sick)
			assert.Less(t, time.Since(began), 8*time.Second)
			got, err = ask("once", id(2), "")
			assert.NoError(t, err)
			assert.Equal(t, "denied", got, "%s: it can't be put on record", sick)
			require.NoError(t, cl.SetDiskState(0, "sound"))
			assert.Eventually(t, func() bool {
				got, err := ask("once", fmt.Sprint(id(3), time.Now().UnixNano()), "")
				return err == nil && got == "handled"
			}, 5*time.Second, 50*time.Millisecond, sick)
		}
	}
}

// A controller may be started while the one before it under its name is still ending: it waits for what that holds, its addresses, its
// folder and its socket, and is ready within 10 s.
func TestStartsWhileTheOneBeforeItEnds(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 2, Executors: 2, Store: true, ClusterSettings: quickCluster, WorkMS: 2})
	waitConverged(t, cl, "both join")
	cl.Executors[0].Hangs.Store(true)
	cl.Executors[1].Hangs.Store(true)
	c, err := testservers.Dial(cl.Controllers[0].ClientAddress, time.Second)
	require.NoError(t, err)
	defer c.Close()
	go func() { _, _ = c.Submit("look", "0000000000000001", "", 5*time.Second) }() // which the stop waits for
	time.Sleep(200 * time.Millisecond)
	one := cl.Controllers[0]
	require.NoError(t, cl.Signal(0, syscall.SIGTERM))
	before := one.exited
	one.cmd = nil
	time.Sleep(300 * time.Millisecond)
	select {
	case <-before:
		require.Fail(t, "it still has something to end")
	default:
	}
	began := time.Now()
	require.NoError(t, cl.Start(0))
	<-before
	cl.Executors[0].Hangs.Store(false)
	cl.Executors[1].Hangs.Store(false)
	require.Eventually(t, func() bool {
		next, err := testservers.Dial(one.ClientAddress, time.Second)
		if err != nil {
			return false
		}
		defer next.Close()
		a, err := next.Submit("look", fmt.Sprintf("%016x", time.Now().UnixNano()), "", 2*time.Second)
		return err == nil && a.Code == 0
	}, 10*time.Second, 50*time.Millisecond, "ready in time")
	t.Logf("ready %v after its start", time.Since(began))
	waitConverged(t, cl, "it is back")
}

// An engine that joins under load gets no more within its window than it stands cold, whatever its wall clock says of its start.
func TestAnEngineThatJoinsIsColdWhateverItsClockSays(t *testing.T) {
	const workMS, clients, warm = 200, 40, 3
	cold := 3 * 0.3 * 8 * 2000 / float64(workMS) // requests of that work, at the settings' least capacity
	for name, off := range map[string]time.Duration{"an hour behind": -time.Hour, "right": 0, "an hour ahead": time.Hour} {
		cl := startCluster(t, Config{Controllers: 1, Executors: warm, WithoutCluster: true, WorkMS: 5})
		cl.Kill(0)
		path := filepath.Join(cl.Controllers[0].Directory, "node.json")
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		text = bytes.Replace(text, []byte(`"DrainGrace":500000`), []byte(`"DrainGrace":500000,"ColdFrom":0.3,"FallMultiple":3,"Fall":2000000,"WarmUp":10000000`), 1)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		require.NoError(t, cl.Start(0))
		var all sync.WaitGroup
		stop := make(chan struct{})
		for w := range clients {
			all.Go(func() {
				c, err := testservers.Dial(cl.Controllers[0].ClientAddress, 5*time.Second)
				for n := 0; err == nil; n++ {
					select {
					case <-stop:
						c.Close()
						return
					default:
					}
					id := fmt.Sprintf("%08x%08x", w, n)
					_, err = c.Call("look", map[string]any{"req": id, "timeout": 4000, "ms": workMS, "ram": 1,
						"data": base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "SELECT 1 FROM s_%d.t", n%50))}, 6*time.Second)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		joins := &testservers.Executor{Name: "s-new", Zone: "z0", Work: 5 * time.Millisecond, Memory: cl.RunLog}
		require.NoError(t, joins.Start())
		t.Cleanup(joins.Stop)
		require.NoError(t, cl.discovery.PublishSince(joins, "Ready", time.Now().Add(off).UnixMilli()))
		time.Sleep(2 * time.Second)
		close(stop)
		all.Wait()
		n := 0
		for _, r := range cl.RunLog.Runs() {
			if r.Executor == joins.Name {
				n++
			}
		}
		t.Logf("%s: %d in its first 2 s", name, n)
		assert.Positive(t, n, name)
		assert.LessOrEqual(t, float64(n), cold+2*math.Sqrt(cold)+2, name)
	}
}
