package chaostest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// waitForReplicas waits until all that run know who sits where, and hold their leases.
func waitForReplicas(t *testing.T, cl *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range cl.Controllers {
			if c.Running() {
				a, err := cl.Call(k, "estate", nil)
				if err != nil || a["held"] != true || a["parts"] != 32.0 || a["parts_settled"] != 32.0 {
					return false
				}
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond, "all know who keeps copies")
}

// clientResult is how a search of a client ended there.
type clientResult struct {
	id, key, result string
	latency         time.Duration
}

// submitAll has so many clients make a search each at a controller, at once, and gives a call that waits for them.
func submitAll(cl *Cluster, k, n int, offering, tag string, marks bool) func() []clientResult {
	out := make([]clientResult, n)
	var all sync.WaitGroup
	for w := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			o := clientResult{id: fmt.Sprintf("%s-%d", tag, w), result: "cut off"}
			if marks {
				o.key = fmt.Sprintf("m%d", w)
			}
			began := time.Now()
			if c, err := testservers.Dial(cl.Controllers[k].ClientAddress, time.Second); err == nil {
				defer c.Close()
				if a, err := c.Submit(offering, o.id, o.key, 5*time.Second); err == nil {
					o.result = map[int]string{0: "handled", testservers.CodeRejected: "denied"}[a.Code]
					if o.result == "" {
						o.result = "written off"
					}
				}
			}
			o.latency = time.Since(began)
			out[w] = o
		}()
	}
	return func() []clientResult { all.Wait(); return out }
}

func countResults(list []clientResult) map[string]int {
	n := map[string]int{}
	for _, o := range list {
		n[o.result]++
	}
	return n
}

// keysRunTwice gives the marks that ran more than once.
func keysRunTwice(cl *Cluster) (marks []string) {
	n := map[string]int{}
	for _, r := range cl.RunLog.Runs() {
		key := r.IdempotencyKey
		if key == "" {
			key = r.ID
		}
		if n[key]++; n[key] == 2 {
			marks = append(marks, key)
		}
	}
	return marks
}

func startHandoffCluster(t *testing.T, copies string, drops time.Duration) *Cluster {
	cl := startCluster(t, Config{Controllers: 5, Executors: 3, Founders: 3, Store: true, ClusterSettings: quickCluster, HandoffSettings: copies, DedupWindow: drops, WorkMS: 10, OutcomeTimeout: 20 * time.Second,
		WorkByClass: map[string]time.Duration{"mark": 1200 * time.Millisecond, "once": 1200 * time.Millisecond}})
	waitConverged(t, cl, "all join")
	waitForReplicas(t, cl)
	return cl
}

// A controller with thirty labelled searches in hand is killed, and its clients come again elsewhere at once, with their marks, thrice.
// Engines that drop repeats: all are handled. Engines that drop none: what was sent is written off. Nothing runs twice.
func TestKilledWithSearchesInHand(t *testing.T) {
	for _, drops := range []time.Duration{20 * time.Second, -1} {
		cl := startHandoffCluster(t, "copies = 2", drops)
		first := submitAll(cl, 4, 30, "mark", "a", true)
		time.Sleep(300 * time.Millisecond)
		cl.Kill(4)
		assert.Equal(t, 30, countResults(first())["cut off"])
		second, third := submitAll(cl, 0, 30, "mark", "b", true), submitAll(cl, 1, 30, "mark", "c", true)
		counts := countResults(append(second(), third()...))
		t.Logf("drops %v: %v", drops, counts)
		assert.Empty(t, keysRunTwice(cl))
		if drops < 0 { // what had not been sent yet was sent by heirs
			assert.NotZero(t, counts["written off"])
			assert.NotZero(t, counts["handled"])
		} else {
			assert.Greater(t, counts["handled"], 30, "%v: all, unless the machine is slow", counts)
		}
		assert.Zero(t, counts["cut off"])
		cl.Close()
	}
}

// A round of each fault while searches are in hand, of all with engines that drop no repeats or with such as do. The whole
// measurement (make measure-takeover) plays each many times.
func TestTakeovers(t *testing.T) {
	for _, x := range []struct {
		name  string
		drops time.Duration
		kinds []string
	}{
		{"engines drop none", -1, []string{"kill", "heir at work", "cut off", "holder wiped", "planned", "clients cut"}},
		{"engines drop repeats", 20 * time.Second, []string{"owner and heir", "asleep", "restart", "cut off", "council gone"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cl := startHandoffCluster(t, "copies = 2", x.drops)
			chance := rand.New(rand.NewPCG(cl.Config.Seed, 5))
			for n, kind := range x.kinds {
				r, err := cl.PlayTakeover(kind, fmt.Sprint(n), 24, chance)
				require.NoError(t, err, kind)
				assert.Empty(t, r.RanTwice, kind)
				assert.Empty(t, r.Contradictions, kind)
				assert.Empty(t, r.WithoutOutcome, kind)
				t.Logf("%s: cut %d, returned %d, handled %d, unsent %d of which ran %d; %v", kind, r.Disconnected, r.Retried, r.RetriesHandled, r.UnsentAtFault, r.SentLater, r.Outcomes)
			}
		})
	}
}

// Copies on holders' disks: one holder's disk is full, and nobody is held up by it; a controller is killed, and its searches go on. Then all
// are killed at once: what was kept is known again by all, and nothing is sent a second time.
func TestHoldersDisks(t *testing.T) {
	cl := startHandoffCluster(t, "copies = 2\ncondition = \"disk and holders' disks\"", 20*time.Second)
	require.NoError(t, cl.SetDiskState(1, "full"))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, 10, countResults(submitAll(cl, 0, 10, "mark", "a", true)())["handled"])
	first := submitAll(cl, 4, 12, "once", "o", false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, cl.SetDiskState(1, "sound"))
	for k := range cl.Controllers {
		cl.Kill(k)
	}
	assert.Equal(t, 12, countResults(first())["cut off"])
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "all again")
	require.Eventually(t, func() bool { return cl.QueryOutcome(2, "", "m3") == "handled" }, 20*time.Second, 100*time.Millisecond, "it is on holders' disks")
	ran := len(cl.RunLog.Runs())
	counts := countResults(submitAll(cl, 3, 10, "mark", "b", true)())
	assert.Zero(t, counts["written off"]+counts["cut off"], "%v", counts)
	assert.Empty(t, keysRunTwice(cl))
	assert.Len(t, cl.RunLog.Runs(), ran, "nothing is sent again")
}

// A controller is killed while the whole group of a third of its labelled searches begins to leave, and that of another third is gone from
// the list. What may have run there is sent nowhere else; no run begins at one that leaves past its grace; what was never sent goes to
// those that stay; all has one outcome.
func TestAdoptedWorkAndLeavingGroups(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 3, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster, HandoffSettings: "copies = 2", DedupWindow: 20 * time.Second,
		WorkMS: 10, WorkByClass: map[string]time.Duration{"mark": 1500 * time.Millisecond}})
	waitConverged(t, cl, "all join")
	waitForReplicas(t, cl)
	first := submitAll(cl, 4, 30, "mark", "a", true)
	time.Sleep(500 * time.Millisecond)
	sent := map[string]string{}
	for _, r := range cl.RunLog.Runs() {
		sent[r.IdempotencyKey] = r.Executor
	}
	cl.Kill(4)
	require.NoError(t, cl.DrainExecutor(0))
	require.NoError(t, cl.RemoveExecutor(1))
	assert.Equal(t, 30, countResults(first())["cut off"])
	counts := countResults(submitAll(cl, 0, 30, "mark", "b", true)())
	t.Logf("%d sent at the kill, clients that came again: %v", len(sent), counts)
	assert.Zero(t, counts["cut off"])
	assert.Empty(t, keysRunTwice(cl))
	assert.Empty(t, RunsAfterDrain(cl.RunLog.Runs(), cl.drained))
	known := map[string]int{}
	for w := range 30 {
		told := cl.QueryOutcome(1, "", fmt.Sprint("m", w))
		known[told]++
		assert.Contains(t, []string{"handled", "written_off", "denied"}, told)
	}
	t.Logf("told: %v", known)
	assert.GreaterOrEqual(t, known["handled"], counts["handled"])
	for _, r := range cl.RunLog.Runs() {
		if at, before := sent[r.IdempotencyKey]; before {
			assert.Equal(t, at, r.Executor, "it may have run there, and nowhere else")
		}
	}
}
