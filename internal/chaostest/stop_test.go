package chaostest

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// stopDeadline is the longest deadline of the requests in the tests of the stop.
const stopDeadline = 200 * time.Millisecond

// A controller that stands still when it gets the signal to stop ends its connections before it may be killed: requests
// that are sent to a killed process get no reply. It still takes connections for as long as new ones may come.
func TestStop_StalledControllerEndsConnectionsBeforeKill(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 1, Executors: 2, WithoutCluster: true, WorkMS: 5})
	controller := cluster.Controllers[0]
	cluster.Kill(0)
	controller.configureSoak(t, stopDeadline)
	require.NoError(t, cluster.Start(0))
	require.True(t, answersProbe(cluster, 0))
	client, err := testservers.Dial(controller.ClientAddress, time.Second)
	require.NoError(t, err)
	defer client.Close()
	probe := func(client *testservers.Client) error {
		_, err := client.Call("probe", map[string]any{}, time.Second)
		return err
	}
	require.NoError(t, probe(client))

	require.NoError(t, cluster.Signal(0, syscall.SIGSTOP))
	time.Sleep(300 * time.Millisecond)
	stopAt := time.Now()
	require.NoError(t, cluster.Signal(0, syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, cluster.Signal(0, syscall.SIGCONT))

	time.Sleep(time.Until(stopAt.Add(acceptAfterTerm)))
	late, err := testservers.Dial(controller.ClientAddress, time.Second)
	require.NoError(t, err, "a connection %v after the signal", acceptAfterTerm)
	defer late.Close()
	assert.NoError(t, probe(late), "a probe on that connection")
	for err == nil {
		time.Sleep(5 * time.Millisecond)
		err = probe(client)
	}
	assert.Less(t, time.Since(stopAt), stopDeadline+killSlack, "time from the signal to the end: %v", err)
	<-controller.exited
}
