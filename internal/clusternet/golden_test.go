package clusternet

import (
	"flag"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares bytes with a file of testdata/golden and returns the content of the file.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), name)
	return want
}

// The service and its methods keep their names, on the server's side and on the client's.
func TestGolden_ClusterNetServiceNames(t *testing.T) {
	assert.Equal(t, "liftshift.Fleet", serviceDesc.ServiceName)
	var names []string
	for _, m := range serviceDesc.Methods {
		names = append(names, m.MethodName)
	}
	assert.Equal(t, []string{"Exchange", "Council", "Estate"}, names)
	assert.Empty(t, serviceDesc.Streams)
	assert.Equal(t, []string{"/liftshift.Fleet/Exchange", "/liftshift.Fleet/Council", "/liftshift.Fleet/Estate"},
		[]string{exchangeMethod, ConsensusMethod, HandoffMethod})
}

// The bytes of a call are wrapped as before.
func TestGolden_ClusterNetCall(t *testing.T) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(wrapperspb.Bytes([]byte("what is said")))
	require.NoError(t, err)
	out := &wrapperspb.BytesValue{}
	require.NoError(t, proto.Unmarshal(golden(t, "call.pb", data), out))
	assert.Equal(t, "what is said", string(out.GetValue()))
}

// Datagrams about the hand-over of requests and about zones keep their prefixes and are told apart by them.
func TestGolden_ClusterNetDatagrams(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c
	}
	peer := socket()
	defer peer.Close()
	c := New("", logrus.New())
	c.udpConn = socket()
	handoff, locality := make(chan string, 1), make(chan string, 1)
	c.HandoffDatagram = func(_ netip.AddrPort, data []byte) { handoff <- string(data) }
	c.LocalityDatagram = func(_ netip.AddrPort, data []byte) { locality <- string(data) }
	ended := make(chan struct{})
	go func() { c.receiveDatagrams(); close(ended) }()
	for _, m := range []struct {
		file     string
		send     func(netip.AddrPort, []byte)
		received chan string
	}{{"datagram-open-work.bin", c.SendHandoff, handoff}, {"datagram-zones.bin", c.SendLocality, locality}} {
		m.send(peer.LocalAddr().(*net.UDPAddr).AddrPort(), []byte("what is said"))
		var b [maxDatagramBytes]byte
		n, err := peer.Read(b[:])
		require.NoError(t, err)
		_, err = peer.WriteToUDP(golden(t, m.file, b[:n]), c.udpConn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		select {
		case got := <-m.received:
			assert.Equal(t, "what is said", got)
		case <-time.After(10 * time.Second):
			t.Fatal("a datagram did not come: ", m.file)
		}
	}
	require.NoError(t, c.udpConn.Close())
	<-ended
}
