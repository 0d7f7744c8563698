package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

func TestNetwork_SendsAndReceives(t *testing.T) {
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	here := free.LocalAddr()
	free.Close()
	queue := make(fakeQueue, 10)
	network, err := New(here.String(), []string{here.String(), other.LocalAddr().String()}, other.LocalAddr().String(), queue,
		discardLog())
	require.NoError(t, err)
	go network.Run()
	defer network.Stop()
	network.SendPeer(1, []byte("one"))
	network.SendPeer(-1, []byte("all"))
	network.SendPeer(7, []byte("nobody"))
	network.SendPeer(1, make([]byte, maxDatagramBytes+1))
	var b [300]byte
	for _, want := range []string{"one", "all"} {
		_ = other.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, _, err := other.ReadFrom(b[:])
		assert.NoError(t, err)
		assert.Equal(t, want, string(b[:n]))
	}
	assert.Equal(t, uint64(2), network.Dropped.Load())
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer stranger.Close()
	_, _ = stranger.WriteTo([]byte("x"), here)
	_, _ = other.WriteTo(make([]byte, maxDatagramBytes+1), here)
	_, _ = other.WriteTo([]byte("hi"), here)
	it := queue.next(t)
	assert.Equal(t, []any{scheduler.PeerMessage, 1, "hi"}, []any{it.Event.Kind, it.Event.FromPeer, string(it.Event.Payload)})
	assert.Equal(t, uint64(2), network.UnknownSender.Load())
	quiet, err := New("", nil, "", queue, discardLog())
	assert.NoError(t, err)
	quiet.SendPeer(-1, []byte("x"))
	assert.Equal(t, uint64(1), quiet.Dropped.Load())
}

// An address that is still in use at the start is tried again.
func TestNew_RetriesAddressInUse(t *testing.T) {
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { held.Close() })
	network, err := New(held.LocalAddr().String(), nil, "", make(fakeQueue, 1), discardLog())
	if assert.NoError(t, err) {
		network.Stop()
	}
}
