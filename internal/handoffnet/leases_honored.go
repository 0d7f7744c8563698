//go:build !lawless

package handoffnet

// ignoreLeases is set in builds for tests that must see what goes wrong without leases.
const ignoreLeases = false
