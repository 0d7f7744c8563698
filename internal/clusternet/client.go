package clusternet

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	callTimeout      = time.Second
	maxOutgoingCalls = 24 // calls by Call in flight
	maxConnections   = 64
	idleTimeout      = 20 * time.Second
)

// errTooManyCalls is the error of a Call while maxOutgoingCalls others are in flight.
var errTooManyCalls = errors.New("too many outgoing calls are in flight")

// Call calls another member and passes the reply to callback on another goroutine. It does not block, and fails at once
// while maxOutgoingCalls others are in flight.
func (t *Transport) Call(to, method string, data []byte, callback func(reply []byte, err error)) {
	select {
	case t.callSlots <- struct{}{}:
	default:
		t.CallsRejected.Add(1)
		go callback(nil, errTooManyCalls)
		return
	}
	go func() {
		reply, err := t.CallSync(to, method, data)
		<-t.callSlots
		if err != nil {
			t.CallsLost.Add(1)
		}
		callback(reply, err)
	}()
}

// CallSync calls another member and waits for the reply, at most callTimeout. It is not bounded by maxOutgoingCalls.
func (t *Transport) CallSync(to, method string, data []byte) ([]byte, error) {
	conn, err := t.clients.get(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, method, wrapperspb.Bytes(data), reply); err != nil {
		if !isAnswer(err, conn) {
			t.clients.drop(to, conn)
		}
		return nil, err
	}
	return reply.GetValue(), nil
}

// isAnswer reports whether a failed call was answered by the member: its handler's errors are sent as Unavailable, and
// the connection goes on.
func isAnswer(err error, conn *grpc.ClientConn) bool {
	return status.Code(err) == codes.Unavailable && conn.GetState() == connectivity.Ready
}

// connectionCache holds client connections by address.
type connectionCache struct {
	localAddr *net.TCPAddr // source address of connections: the IP address at which this member listens

	mu            sync.Mutex
	conns         map[string]*grpc.ClientConn
	creationOrder []string                      // addresses, the oldest connection first
	retired       map[*grpc.ClientConn]struct{} // no longer in conns; calls that are in flight on them may end
}

// get returns the connection to an address and creates one if there is none. Past maxConnections, it closes the oldest.
func (c *connectionCache) get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	if len(c.creationOrder) >= maxConnections {
		oldest := c.creationOrder[0]
		c.creationOrder = slices.Delete(c.creationOrder, 0, 1)
		c.retire(c.conns[oldest])
		delete(c.conns, oldest)
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{LocalAddr: c.localAddr, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithIdleTimeout(idleTimeout), grpc.WithContextDialer(dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithWriteBufferSize(grpcBufferBytes), grpc.WithReadBufferSize(grpcBufferBytes))
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	c.creationOrder = append(c.creationOrder, address)
	return conn, nil
}

func newConnectionCache() connectionCache {
	return connectionCache{conns: map[string]*grpc.ClientConn{}, retired: map[*grpc.ClientConn]struct{}{}}
}

// drop takes a connection on which a call failed out of use, so that gRPC's backoff does not delay the next call.
func (c *connectionCache) drop(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != conn {
		return
	}
	delete(c.conns, address)
	if at := slices.Index(c.creationOrder, address); at >= 0 {
		c.creationOrder = slices.Delete(c.creationOrder, at, at+1)
	}
	c.retire(conn)
}

// retire closes a connection once the calls that are in flight on it have ended. The caller holds mu.
func (c *connectionCache) retire(conn *grpc.ClientConn) {
	c.retired[conn] = struct{}{}
	time.AfterFunc(callTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.retired, conn)
		_ = conn.Close()
	})
}

// close closes all connections when the transport stops.
func (c *connectionCache) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	for conn := range c.retired {
		_ = conn.Close()
	}
}
