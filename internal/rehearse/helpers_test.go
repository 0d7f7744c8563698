package rehearse

import (
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var built struct {
	once sync.Once
	path string
	out  []byte
	err  error
}

// rehearsal starts a fleet of the real program.
func rehearsal(t *testing.T, p Plan) *Fleet {
	t.Helper()
	built.once.Do(func() {
		dir, err := exec.Command("mktemp", "-d").Output()
		if built.err = err; err == nil {
			built.path = string(dir[:len(dir)-1])
			built.out, built.err = exec.Command("go", "build", "-o", built.path+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		}
	})
	require.NoError(t, built.err, string(built.out))
	p.Program, p.Folder = filepath.Join(built.path, "liftshift"), t.TempDir()
	if p.Seed == 0 {
		p.Seed = uint64(time.Now().UnixNano())
	}
	f, err := New(p)
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			for _, c := range f.Controllers {
				t.Logf("---- %s\n%.4000s", c.Name, c.Log())
			}
		}
	})
	require.NoError(t, f.StartAll())
	return f
}

func settles(t *testing.T, f *Fleet, what string) {
	t.Helper()
	took, err := f.WhenSettled(15 * time.Second)
	require.NoError(t, err, what)
	t.Logf("%s: settled in %v", what, took.Round(10*time.Millisecond))
}
