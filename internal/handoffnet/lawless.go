//go:build lawless

package handoffnet

const lawless = true
