package adminapi

import (
	"context"
	"net"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"liftshift/internal/goldenfile"
)

func marshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	require.NoError(t, err)
	return data
}

// The client sends the recorded request bytes to a server built from the service's names alone, and reads its reply.
// This package's server reads the recorded request and replies with the recorded bytes.
func TestGolden_ControlAsk(t *testing.T) {
	requestFields := map[string]any{"what": []any{"x", 1.5, true, nil}, "inner": map[string]any{"k": "v"}}
	replyFields := map[string]any{"said": "yes", "number": 2.0, "list": []any{"y"}}
	request, reply := &structpb.Struct{}, &structpb.Struct{}
	path := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", path)
	require.NoError(t, err)
	recordRequest := func(
		_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor,
	) (any, error) {
		if err := decode(request); err != nil {
			return nil, err
		}
		return structpb.NewStruct(replyFields)
	}
	server := grpc.NewServer()
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "liftshift.Control",
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: "Ask", Handler: recordRequest}},
	}, struct{}{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	got, err := Call(t.Context(), path, "say", requestFields)
	require.NoError(t, err)
	assert.Equal(t, replyFields, got)

	require.NoError(t, proto.Unmarshal(goldenfile.Compare(t, "question.pb", marshal(t, request)), request))
	out, err := handlerServer{func(_ context.Context, operation string, fields map[string]any) (map[string]any, error) {
		assert.Equal(t, "say", operation)
		assert.Equal(t, requestFields, fields)
		return replyFields, nil
	}}.ask(t.Context(), request)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(goldenfile.Compare(t, "answer.pb", marshal(t, out)), reply))
	assert.Equal(t, replyFields, reply.AsMap())
}

// The names of the service and its method are part of the protocol.
func TestGolden_ControlNames(t *testing.T) {
	assert.Equal(t, "liftshift.Control", serviceDesc.ServiceName)
	require.Len(t, serviceDesc.Methods, 1)
	assert.Equal(t, "Ask", serviceDesc.Methods[0].MethodName)
	assert.Empty(t, serviceDesc.Streams)
}
