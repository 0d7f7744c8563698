//go:build !lawless

package handoffnet

// ignoreLeases is true in builds with the tag lawless, whose tests show the failures that leases prevent.
const ignoreLeases = false
