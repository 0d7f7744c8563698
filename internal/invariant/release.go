//go:build !debug

package invariant

// Debug tells which build this is.
const Debug = false

func fail(claim string) { count(claim) }
