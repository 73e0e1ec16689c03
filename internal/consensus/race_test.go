//go:build race

package consensus

const racing = true
