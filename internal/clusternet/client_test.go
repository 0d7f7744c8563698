package clusternet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/membership"
	"liftshift/internal/testlog"
	"liftshift/internal/testservers"
)

// startTransport starts a transport without other members.
func startTransport(t *testing.T, name string, handle func(context.Context, []byte) ([]byte, error)) *Transport {
	t.Helper()
	log := testlog.Discard()
	address, err := testservers.FreeAddress()
	require.NoError(t, err)
	transport := New(address, log)
	transport.HandoffCall = handle
	self := membership.Member{Name: name, Incarnation: 1, Address: address}
	view := membership.New(transport.Now(), "test", self, []string{address}, membership.DefaultSettings(), 1)
	require.NoError(t, transport.Start(view, nil))
	t.Cleanup(transport.Stop)
	return transport
}

// A call that fails, by an error answer or by its timeout, does not end other calls on the connection to the same member.
func TestTransport_FailedCallLeavesOthersAlone(t *testing.T) {
	const slowCall = 400 * time.Millisecond
	server := startTransport(t, "b", func(ctx context.Context, data []byte) ([]byte, error) {
		switch string(data) {
		case "refuse":
			return nil, errors.New("refused")
		case "hang":
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(slowCall)
		return data, nil
	})
	for name, test := range map[string]struct {
		failing     string
		beginsAfter time.Duration // of the slow call, relative to the failing one
	}{
		"error answer": {"refuse", -slowCall / 4},
		"timeout":      {"hang", callTimeout - slowCall/4},
	} {
		t.Run(name, func(t *testing.T) {
			client := startTransport(t, "a", nil)
			_, err := client.CallSync(server.Listen, HandoffMethod, []byte("first")) // connects
			require.NoError(t, err)
			failed := make(chan error, 1)
			fail := func() {
				_, err := client.CallSync(server.Listen, HandoffMethod, []byte(test.failing))
				failed <- err
			}
			time.AfterFunc(max(0, -test.beginsAfter), fail)
			time.Sleep(max(0, test.beginsAfter))
			reply, err := client.CallSync(server.Listen, HandoffMethod, []byte("slow"))
			assert.NoError(t, err)
			assert.Equal(t, "slow", string(reply))
			assert.Error(t, <-failed)
			_, err = client.CallSync(server.Listen, HandoffMethod, []byte("after"))
			assert.NoError(t, err)
		})
	}
}
