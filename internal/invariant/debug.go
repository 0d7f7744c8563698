//go:build debug

package invariant

// Debug tells which build this is.
const Debug = true

func fail(claim string) {
	count(claim)
	panic("does not hold: " + claim)
}
