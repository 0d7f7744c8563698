package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatchtest"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

func TestNetwork_SendsAndReceives(t *testing.T) {
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer peer.Close()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	listen := free.LocalAddr()
	free.Close()
	queue := make(dispatchtest.Queue, 10)
	peerAddress := peer.LocalAddr().String()
	network, err := New(listen.String(), []string{listen.String(), peerAddress}, peerAddress, queue, testlog.Discard())
	require.NoError(t, err)
	go network.Run()
	defer network.Stop()
	network.SendPeer(1, []byte("one"))
	network.SendPeer(-1, []byte("all"))
	network.SendPeer(7, []byte("no such peer"))
	network.SendPeer(1, make([]byte, maxDatagramBytes+1))
	var buffer [300]byte
	for _, want := range []string{"one", "all"} {
		_ = peer.SetReadDeadline(time.Now().Add(3 * time.Second))
		size, _, err := peer.ReadFrom(buffer[:])
		assert.NoError(t, err)
		assert.Equal(t, want, string(buffer[:size]))
	}
	assert.Equal(t, uint64(2), network.Dropped.Load())
	unknownSender, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unknownSender.Close()
	_, _ = unknownSender.WriteTo([]byte("x"), listen)
	_, _ = peer.WriteTo(make([]byte, maxDatagramBytes+1), listen)
	_, _ = peer.WriteTo([]byte("hi"), listen)
	event := queue.Next(t).Event
	assert.Equal(t, []any{scheduler.PeerMessage, 1, "hi"}, []any{event.Kind, event.FromPeer, string(event.Payload)})
	assert.Equal(t, uint64(2), network.UnknownSender.Load())
	unbound, err := New("", nil, "", queue, testlog.Discard())
	assert.NoError(t, err)
	unbound.SendPeer(-1, []byte("x"))
	assert.Equal(t, uint64(1), unbound.Dropped.Load(), "without a listen address every message is dropped")
}

// A previous process may still hold the listen address for a moment at the start.
func TestNew_RetriesAddressInUse(t *testing.T) {
	previous, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { previous.Close() })
	network, err := New(previous.LocalAddr().String(), nil, "", make(dispatchtest.Queue, 1), testlog.Discard())
	if assert.NoError(t, err) {
		network.Stop()
	}
}
