package adminapi

import (
	"context"
	"flag"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
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

func bytesOf(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	require.NoError(t, err)
	return data
}

// A server that knows the service by its names alone gets a question with the bytes that it had, and the client reads the answer that
// was; this package's server reads that question, and answers with the same bytes.
func TestGolden_ControlAsk(t *testing.T) {
	given := map[string]any{"what": []any{"x", 1.5, true, nil}, "inner": map[string]any{"k": "v"}}
	said := map[string]any{"said": "yes", "number": 2.0, "list": []any{"y"}}
	question, answer := &structpb.Struct{}, &structpb.Struct{}
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.Listen("unix", path)
	require.NoError(t, err)
	server := grpc.NewServer()
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "liftshift.Control", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		{MethodName: "Ask", Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			if err := decode(question); err != nil {
				return nil, err
			}
			return structpb.NewStruct(said)
		}}}}, struct{}{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	got, err := Call(t.Context(), path, "say", given)
	require.NoError(t, err)
	assert.Equal(t, said, got)

	require.NoError(t, proto.Unmarshal(golden(t, "question.pb", bytesOf(t, question)), question))
	out, err := handling{func(_ context.Context, name string, fields map[string]any) (map[string]any, error) {
		assert.Equal(t, "say", name)
		assert.Equal(t, given, fields)
		return said, nil
	}}.ask(t.Context(), question)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(golden(t, "answer.pb", bytesOf(t, out)), answer))
	assert.Equal(t, said, answer.AsMap())
}

// The service and its method are called as they were.
func TestGolden_ControlNames(t *testing.T) {
	assert.Equal(t, "liftshift.Control", desc.ServiceName)
	require.Len(t, desc.Methods, 1)
	assert.Equal(t, "Ask", desc.Methods[0].MethodName)
	assert.Empty(t, desc.Streams)
}
