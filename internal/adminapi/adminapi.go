// Package adminapi is the operators' administrative interface to a running controller: gRPC with protobuf messages over a Unix socket
// that only its owner may open. It owns the socket and the form of questions and replies; it decides nothing and reads no state of the
// controller.
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
	service            = "liftshift.Control"
	method             = "Ask"
	maxMessageBytes    = 4 << 20
	callTimeout        = 5 * time.Second
	maxConcurrentCalls = 16
)

// Handler answers one question, given by its name, with its fields. An error of the caller is a RequestError.
type Handler func(ctx context.Context, question string, fields map[string]any) (map[string]any, error)

// RequestError is an error in a request: the caller can correct it.
type RequestError struct{ error }

// RequestErrorf makes one.
func RequestErrorf(format string, args ...any) error {
	return RequestError{fmt.Errorf(format, args...)}
}

// Server is a control socket that is open.
type Server struct {
	grpc *grpc.Server
	path string
}

type asker interface {
	ask(ctx context.Context, in *structpb.Struct) (*structpb.Struct, error)
}

type handling struct{ handle Handler }

func (h handling) ask(ctx context.Context, in *structpb.Struct) (*structpb.Struct, error) {
	fields := in.AsMap()
	question, _ := fields["question"].(string)
	delete(fields, "question")
	answer, err := h.handle(ctx, question, fields)
	var wrong RequestError
	switch {
	case errors.As(err, &wrong):
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return structpb.NewStruct(answer)
}

var desc = grpc.ServiceDesc{ServiceName: service, HandlerType: (*asker)(nil), Metadata: "liftshift/control", Methods: []grpc.MethodDesc{
	{MethodName: method, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &structpb.Struct{}
		if err := decode(in); err != nil {
			return nil, err
		}
		return srv.(asker).ask(ctx, in)
	}}}}

// ErrInUse is returned where another process serves the socket.
var ErrInUse = errors.New("in use by another process")

// Serve opens a control socket at a path. A socket that a dead controller left there is removed; one that answers is not.
func Serve(path string, handle Handler) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("control: %s: %w", path, ErrInUse)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s is there and no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("control: %w", err), l.Close())
	}
	s := &Server{path: path, grpc: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.ConnectionTimeout(callTimeout))}
	s.grpc.RegisterService(&desc, handling{handle})
	go func() { _ = s.grpc.Serve(l) }()
	return s, nil
}

// Close ends all calls and closes the socket.
func (s *Server) Close() { s.grpc.Stop() }

// Call asks the controller behind a path a question in its wire form; Ask is the typed one.
func Call(ctx context.Context, path, question string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := grpc.NewClient("unix:"+path, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	all := map[string]any{"question": question}
	for k, v := range fields {
		all[k] = v
	}
	in, err := structpb.NewStruct(all)
	if err != nil {
		return nil, err
	}
	out := &structpb.Struct{}
	if err := conn.Invoke(ctx, "/"+service+"/"+method, in, out); err != nil {
		if s, ok := status.FromError(err); ok && s.Code() == codes.InvalidArgument {
			return nil, RequestError{errors.New(s.Message())}
		}
		return nil, fmt.Errorf("control: %s: %w", path, err)
	}
	return out.AsMap(), nil
}
