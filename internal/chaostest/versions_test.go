package chaostest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/adminapi"
	"liftshift/internal/testservers"
)

const (
	keyedWork         = 1500 * time.Millisecond // of a keyed request at its executor, so that a kill finds it there
	deduplicationTime = 20 * time.Second        // for which executors drop repeats of a key
	retryTimeout      = 12 * time.Second        // of one client, retries included
	steadyTime        = 200 * time.Millisecond  // without a new run: whatever was written to an executor has come there
)

// startAs starts a controller with a program and checks that its process runs that version.
func startAs(t *testing.T, cl *Cluster, k int, program string) {
	t.Helper()
	cl.Config.Program = program
	require.NoError(t, cl.Start(k))
	require.Eventually(t, func() bool { // liftshift goes on as liftshift-full of the same directory
		path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", cl.PID(k)))
		return err == nil && path == program+"-full"
	}, 10*time.Second, 5*time.Millisecond, "controller %d runs %s", k, program)
}

// startVersions writes a cluster whose keyed requests may take longer than a takeover; it starts controller k with programs[k].
func startVersions(t *testing.T, config Config, programs ...string) *Cluster {
	t.Helper()
	config.Directory, config.Seed, config.Controllers, config.Executors, config.Store = t.TempDir(), 1, len(programs), 3, true
	config.WorkByClass = map[string]time.Duration{classKeyed: keyedWork}
	cl := newCluster(t, config)
	for k, c := range cl.Controllers {
		path := c.nodeFile()
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		longer := bytes.ReplaceAll(text, []byte(`"HardLimit":5000000`), []byte(`"HardLimit":15000000`))
		require.NotEqual(t, text, longer)
		require.NoError(t, os.WriteFile(path, longer, 0o600))
		startAs(t, cl, k, programs[k])
	}
	return cl
}

// waitForMembers waits until all controllers that run know each other, hold their leases and know the replicas. It asks by the names that
// both versions know.
func waitForMembers(t *testing.T, cl *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool {
		converged, _ := cl.Converged()
		return converged && cl.handoffUnready() == ""
	}, 20*time.Second, 20*time.Millisecond, "all that run know the replicas")
}

// The counts of handoff that tests read, by their names on the wire.
const (
	registeredCount = "registered"
	adoptedCount    = "taken"
)

// handoffCount returns a count of handoff. The reply is in its wire form, so that a version that does not have the count fails the test.
func handoffCount(t *testing.T, cl *Cluster, k int, name string) int {
	t.Helper()
	reply, err := cl.Call(k, adminapi.OperationHandoff, nil)
	require.NoError(t, err)
	require.Contains(t, reply, name)
	return int(reply[name].(float64))
}

// keyedRequest is a request with an idempotency key, as its client sees it.
type keyedRequest struct {
	key    string
	answer testservers.Reply
	err    error // the connection ended without an answer, or there was a second answer
}

// sendKeyed sends a request, reads its answer and asks for the outcome on the same connection: a second answer would come before that. A
// controller may end a connection 5 s after its last message once nothing is open there; then nothing follows the answer either.
func sendKeyed(address, id, key string) (r keyedRequest) {
	r.key = key
	c, err := testservers.Dial(address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	if r.answer, r.err = c.Submit(classKeyed, id, key, retryTimeout); r.err != nil {
		r.err = fmt.Errorf("no answer: %w", r.err)
		return r
	}
	if _, err := c.Call("outcome", map[string]any{"opkey": key}, 3*time.Second); err != nil && !errors.Is(err, io.EOF) {
		r.err = fmt.Errorf("no outcome after the answer: %w", err)
	}
	return r
}

// sendAll has one client per key send its request to a controller, at once, and returns a function that waits for the replies. Clients that
// are rejected retry.
func sendAll(cl *Cluster, k int, tag string, keys []string) func() []keyedRequest {
	out := make([]keyedRequest, len(keys))
	var all sync.WaitGroup
	for n, key := range keys {
		all.Add(1)
		go func() {
			defer all.Done()
			until := time.Now().Add(retryTimeout)
			for attempt := 0; ; attempt++ {
				out[n] = sendKeyed(cl.Controllers[k].ClientAddress, fmt.Sprintf("%s-%d-%d", tag, n, attempt), key)
				if out[n].err != nil || out[n].answer.Code != testservers.CodeRejected || time.Now().After(until) {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return func() []keyedRequest { all.Wait(); return out }
}

// numberedKeys returns so many idempotency keys.
func numberedKeys(tag string, count int) (keys []string) {
	for n := range count {
		keys = append(keys, fmt.Sprint(tag, n))
	}
	return keys
}

// disconnectedKeys returns the keys of requests whose connection ended without an answer; the others must be handled.
func disconnectedKeys(t *testing.T, list []keyedRequest) (keys []string) {
	t.Helper()
	for _, r := range list {
		if r.err != nil {
			keys = append(keys, r.key)
		} else {
			assert.Zero(t, r.answer.Code, "%s: %s", r.key, r.answer.Message)
		}
	}
	return keys
}

// runsByKey returns how often each key ran at an executor.
func runsByKey(cl *Cluster) map[string]int {
	runs := map[string]int{}
	for _, r := range cl.RunLog.Runs() {
		runs[r.IdempotencyKey]++
	}
	return runs
}

// waitForSteadyRuns waits until there were so many runs at least and nothing more is sent for now, so that no attempt is between its
// controller's store and its executor.
func waitForSteadyRuns(t *testing.T, cl *Cluster, least int) {
	t.Helper()
	count, since := 0, time.Now()
	require.Eventually(t, func() bool {
		if now := len(cl.RunLog.Runs()); now != count {
			count, since = now, time.Now()
		}
		return count >= least && time.Since(since) > steadyTime
	}, 5*time.Second, 5*time.Millisecond, "some run")
}

// onceEach returns the runs that are right: each key once.
func onceEach(keys []string) map[string]int {
	runs := map[string]int{}
	for _, key := range keys {
		runs[key] = 1
	}
	return runs
}

// assertOutcomes checks that every controller that runs has the outcome that the client of each key got.
func assertOutcomes(t *testing.T, cl *Cluster, list []keyedRequest) {
	t.Helper()
	until := time.Now().Add(10 * time.Second)
	for k, c := range cl.Controllers {
		for _, r := range list {
			if !c.Running() {
				continue
			}
			want, outcome := outcomeHandled, cl.QueryOutcome(k, "", r.key)
			if r.answer.Code != 0 {
				want = outcomeFailed
			}
			for outcome != want && time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
				outcome = cl.QueryOutcome(k, "", r.key)
			}
			if !assert.Equal(t, want, outcome, "%s at %s", r.key, c.Name) && time.Now().After(until) {
				return // the others aren't waited for
			}
		}
	}
}

// TestVersions_MixedClusterRunsEachKeyOnce kills one of three controllers that keep copies of each other's open work, with one or two of the
// version before in each place. Clients send their requests to the successors again. Each key runs once, and each client gets one answer,
// which all controllers confirm, also the killed one once it is back as the other version.
func TestVersions_MixedClusterRunsEachKeyOnce(t *testing.T) {
	before, now := bothVersions(t)
	for _, place := range []struct {
		name     string
		programs []string // of the two successors, of the one that is killed, and of that once it is back
	}{
		{"old at 0", []string{before, now, now, before}},
		{"old at 1", []string{now, before, now, before}},
		{"old killed", []string{now, now, before, now}},
		{"new killed", []string{before, before, now, before}},
	} {
		t.Run(place.name+", repeats dropped", func(t *testing.T) {
			t.Parallel()
			assertAdoption(t, place.programs, deduplicationTime)
		})
		t.Run(place.name+", repeats run", func(t *testing.T) {
			t.Parallel()
			assertAdoption(t, place.programs, -1)
		})
	}
}

// assertAdoption plays one kill. Where executors drop repeats, all requests must be handled. Where they don't, a request that ran before the
// kill must not be sent again and fails, and one that did not is handled by a successor.
func assertAdoption(t *testing.T, programs []string, drops time.Duration) {
	t.Helper()
	const killed, requests = 2, 30
	cl := startVersions(t, Config{Zones: 3, Founders: 3, ClusterSettings: quickCluster, HandoffSettings: "copies = 1", DedupWindow: drops}, programs[:3]...)
	waitForMembers(t, cl)
	keys := numberedKeys("m", requests)
	first := sendAll(cl, killed, "a", keys)
	waitForSteadyRuns(t, cl, 1)
	assert.Equal(t, requests, handoffCount(t, cl, killed, registeredCount), "successors have copies of all")
	cl.Kill(killed)
	ran := runsByKey(cl)
	inFlight := disconnectedKeys(t, first())
	require.NotEmpty(t, inFlight, "requests are in flight at the kill")
	second := sendAll(cl, 0, "b", inFlight)()
	handled := 0
	for _, r := range second {
		assert.NoError(t, r.err, r.key)
		if ran[r.key] > 0 && drops < 0 {
			assert.Equal(t, testservers.CodeFailed, r.answer.Code, "%s may have run: %s", r.key, r.answer.Message)
			continue
		}
		handled++
		assert.Zero(t, r.answer.Code, "%s: %s", r.key, r.answer.Message)
	}
	taken := handoffCount(t, cl, 0, adoptedCount) + handoffCount(t, cl, 1, adoptedCount)
	t.Logf("%d keys in flight, %d ran before the kill; successors adopted %d, handled %d", len(inFlight), len(ran), taken, handled)
	assert.NotZero(t, taken, "a successor has adopted a request")
	assert.Less(t, len(ran), requests, "some begin at a successor")
	assert.NotZero(t, handled)
	assert.Equal(t, onceEach(keys), runsByKey(cl))
	assertOutcomes(t, cl, second)
	startAs(t, cl, killed, programs[3])
	waitForMembers(t, cl)
	assertOutcomes(t, cl, second)
	assert.Equal(t, onceEach(keys), runsByKey(cl), "also after the killed one is back")
}
