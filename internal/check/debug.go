//go:build debug

package check

func fail(claim string) {
	count(claim)
	panic("does not hold: " + claim)
}
