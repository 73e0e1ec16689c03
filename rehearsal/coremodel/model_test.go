package coremodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

func check(t *testing.T, c Config, opt model.Options) (*Model, *model.Result[State]) {
	t.Helper()
	m, err := New(c)
	require.NoError(t, err)
	res, err := model.Check[State](m, opt)
	require.NoError(t, err)
	if v := res.Violation; v != nil {
		for i, s := range v.Trace.Steps {
			t.Log(i+1, m.Describe(v.Trace.States[i], s, v.Trace.States[i+1]))
		}
	}
	return m, res
}

func TestRunningCodeHolds(t *testing.T) {
	m, res := check(t, Config{Gateways: 2, Clients: 1, Attempts: 3, Notices: 1, Seeds: 2}, model.Options{})
	require.Nil(t, res.Violation)
	assert.True(t, res.Complete)
	for i, name := range m.CoverageGoals() {
		assert.NotZero(t, res.Covered>>i&1, "not reached: %s", name)
	}
	t.Logf("%d states, %d steps, depth %d, %.1f s", res.States, res.Transitions, res.Depth, res.Seconds)
}

// TestRequestIsHeldWhileNoGatewayIsReady removes the only gateway, before the request arrives or later, and brings it
// back.
func TestRequestIsHeldWhileNoGatewayIsReady(t *testing.T) {
	_, res := check(t, Config{Gateways: 1, Clients: 1, Attempts: 2, Notices: 2, Seeds: 1}, model.Options{})
	require.Nil(t, res.Violation)
	assert.True(t, res.Complete)
	t.Logf("%d states, %d steps, depth %d, %.1f s", res.States, res.Transitions, res.Depth, res.Seconds)
}

// TestInjectedBugsAreFoundInRunningCode injects each bug into the rule or the balancer of the running code.
func TestInjectedBugsAreFoundInRunningCode(t *testing.T) {
	for _, p := range InjectedBugs() {
		m, err := New(Config{Gateways: 2, Clients: 1, Attempts: 2, Notices: 2, Seeds: 1, Bug: p.Name})
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{})
		require.NoError(t, err)
		if assert.NotNil(t, res.Violation, "%s is not found", p.Name) {
			t.Logf("%s: %s, %d steps", p.Name, res.Violation.Property, len(res.Violation.Trace.Steps))
		}
	}
}

func TestConnectionsHold(t *testing.T) {
	for _, c := range []struct{ gateways, clients, notices, lines, seconds int }{{1, 2, 0, 1, 3}, {1, 1, 1, 1, 6}} {
		m, err := NewConnections(Config{Gateways: c.gateways, Clients: c.clients, Attempts: 2, Notices: c.notices}, c.lines,
			time.Duration(c.seconds)*time.Second)
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{})
		require.NoError(t, err)
		if v := res.Violation; v != nil {
			for i, s := range v.Trace.Steps {
				t.Log(i+1, m.Describe(v.Trace.States[i], s, v.Trace.States[i+1]))
			}
		}
		require.Nil(t, res.Violation)
		assert.True(t, res.Complete)
		t.Logf("%+v: %d states, %d steps, depth %d, %.1f s", c, res.States, res.Transitions, res.Depth, res.Seconds)
	}
}

func TestInjectedBugsAreFoundInConnections(t *testing.T) {
	for _, p := range ConnectionBugs() {
		m, err := NewConnections(Config{Gateways: 1, Clients: 1, Attempts: 2, Bug: p.Name}, 1, 6*time.Second)
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{})
		require.NoError(t, err)
		assert.NotNil(t, res.Violation, "%s is not found", p.Name)
	}
}
