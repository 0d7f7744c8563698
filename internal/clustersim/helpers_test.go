package clustersim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/membership"
)

func started(t *testing.T, n int, seed uint64) *Fleet {
	f := New(n, seed)
	for k := range n {
		f.Start(k)
	}
	settles(t, f, 10_000, "start")
	return f
}

// settles waits until the views are what is.
func settles(t *testing.T, f *Fleet, within float64, what string) {
	t.Helper()
	took := f.WhenSettled(within, 50)
	require.GreaterOrEqual(t, took, 0.0, "%d nodes, %s: not settled after %.0f ms", len(f.Nodes), what, within)
	t.Logf("%d nodes, %s: settled in %.0f ms", len(f.Nodes), what, took)
}

// falselyGone counts who is held for gone though it is up.
func falselyGone(f *Fleet) *int {
	n := new(int)
	f.Saw = func(_ int, e *membership.Effect) {
		for _, nd := range f.Nodes {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead && nd.Name == e.Member.Name && nd.Up {
				*n++
			}
		}
	}
	return n
}

// record gives what one node sends to another within two seconds.
func record(f *Fleet, to, from int) (list [][]byte) {
	f.Tap = func(a, b int, data []byte) {
		if a == from && b == to {
			list = append(list, data)
		}
	}
	f.Run(f.Now + 10_000)
	f.Tap = nil
	return list
}
