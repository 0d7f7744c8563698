package chaostest

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
			built.out, built.err = exec.Command("go", "build", "-tags", "faults", "-o", built.path+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
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

// led waits until a controller other than one leads the council, and gives its number.
func led(t *testing.T, f *Fleet, not int) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range f.Controllers {
			if c.Up() && k != not {
				if a, err := f.Ask(k, "council", nil); err == nil && a["leader"] == c.Name {
					leader = k
					return true
				}
			}
		}
		return false
	}, 15*time.Second, 20*time.Millisecond, "somebody leads")
	return leader
}

func held(f *Fleet, k int) bool {
	a, err := f.Ask(k, "council", nil)
	return err == nil && a["held"] == true
}

// holding waits until all that run hold their leases.
func holding(t *testing.T, f *Fleet) {
	t.Helper()
	for k, c := range f.Controllers {
		if c.Up() {
			require.Eventually(t, func() bool { return held(f, k) }, 15*time.Second, 20*time.Millisecond, "%s holds its lease", c.Name)
		}
	}
}

// place gives how a name stands in the record, as one controller has it.
func place(f *Fleet, k int, name string) string {
	a, err := f.Ask(k, "council", nil)
	if err != nil {
		return err.Error()
	}
	list, _ := a["places"].([]any)
	for _, x := range list {
		if p, _ := x.(map[string]any); p["name"] == name {
			switch {
			case p["left"] == true:
				return "left"
			case p["lost"] == true:
				return "lost"
			}
			return "in"
		}
	}
	return ""
}

// voters gives who votes, or learns to, as one controller has it.
func voters(f *Fleet, k int) (names []string) {
	a, err := f.Ask(k, "council", nil)
	if err != nil {
		return nil
	}
	list, _ := a["voters"].([]any)
	for _, x := range list {
		v, _ := x.(map[string]any)
		name, _ := v["name"].(string)
		names = append(names, name)
	}
	return names
}
