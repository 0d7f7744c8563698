package adminapi

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestServer_ServesCallsUntilClosed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	handle := func(_ context.Context, operation string, fields map[string]any) (map[string]any, error) {
		switch operation {
		case "say":
			return map[string]any{"said": fields["what"]}, nil
		case "fail":
			return nil, errors.New("not now")
		}
		return nil, RequestErrorf("no question %q", operation)
	}
	s, err := Serve(path, handle)
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	reply, err := Call(t.Context(), path, "say", map[string]any{"what": []any{"x", 1.5}})
	require.NoError(t, err)
	assert.Equal(t, map[string]any{"said": []any{"x", 1.5}}, reply)
	_, err = Call(t.Context(), path, "odd", nil)
	assert.ErrorAs(t, err, &RequestError{})
	_, err = Call(t.Context(), path, "fail", nil)
	assert.ErrorContains(t, err, "not now")
	_, err = Serve(path, handle)
	assert.ErrorContains(t, err, "in use")
	s.Close()
	_, err = Call(t.Context(), path, "say", nil)
	assert.Error(t, err)
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Serve(path, handle)
	assert.ErrorContains(t, err, "not a socket")
	assert.FileExists(t, path, "a file that is not a socket must not be removed")
}
