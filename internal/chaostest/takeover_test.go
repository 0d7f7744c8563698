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

// chaired waits until all that run know who sits where, and hold their leases.
func chaired(t *testing.T, f *Fleet) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range f.Controllers {
			if c.Up() {
				a, err := f.Ask(k, "estate", nil)
				if err != nil || a["held"] != true || a["parts"] != 32.0 || a["parts_settled"] != 32.0 {
					return false
				}
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond, "all know who keeps copies")
}

// came is how a search of a client ended there.
type came struct {
	id, mark, outcome string
	took              time.Duration
}

// asks has so many clients make a search each at a controller, at once, and gives a call that waits for them.
func asks(f *Fleet, k, n int, offering, tag string, marks bool) func() []came {
	out := make([]came, n)
	var all sync.WaitGroup
	for w := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			o := came{id: fmt.Sprintf("%s-%d", tag, w), outcome: "cut off"}
			if marks {
				o.mark = fmt.Sprintf("m%d", w)
			}
			began := time.Now()
			if c, err := testservers.Dial(f.Controllers[k].Client, time.Second); err == nil {
				defer c.Close()
				if a, err := c.Submit(offering, o.id, o.mark, 5*time.Second); err == nil {
					o.outcome = map[int]string{0: "handled", testservers.CodeRejected: "denied"}[a.Code]
					if o.outcome == "" {
						o.outcome = "written off"
					}
				}
			}
			o.took = time.Since(began)
			out[w] = o
		}()
	}
	return func() []came { all.Wait(); return out }
}

func count(list []came) map[string]int {
	n := map[string]int{}
	for _, o := range list {
		n[o.outcome]++
	}
	return n
}

// ranTwice gives the marks that ran more than once.
func ranTwice(f *Fleet) (marks []string) {
	n := map[string]int{}
	for _, r := range f.Memory.Runs() {
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

func inherited(t *testing.T, copies string, drops time.Duration) *Fleet {
	f := rehearsal(t, Plan{Controllers: 5, Engines: 3, Founders: 3, Store: true, Fleet: quick, Estate: copies, Drops: drops, WorkMS: 10, Within: 20 * time.Second,
		Works: map[string]time.Duration{"mark": 1200 * time.Millisecond, "once": 1200 * time.Millisecond}})
	settles(t, f, "all join")
	chaired(t, f)
	return f
}

// A controller with thirty labelled searches in hand is killed, and its clients come again elsewhere at once, with their marks, thrice.
// Engines that drop repeats: all are handled. Engines that drop none: what was sent is written off. Nothing runs twice.
func TestKilledWithSearchesInHand(t *testing.T) {
	for _, drops := range []time.Duration{20 * time.Second, -1} {
		f := inherited(t, "copies = 2", drops)
		first := asks(f, 4, 30, "mark", "a", true)
		time.Sleep(300 * time.Millisecond)
		f.Kill(4)
		assert.Equal(t, 30, count(first())["cut off"])
		second, third := asks(f, 0, 30, "mark", "b", true), asks(f, 1, 30, "mark", "c", true)
		counts := count(append(second(), third()...))
		t.Logf("drops %v: %v", drops, counts)
		assert.Empty(t, ranTwice(f))
		if drops < 0 { // what had not been sent yet was sent by heirs
			assert.NotZero(t, counts["written off"])
			assert.NotZero(t, counts["handled"])
		} else {
			assert.Greater(t, counts["handled"], 30, "%v: all, unless the machine is slow", counts)
		}
		assert.Zero(t, counts["cut off"])
		f.Close()
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
			f := inherited(t, "copies = 2", x.drops)
			chance := rand.New(rand.NewPCG(f.Plan.Seed, 5))
			for n, kind := range x.kinds {
				r, err := f.Takeover(kind, fmt.Sprint(n), 24, chance)
				require.NoError(t, err, kind)
				assert.Empty(t, r.Twice, kind)
				assert.Empty(t, r.Two, kind)
				assert.Empty(t, r.Without, kind)
				t.Logf("%s: cut %d, returned %d, handled %d, unsent %d of which ran %d; %v", kind, r.Cut, r.Returned, r.Handled, r.Unsent, r.Sent, r.Outcomes)
			}
		})
	}
}

// Copies on holders' disks: one holder's disk is full, and nobody is held up by it; a controller is killed, and its searches go on. Then all
// are killed at once: what was kept is known again by all, and nothing is sent a second time.
func TestHoldersDisks(t *testing.T) {
	f := inherited(t, "copies = 2\ncondition = \"disk and holders' disks\"", 20*time.Second)
	require.NoError(t, f.Disk(1, "full"))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, 10, count(asks(f, 0, 10, "mark", "a", true)())["handled"])
	first := asks(f, 4, 12, "once", "o", false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, f.Disk(1, "sound"))
	for k := range f.Controllers {
		f.Kill(k)
	}
	assert.Equal(t, 12, count(first())["cut off"])
	require.NoError(t, f.StartAll())
	settles(t, f, "all again")
	require.Eventually(t, func() bool { return f.Outcome(2, "", "m3") == "handled" }, 20*time.Second, 100*time.Millisecond, "it is on holders' disks")
	ran := len(f.Memory.Runs())
	counts := count(asks(f, 3, 10, "mark", "b", true)())
	assert.Zero(t, counts["written off"]+counts["cut off"], "%v", counts)
	assert.Empty(t, ranTwice(f))
	assert.Len(t, f.Memory.Runs(), ran, "nothing is sent again")
}

// A controller is killed while the whole group of a third of its labelled searches begins to leave, and that of another third is gone from
// the list. What may have run there is sent nowhere else; no run begins at one that leaves past its grace; what was never sent goes to
// those that stay; all has one outcome.
func TestAdoptedWorkAndLeavingGroups(t *testing.T) {
	f := rehearsal(t, Plan{Controllers: 5, Engines: 3, Zones: 3, Founders: 3, Store: true, Fleet: quick, Estate: "copies = 2", Drops: 20 * time.Second,
		WorkMS: 10, Works: map[string]time.Duration{"mark": 1500 * time.Millisecond}})
	settles(t, f, "all join")
	chaired(t, f)
	first := asks(f, 4, 30, "mark", "a", true)
	time.Sleep(500 * time.Millisecond)
	sent := map[string]string{}
	for _, r := range f.Memory.Runs() {
		sent[r.IdempotencyKey] = r.Executor
	}
	f.Kill(4)
	require.NoError(t, f.Drain(0))
	require.NoError(t, f.Gone(1))
	assert.Equal(t, 30, count(first())["cut off"])
	counts := count(asks(f, 0, 30, "mark", "b", true)())
	t.Logf("%d sent at the kill, clients that came again: %v", len(sent), counts)
	assert.Zero(t, counts["cut off"])
	assert.Empty(t, ranTwice(f))
	assert.Empty(t, Undrained(f.Memory.Runs(), f.drained))
	known := map[string]int{}
	for w := range 30 {
		told := f.Outcome(1, "", fmt.Sprint("m", w))
		known[told]++
		assert.Contains(t, []string{"handled", "written_off", "denied"}, told)
	}
	t.Logf("told: %v", known)
	assert.GreaterOrEqual(t, known["handled"], counts["handled"])
	for _, r := range f.Memory.Runs() {
		if at, before := sent[r.IdempotencyKey]; before {
			assert.Equal(t, at, r.Executor, "it may have run there, and nowhere else")
		}
	}
}
