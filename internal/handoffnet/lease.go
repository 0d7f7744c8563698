//go:build !lawless

package handoffnet

// lawless is whether leases are not looked at: a control for tests, which must then see what goes wrong.
const lawless = false
