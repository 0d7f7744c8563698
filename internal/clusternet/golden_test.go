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

var update = flag.Bool("update", false, "write the golden files anew")

// golden holds bytes against a file of testdata/golden, and gives what the file has.
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

// The service and its methods are called as they were, by the one who serves and by the one who calls.
func TestGolden_FleetNames(t *testing.T) {
	assert.Equal(t, "liftshift.Fleet", desc.ServiceName)
	var names []string
	for _, m := range desc.Methods {
		names = append(names, m.MethodName)
	}
	assert.Equal(t, []string{"Exchange", "Council", "Estate"}, names)
	assert.Empty(t, desc.Streams)
	assert.Equal(t, []string{"/liftshift.Fleet/Exchange", "/liftshift.Fleet/Council", "/liftshift.Fleet/Estate"},
		[]string{exchangeMethod, ConsensusMethod, HandoffMethod})
}

// A call's bytes are wrapped as they were.
func TestGolden_FleetCall(t *testing.T) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(wrapperspb.Bytes([]byte("what is said")))
	require.NoError(t, err)
	out := &wrapperspb.BytesValue{}
	require.NoError(t, proto.Unmarshal(golden(t, "call.pb", data), out))
	assert.Equal(t, "what is said", string(out.GetValue()))
}

// Datagrams of open work and of zones leave with the marks that they had, and by these are told apart where they come in.
func TestGolden_FleetDatagrams(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c
	}
	far := socket()
	defer far.Close()
	c := New("", logrus.New())
	c.udp = socket()
	words, scouts := make(chan string, 1), make(chan string, 1)
	c.HandoffDatagram = func(_ netip.AddrPort, data []byte) { words <- string(data) }
	c.LocalityDatagram = func(_ netip.AddrPort, data []byte) { scouts <- string(data) }
	ended := make(chan struct{})
	go func() { c.listen(); close(ended) }()
	for _, m := range []struct {
		file string
		send func(netip.AddrPort, []byte)
		came chan string
	}{{"datagram-open-work.bin", c.SendHandoff, words}, {"datagram-zones.bin", c.SendLocality, scouts}} {
		m.send(far.LocalAddr().(*net.UDPAddr).AddrPort(), []byte("what is said"))
		var b [mostDatagram]byte
		n, err := far.Read(b[:])
		require.NoError(t, err)
		_, err = far.WriteToUDP(golden(t, m.file, b[:n]), c.udp.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		select {
		case got := <-m.came:
			assert.Equal(t, "what is said", got)
		case <-time.After(10 * time.Second):
			t.Fatal("a datagram did not come: ", m.file)
		}
	}
	require.NoError(t, c.udp.Close())
	<-ended
}
