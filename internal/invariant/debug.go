//go:build debug

package invariant

// Debug tells whether the program is built with the tag debug.
const Debug = true

func fail(claim string) {
	count(claim)
	panic("does not hold: " + claim)
}
