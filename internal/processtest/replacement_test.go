package processtest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

const (
	replacements        = 6
	replacementInterval = 2 * time.Second
	listDelay           = time.Second // from a replacement until the list tells of it
)

// Guards against keys that run in two zones: an executor ends, and one of another zone comes up at its address before the
// endpoint list tells so.
func TestReplacedExecutor_KeysRunInOneZone(t *testing.T) {
	zoned := &zonedExecutors{work: 150 * time.Millisecond, zones: map[string]string{}}
	replaced := zoned.start(t, "s-0", "z0", "")
	executors := []*testservers.Executor{replaced, zoned.start(t, "s-1", "z0", ""), zoned.start(t, "s-2", "z0", "")}
	discovery := startDiscovery(t)
	controller := startController(t, buildProgram(t), discovery, executors)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 24 {
		clients.Go(func() { submitKeyedRequests(controller.address, stop) })
	}
	for n := range replacements {
		time.Sleep(replacementInterval)
		address := replaced.Address()
		replaced.Stop()
		next := zoned.start(t, fmt.Sprint("new-", n), []string{"z1", "z0"}[n%2], address)
		time.Sleep(listDelay)
		require.NoError(t, discovery.Publish(replaced, "Gone"))
		require.NoError(t, discovery.Publish(next, "Ready"))
		replaced = next
	}
	close(stop)
	clients.Wait()

	zoned.requireOneZoneForEachKey(t)
}

// Guards against keys that run in two zones: an executor ends while its connections are idle, so that no attempt tells of
// the loss, and one of another zone comes up at its address before the endpoint list tells so.
func TestReplacedExecutor_KeysRunInOneZoneAfterIdleLoss(t *testing.T) {
	const concurrentRequests = 24 // more than the two executors that stay are given at once
	zoned := &zonedExecutors{work: 500 * time.Millisecond, zones: map[string]string{}}
	replaced := zoned.start(t, "s-0", "z0", "")
	executors := []*testservers.Executor{replaced, zoned.start(t, "s-1", "z0", ""), zoned.start(t, "s-2", "z0", "")}
	discovery := startDiscovery(t)
	controller := startController(t, buildProgram(t), discovery, executors)
	submitTogether := func() *sync.WaitGroup {
		var clients sync.WaitGroup
		for range concurrentRequests {
			clients.Go(func() { submitKeyedRequest(controller.address) })
		}
		return &clients
	}

	submitTogether().Wait()
	address := replaced.Address()
	replaced.Stop()
	next := zoned.start(t, "new", "z1", address)
	time.Sleep(100 * time.Millisecond) // until the controller has noticed the loss
	clients := submitTogether()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(zoned.log.Runs(), func(run testservers.Run) bool { return run.Executor == next.Name })
	}, 400*time.Millisecond, 5*time.Millisecond, "a run at the new executor before the list tells of it")
	require.NoError(t, discovery.Publish(replaced, "Gone"))
	require.NoError(t, discovery.Publish(next, "Ready"))
	clients.Wait()

	zoned.requireOneZoneForEachKey(t)
}

// zonedExecutors are executors that drop repeats zone by zone, and their runs.
type zonedExecutors struct {
	work  time.Duration     // of each request
	zones map[string]string // by executor
	log   testservers.RunLog
}

// start starts an executor at an address, or at a free one if that is empty.
func (z *zonedExecutors) start(t *testing.T, name, zone, address string) *testservers.Executor {
	t.Helper()
	z.zones[name] = zone
	return startExecutor(t, &testservers.Executor{
		Name: name, Zone: zone, ListenAddress: address, Work: z.work, RunLog: &z.log, DedupWindow: dedupWindow,
	})
}

// requireOneZoneForEachKey requires that no key ran in two zones.
func (z *zonedExecutors) requireOneZoneForEachKey(t *testing.T) {
	t.Helper()
	runs := map[string][]testservers.Run{} // by key
	for _, run := range z.log.Runs() {
		runs[run.IdempotencyKey] = append(runs[run.IdempotencyKey], run)
	}
	inTwo := 0
	for key, ofKey := range runs {
		first := z.zones[ofKey[0].Executor]
		if !slices.ContainsFunc(ofKey, func(run testservers.Run) bool { return z.zones[run.Executor] != first }) {
			continue
		}
		inTwo++
		for _, run := range ofKey {
			t.Logf("key %s ran at %s (%s), %s", key, run.Executor, z.zones[run.Executor], run.At.Format("15:04:05.000"))
		}
	}
	t.Logf("%d keys ran", len(runs))
	require.Zero(t, inTwo, "keys that ran in two zones")
}

// submitKeyedRequests sends keyed requests one after the other until stop is closed.
func submitKeyedRequests(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			submitKeyedRequest(address)
		}
	}
}

// submitKeyedRequest sends a request with a key of its own and waits for its answer.
func submitKeyedRequest(address string) {
	client, err := testservers.Dial(address, time.Second)
	if err != nil {
		return
	}
	defer client.Close()
	id := newRequestID()
	_, _ = client.Submit("mark", id, id+id, requestDeadline)
}
