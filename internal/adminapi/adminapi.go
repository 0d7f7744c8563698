// Package adminapi is the operators' administrative interface to a running controller: gRPC with protobuf messages over
// a Unix socket that only its owner may open. It has the server and the client of this control socket, the messages and
// their encoding. A controller provides the handlers.
//
// All operations use one gRPC method, whose request and reply are a protobuf Struct. The request names the operation in
// its field "question".
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
)

const (
	serviceName        = "liftshift.Control"
	methodName         = "Ask"
	operationField     = "question"
	maxMessageBytes    = 4 << 20
	callTimeout        = 5 * time.Second
	maxConcurrentCalls = 16
)

// Handler carries out an operation and returns the fields of the reply. It returns a RequestError if the request is
// invalid; any other error means that the controller cannot serve it now.
type Handler func(ctx context.Context, operation string, fields map[string]any) (map[string]any, error)

// RequestError is an error in a request, which the caller can correct. It keeps its type across the socket.
type RequestError struct{ error }

// RequestErrorf returns a RequestError with a formatted message.
func RequestErrorf(format string, args ...any) error {
	return RequestError{fmt.Errorf(format, args...)}
}

// Server serves a control socket.
type Server struct {
	grpc *grpc.Server
	path string
}

// controlServer is the server interface of the gRPC service.
type controlServer interface {
	ask(ctx context.Context, in *structpb.Struct) (*structpb.Struct, error)
}

// handlerServer implements controlServer by a Handler.
type handlerServer struct{ handle Handler }

func (s handlerServer) ask(ctx context.Context, in *structpb.Struct) (*structpb.Struct, error) {
	fields := in.AsMap()
	operation, _ := fields[operationField].(string)
	delete(fields, operationField)
	reply, err := s.handle(ctx, operation, fields)
	var requestError RequestError
	switch {
	case errors.As(err, &requestError):
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return structpb.NewStruct(reply)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*controlServer)(nil),
	Metadata:    "liftshift/control",
	Methods:     []grpc.MethodDesc{{MethodName: methodName, Handler: handleAsk}},
}

func handleAsk(
	server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor,
) (any, error) {
	in := &structpb.Struct{}
	if err := decode(in); err != nil {
		return nil, err
	}
	return server.(controlServer).ask(ctx, in)
}

// ErrInUse is returned by Serve if another process serves the socket.
var ErrInUse = errors.New("in use by another process")

// Serve opens a control socket at a path. It replaces a socket that nobody listens on, and returns ErrInUse for one
// that accepts connections.
func Serve(path string, handle Handler) (*Server, error) {
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("control: %s: %w", path, ErrInUse)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("control: %w", err), listener.Close())
	}
	s := &Server{path: path, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.ConnectionTimeout(callTimeout),
	)}
	s.grpc.RegisterService(&serviceDesc, handlerServer{handle})
	go func() { _ = s.grpc.Serve(listener) }()
	return s, nil
}

// Close cancels all calls and closes the socket.
func (s *Server) Close() { s.grpc.Stop() }

// Call calls an operation of the controller whose control socket is at a path, with the fields of the wire. Ask does
// the same with typed messages.
func Call(ctx context.Context, path, operation string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := grpc.NewClient("unix:"+path, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	request := map[string]any{operationField: operation}
	for name, value := range fields {
		request[name] = value
	}
	in, err := structpb.NewStruct(request)
	if err != nil {
		return nil, err
	}
	out := &structpb.Struct{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+methodName, in, out); err != nil {
		if s, ok := status.FromError(err); ok && s.Code() == codes.InvalidArgument {
			return nil, RequestError{errors.New(s.Message())}
		}
		return nil, fmt.Errorf("control: %s: %w", path, err)
	}
	return out.AsMap(), nil
}
