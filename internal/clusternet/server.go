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
	// HandoffMethod is the method for the hand-over of requests.
	HandoffMethod = "/" + serviceName + "/Estate"
)

const (
	maxMessageBytes  = 4 << 20 // of a full state, or of a message between consensus nodes
	maxIncomingCalls = 64      // on a connection
	grpcBufferBytes  = 4 << 10
)

// fleetServer is the handler type that gRPC checks a Transport against.
type fleetServer interface {
	Do(func(float64, *membership.View)) bool
}

var serviceDesc = grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*fleetServer)(nil), Metadata: "liftshift/fleet",
	Methods: []grpc.MethodDesc{
		methodDesc("Exchange", (*Transport).handleExchange),
		methodDesc("Council", (*Transport).handleConsensus),
		methodDesc("Estate", (*Transport).handleHandoff),
	}}

func newServer(t *Transport) *grpc.Server {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxIncomingCalls),
		grpc.ConnectionTimeout(callTimeout), grpc.WriteBufferSize(grpcBufferBytes), grpc.ReadBufferSize(grpcBufferBytes))
	server.RegisterService(&serviceDesc, t)
	return server
}

// methodDesc describes a method whose request and response are bytes.
func methodDesc(name string, handle func(t *Transport, ctx context.Context, data []byte) ([]byte, error)) grpc.MethodDesc {
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

func (t *Transport) handleExchange(ctx context.Context, data []byte) ([]byte, error) {
	return t.callOwner(ctx, func(now float64, reply func([]byte, error)) {
		reply(t.step(now, &membership.Event{Kind: membership.ExchangeRequested, Data: data}), nil)
	})
}

func (t *Transport) handleConsensus(ctx context.Context, data []byte) ([]byte, error) {
	return t.callOwner(ctx, func(now float64, reply func([]byte, error)) {
		if t.consensus == nil {
			reply(nil, errors.New("no council here"))
			return
		}
		t.consensus.Handle(now, data, reply)
	})
}

func (t *Transport) handleHandoff(ctx context.Context, data []byte) ([]byte, error) {
	if t.HandoffCall == nil {
		return nil, errors.New("no copies are kept here")
	}
	return t.HandoffCall(ctx, data)
}

// response is the outcome of a call.
type response struct {
	data []byte
	err  error
}

// callOwner has the owner's goroutine answer a call and waits for the reply no longer than ctx lasts.
func (t *Transport) callOwner(ctx context.Context, handle func(now float64, reply func([]byte, error))) ([]byte, error) {
	responses := make(chan response, 1)
	call := func(now float64) {
		handle(now, func(data []byte, err error) { responses <- response{data, err} })
	}
	select {
	case t.calls <- call:
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
