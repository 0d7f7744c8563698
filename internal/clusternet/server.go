package clusternet

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"liftshift/internal/membership"
)

// The gRPC service. Its names are part of the wire format.
const (
	serviceName    = "liftshift.Fleet"
	exchangeMethod = "/" + serviceName + "/Exchange"
	// ConsensusMethod is the method for messages between consensus nodes.
	ConsensusMethod = "/" + serviceName + "/Council"
	// HandoffMethod is the method for messages of the handoff protocol.
	HandoffMethod = "/" + serviceName + "/Estate"
)

const (
	maxMessageBytes  = 4 << 20 // bounds full states of the view and messages between consensus nodes
	maxIncomingCalls = 64      // concurrent calls on one connection
	grpcBufferBytes  = 4 << 10
)

// fleetServer is the handler type that gRPC checks a Transport against.
type fleetServer interface {
	Do(func(float64, *membership.View)) bool
}

// serviceDesc describes the gRPC service without generated code, as all its messages are wrapped bytes.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName, HandlerType: (*fleetServer)(nil), Metadata: "liftshift/fleet",
	Methods: []grpc.MethodDesc{
		methodDesc("Exchange", (*Transport).handleExchange),
		methodDesc("Council", (*Transport).handleConsensus),
		methodDesc("Estate", (*Transport).handleHandoff),
	}}

// newServer returns a gRPC server with the service of a transport.
func newServer(t *Transport) *grpc.Server {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxIncomingCalls),
		grpc.ConnectionTimeout(callTimeout), grpc.WriteBufferSize(grpcBufferBytes), grpc.ReadBufferSize(grpcBufferBytes))
	server.RegisterService(&serviceDesc, t)
	return server
}

// byteHandler handles a call whose request and response are bytes.
type byteHandler func(t *Transport, ctx context.Context, data []byte) ([]byte, error)

// methodDesc describes a method with a byteHandler. An error of the handler is sent as codes.Unavailable.
func methodDesc(name string, handle byteHandler) grpc.MethodDesc {
	handler := func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := &wrapperspb.BytesValue{}
		if err := decode(request); err != nil {
			return nil, err
		}
		response, err := handle(server.(*Transport), ctx, request.GetValue())
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return wrapperspb.Bytes(response), nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// handleExchange answers an exchange of full states.
func (t *Transport) handleExchange(ctx context.Context, data []byte) ([]byte, error) {
	return t.callOnLoop(ctx, func(now float64, reply func([]byte, error)) {
		reply(t.step(now, &membership.Event{Kind: membership.ExchangeRequested, Data: data}), nil)
	})
}

// handleConsensus passes a message to the consensus node. The texts of its errors and of those of handleHandoff are
// sent to peers.
func (t *Transport) handleConsensus(ctx context.Context, data []byte) ([]byte, error) {
	return t.callOnLoop(ctx, func(now float64, reply func([]byte, error)) {
		if t.consensus == nil {
			reply(nil, errors.New("no council here"))
			return
		}
		t.consensus.Handle(now, data, reply)
	})
}

// handleHandoff passes a message of the handoff protocol to HandoffCall.
func (t *Transport) handleHandoff(ctx context.Context, data []byte) ([]byte, error) {
	if t.HandoffCall == nil {
		return nil, errors.New("no copies are kept here")
	}
	return t.HandoffCall(ctx, data)
}

// response is the result of a call on the event loop.
type response struct {
	data []byte
	err  error
}

// callOnLoop runs handle on the event loop and waits for its reply until ctx ends.
func (t *Transport) callOnLoop(
	ctx context.Context, handle func(now float64, reply func([]byte, error)),
) ([]byte, error) {
	responses := make(chan response, 1)
	call := func(now float64) {
		handle(now, func(data []byte, err error) { responses <- response{data, err} })
	}
	select {
	case t.loopCalls <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.done:
		return nil, errStopping
	}
	select {
	case r := <-responses:
		return r.data, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.done:
		return nil, errStopping
	}
}
