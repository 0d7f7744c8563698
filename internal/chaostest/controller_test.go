package chaostest

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// A controller that starts on a full or failing disk handles requests that need no record, and rejects those that need
// one until the disk works again. The second round starts on the store that the first one left.
func TestController_StartsOnFailingDisk(t *testing.T) {
	for _, state := range []string{"full", "failing"} {
		cluster := startCluster(t, Config{Controllers: 1, Executors: 2, WithoutCluster: true, Store: true, WorkMS: 2})
		submit := func(class, id string) (Result, error) {
			client, err := testservers.Dial(cluster.Controllers[0].ClientAddress, 8*time.Second)
			if err != nil {
				return "", err
			}
			defer client.Close()
			answer, err := client.Submit(class, id, "", 2*time.Second)
			return resultOf(answer, err), err
		}
		for round := range 2 {
			requestID := func(n int) string { return fmt.Sprintf("%s-%d-%d", state, round, n) }
			result, err := submit(classNonIdempotent, requestID(0))
			require.NoError(t, err, "before the disk is %s, round %d", state, round)
			require.Equal(t, ResultHandled, result, "before the disk is %s, round %d", state, round)
			cluster.Kill(0)
			require.NoError(t, cluster.SetDiskState(0, state))
			require.NoError(t, cluster.Start(0))
			start := time.Now()
			result, err = submit(classIdempotent, requestID(1))
			if !assert.NoError(t, err, "disk %s, round %d: the controller must be ready within 8 s\n%.2000s", state, round,
				cluster.Controllers[0].Log()) {
				return
			}
			assert.Equal(t, ResultHandled, result, "disk %s: an idempotent request needs no record", state)
			assert.Less(t, time.Since(start), 8*time.Second, "disk %s: time to the first reply", state)
			result, err = submit(classNonIdempotent, requestID(2))
			assert.NoError(t, err, "disk %s", state)
			assert.Equal(t, ResultRejected, result, "disk %s: a non-idempotent request can't be recorded", state)
			require.NoError(t, cluster.SetDiskState(0, "sound"))
			assert.Eventually(t, func() bool {
				result, err := submit(classNonIdempotent, fmt.Sprint(requestID(3), time.Now().UnixNano()))
				return err == nil && result == ResultHandled
			}, 5*time.Second, 50*time.Millisecond, "non-idempotent requests must be handled after the disk was %s", state)
		}
	}
}

// A controller that starts while its predecessor of the same name is still stopping waits for the predecessor's
// addresses, store directory and control socket, and is ready within 10 s.
func TestController_StartsWhilePredecessorEnds(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 2, Executors: 2, Store: true,
		ClusterSettings: fastClusterSettings, WorkMS: 2})
	waitForConvergence(t, cluster, "after both controllers started")
	cluster.Executors[0].Hangs.Store(true)
	cluster.Executors[1].Hangs.Store(true)
	client, err := testservers.Dial(cluster.Controllers[0].ClientAddress, time.Second)
	require.NoError(t, err)
	defer client.Close()
	// The graceful stop waits for this request, which hangs at its executor.
	go func() { _, _ = client.Submit(classIdempotent, "0000000000000001", "", 5*time.Second) }()
	time.Sleep(200 * time.Millisecond)
	controller := cluster.Controllers[0]
	require.NoError(t, cluster.Signal(0, syscall.SIGTERM))
	predecessor := controller.exited
	controller.cmd = nil
	time.Sleep(300 * time.Millisecond)
	select {
	case <-predecessor:
		require.Fail(t, "the predecessor ended with a request in flight")
	default:
	}
	start := time.Now()
	require.NoError(t, cluster.Start(0))
	<-predecessor
	cluster.Executors[0].Hangs.Store(false)
	cluster.Executors[1].Hangs.Store(false)
	require.Eventually(t, func() bool {
		newClient, err := testservers.Dial(controller.ClientAddress, time.Second)
		if err != nil {
			return false
		}
		defer newClient.Close()
		answer, err := newClient.Submit(classIdempotent, fmt.Sprintf("%016x", time.Now().UnixNano()), "", 2*time.Second)
		return err == nil && answer.Code == 0
	}, 10*time.Second, 50*time.Millisecond, "the new controller must handle requests")
	t.Logf("new controller ready %v after its start", time.Since(start))
	waitForConvergence(t, cluster, "after the new controller took over")
}

// The slow start of an executor that joins under load limits the requests that it gets, even if the start time that it
// publishes is an hour off.
func TestController_WarmsUpNewExecutorWhateverItsClock(t *testing.T) {
	const workMS, clients, warmExecutors = 200, 40, 3
	// Requests of workMS that fit into 2 s at the least capacity that the settings below give a cold executor of 8 cores.
	maxRequests := 3 * 0.3 * 8 * 2000 / float64(workMS)
	for name, clockOffset := range map[string]time.Duration{
		"clock an hour behind": -time.Hour,
		"clock right":          0,
		"clock an hour ahead":  time.Hour,
	} {
		cluster := startCluster(t, Config{Controllers: 1, Executors: warmExecutors, WithoutCluster: true, WorkMS: 5})
		cluster.Kill(0)
		path := cluster.Controllers[0].nodeFile()
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		text = bytes.Replace(text, []byte(`"DrainGrace":500000`),
			[]byte(`"DrainGrace":500000,"ColdFrom":0.3,"FallMultiple":3,"Fall":2000000,"WarmUp":10000000`), 1)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		require.NoError(t, cluster.Start(0))
		var running sync.WaitGroup
		stop := make(chan struct{})
		for k := range clients {
			running.Go(func() {
				client, err := testservers.Dial(cluster.Controllers[0].ClientAddress, 5*time.Second)
				for n := 0; err == nil; n++ {
					select {
					case <-stop:
						client.Close()
						return
					default:
					}
					id := fmt.Sprintf("%08x%08x", k, n)
					_, err = client.Call("look", map[string]any{"req": id, "timeout": 4000, "ms": workMS, "ram": 1,
						"data": base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "SELECT 1 FROM s_%d.t", n%50))}, 6*time.Second)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		joining := &testservers.Executor{Name: "s-new", Zone: "z0", Work: 5 * time.Millisecond, RunLog: cluster.RunLog}
		require.NoError(t, joining.Start())
		t.Cleanup(joining.Stop)
		require.NoError(t, cluster.discovery.PublishSince(joining, "Ready", time.Now().Add(clockOffset).UnixMilli()))
		time.Sleep(2 * time.Second)
		close(stop)
		running.Wait()
		runs := 0
		for _, r := range cluster.RunLog.Runs() {
			if r.Executor == joining.Name {
				runs++
			}
		}
		t.Logf("%s: the joining executor ran %d requests in its first 2 s", name, runs)
		assert.Positive(t, runs, "%s: runs at the joining executor", name)
		assert.LessOrEqual(t, float64(runs), maxRequests+2*math.Sqrt(maxRequests)+2, "%s: runs at the joining executor", name)
	}
}
