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

// A controller starts on a disk that is full or failing just then: what needs no record is handled, what needs one is rejected until the disk is
// sound. So it goes the first time and after a kill with requests in flight.
func TestController_StartsOnFailingDisk(t *testing.T) {
	for _, state := range []string{"full", "failing"} {
		cl := startCluster(t, Config{Controllers: 1, Executors: 2, WithoutCluster: true, Store: true, WorkMS: 2})
		submit := func(class, id string) (Result, error) {
			c, err := testservers.Dial(cl.Controllers[0].ClientAddress, 8*time.Second)
			if err != nil {
				return "", err
			}
			defer c.Close()
			answer, err := c.Submit(class, id, "", 2*time.Second)
			return resultOf(answer, err), err
		}
		for round := range 2 {
			id := func(n int) string { return fmt.Sprintf("%s-%d-%d", state, round, n) }
			result, err := submit(classNonIdempotent, id(0))
			require.NoError(t, err, "%s, round %d", state, round)
			require.Equal(t, ResultHandled, result)
			cl.Kill(0)
			require.NoError(t, cl.SetDiskState(0, state))
			require.NoError(t, cl.Start(0))
			began := time.Now()
			result, err = submit(classIdempotent, id(1))
			if !assert.NoError(t, err, "%s, round %d: ready within 8 s\n%.2000s", state, round, cl.Controllers[0].Log()) {
				return
			}
			assert.Equal(t, ResultHandled, result, state)
			assert.Less(t, time.Since(began), 8*time.Second)
			result, err = submit(classNonIdempotent, id(2))
			assert.NoError(t, err)
			assert.Equal(t, ResultRejected, result, "%s: it can't be recorded", state)
			require.NoError(t, cl.SetDiskState(0, "sound"))
			assert.Eventually(t, func() bool {
				result, err := submit(classNonIdempotent, fmt.Sprint(id(3), time.Now().UnixNano()))
				return err == nil && result == ResultHandled
			}, 5*time.Second, 50*time.Millisecond, state)
		}
	}
}

// A controller may be started while its predecessor of the same name is still ending: it waits for the addresses, the directory and the socket
// that the predecessor holds, and is ready within 10 s.
func TestController_StartsWhilePredecessorEnds(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 2, Executors: 2, Store: true, ClusterSettings: quickCluster, WorkMS: 2})
	waitConverged(t, cl, "both join")
	cl.Executors[0].Hangs.Store(true)
	cl.Executors[1].Hangs.Store(true)
	c, err := testservers.Dial(cl.Controllers[0].ClientAddress, time.Second)
	require.NoError(t, err)
	defer c.Close()
	go func() { _, _ = c.Submit(classIdempotent, "0000000000000001", "", 5*time.Second) }() // which the stop waits for
	time.Sleep(200 * time.Millisecond)
	controller := cl.Controllers[0]
	require.NoError(t, cl.Signal(0, syscall.SIGTERM))
	predecessor := controller.exited
	controller.cmd = nil
	time.Sleep(300 * time.Millisecond)
	select {
	case <-predecessor:
		require.Fail(t, "it still has something to end")
	default:
	}
	start := time.Now()
	require.NoError(t, cl.Start(0))
	<-predecessor
	cl.Executors[0].Hangs.Store(false)
	cl.Executors[1].Hangs.Store(false)
	require.Eventually(t, func() bool {
		next, err := testservers.Dial(controller.ClientAddress, time.Second)
		if err != nil {
			return false
		}
		defer next.Close()
		answer, err := next.Submit(classIdempotent, fmt.Sprintf("%016x", time.Now().UnixNano()), "", 2*time.Second)
		return err == nil && answer.Code == 0
	}, 10*time.Second, 50*time.Millisecond, "ready in time")
	t.Logf("ready %v after its start", time.Since(start))
	waitConverged(t, cl, "it is back")
}

// An executor that joining under load gets no more within its window than fits its slow start, whatever its wall clock says of its start.
func TestController_WarmsUpNewExecutorWhateverItsClock(t *testing.T) {
	const workMS, clients, warm = 200, 40, 3
	most := 3 * 0.3 * 8 * 2000 / float64(workMS) // requests of that work, at the settings' least capacity
	for name, off := range map[string]time.Duration{"an hour behind": -time.Hour, "right": 0, "an hour ahead": time.Hour} {
		cl := startCluster(t, Config{Controllers: 1, Executors: warm, WithoutCluster: true, WorkMS: 5})
		cl.Kill(0)
		path := cl.Controllers[0].nodeFile()
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		text = bytes.Replace(text, []byte(`"DrainGrace":500000`), []byte(`"DrainGrace":500000,"ColdFrom":0.3,"FallMultiple":3,"Fall":2000000,"WarmUp":10000000`), 1)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		require.NoError(t, cl.Start(0))
		var running sync.WaitGroup
		stop := make(chan struct{})
		for w := range clients {
			running.Go(func() {
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
		joining := &testservers.Executor{Name: "s-new", Zone: "z0", Work: 5 * time.Millisecond, RunLog: cl.RunLog}
		require.NoError(t, joining.Start())
		t.Cleanup(joining.Stop)
		require.NoError(t, cl.discovery.PublishSince(joining, "Ready", time.Now().Add(off).UnixMilli()))
		time.Sleep(2 * time.Second)
		close(stop)
		running.Wait()
		n := 0
		for _, r := range cl.RunLog.Runs() {
			if r.Executor == joining.Name {
				n++
			}
		}
		t.Logf("%s: %d in its first 2 s", name, n)
		assert.Positive(t, n, name)
		assert.LessOrEqual(t, float64(n), most+2*math.Sqrt(most)+2, name)
	}
}
