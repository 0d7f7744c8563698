package processtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
	log := &testservers.RunLog{}
	zones := map[string]string{} // by executor
	start := func(name, zone, address string) *testservers.Executor {
		zones[name] = zone
		return startExecutor(t, &testservers.Executor{
			Name: name, Zone: zone, ListenAddress: address, Work: 150 * time.Millisecond, RunLog: log, DedupWindow: dedupWindow,
		})
	}
	replaced := start("s-0", "z0", "")
	executors := []*testservers.Executor{replaced, start("s-1", "z0", ""), start("s-2", "z0", "")}
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
		next := start(fmt.Sprint("new-", n), []string{"z1", "z0"}[n%2], address)
		time.Sleep(listDelay)
		require.NoError(t, discovery.Publish(replaced, "Gone"))
		require.NoError(t, discovery.Publish(next, "Ready"))
		replaced = next
	}
	close(stop)
	clients.Wait()

	ranIn := map[string]map[string]bool{} // zones by key
	for _, run := range log.Runs() {
		if ranIn[run.IdempotencyKey] == nil {
			ranIn[run.IdempotencyKey] = map[string]bool{}
		}
		ranIn[run.IdempotencyKey][zones[run.Executor]] = true
	}
	inTwo := 0
	for _, zones := range ranIn {
		if len(zones) > 1 {
			inTwo++
		}
	}
	t.Logf("%d keys ran", len(ranIn))
	assert.Zero(t, inTwo, "keys that ran in two zones")
}

// submitKeyedRequests sends keyed requests one after the other until stop is closed.
func submitKeyedRequests(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		client, err := testservers.Dial(address, time.Second)
		if err != nil {
			continue
		}
		id := newRequestID()
		_, _ = client.Submit("mark", id, id+id, requestDeadline)
		client.Close()
	}
}
