//go:build debug

package invariant

// Debug tells whether the program is built with the tag debug.
const Debug = true

// reportViolation counts a violation and panics.
func reportViolation(description string) {
	countViolation(description)
	panic("does not hold: " + description)
}
