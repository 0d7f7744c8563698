package clusternet

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"liftshift/internal/goldenfile"
)

// goldenContent is the payload of the golden messages.
const goldenContent = "what is said"

// The names of the gRPC service and its methods are stable, on the server's side and on the client's.
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

// The encoding of a call's payload is stable.
func TestGolden_ClusterNetCall(t *testing.T) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(wrapperspb.Bytes([]byte(goldenContent)))
	require.NoError(t, err)
	decoded := &wrapperspb.BytesValue{}
	require.NoError(t, proto.Unmarshal(goldenfile.Compare(t, "call.pb", data), decoded))
	assert.Equal(t, goldenContent, string(decoded.GetValue()))
}

// The prefixes of handoff and locality datagrams are stable, and each kind reaches its own handler.
func TestGolden_ClusterNetDatagrams(t *testing.T) {
	openSocket := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		return conn
	}
	peer := openSocket()
	defer peer.Close()
	transport := New("", logrus.New())
	transport.udpConn = openSocket()
	handoff, locality := make(chan string, 1), make(chan string, 1)
	transport.HandoffDatagram = func(_ netip.AddrPort, data []byte) { handoff <- string(data) }
	transport.LocalityDatagram = func(_ netip.AddrPort, data []byte) { locality <- string(data) }
	ended := make(chan struct{})
	go func() { transport.receiveDatagrams(); close(ended) }()
	for _, test := range []struct {
		file     string
		send     func(netip.AddrPort, []byte)
		received chan string
	}{
		{"datagram-open-work.bin", transport.SendHandoff, handoff},
		{"datagram-zones.bin", transport.SendLocality, locality},
	} {
		test.send(peer.LocalAddr().(*net.UDPAddr).AddrPort(), []byte(goldenContent))
		var buffer [maxDatagramBytes]byte
		n, err := peer.Read(buffer[:])
		require.NoError(t, err)
		_, err = peer.WriteToUDP(goldenfile.Compare(t, test.file, buffer[:n]), transport.udpConn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		select {
		case got := <-test.received:
			assert.Equal(t, goldenContent, got)
		case <-time.After(10 * time.Second):
			t.Fatalf("the datagram of %s did not reach its handler", test.file)
		}
	}
	require.NoError(t, transport.udpConn.Close())
	<-ended
}
