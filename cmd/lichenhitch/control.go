package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/consensus/store"
	"lichenhitch/internal/control"
	"lichenhitch/internal/site"
)

// This file connects the node to the control of its site, which runs on a thread of its own; see package control.
// Without a site file, none of it runs.

const (
	// reportInterval is how often the loop reports to control which restrictions it has applied and which hosts are
	// cleared.
	reportInterval = 100 * time.Millisecond
	// hostViewEvery is the number of reports per report that includes the host view and the counts, which cost more
	// to gather. Counts under a policy that is no longer applied, and a guard that fired, are reported at once.
	hostViewEvery = 10
	// storePollInterval is how often a process checks whether an earlier process of the node has closed the store.
	storePollInterval = 50 * time.Millisecond
)

var errNoLease = errors.New("the node does not know yet which hosts are excluded: it waits for its first send lease")

// startSiteControl joins the control plane of the node's site. Until control sets the first restrictions,
// no request is sent to a host.
func (n *node) startSiteControl() error {
	if n.cfg.SiteFile == "" {
		return nil
	}
	s, err := site.Load(n.cfg.SiteFile, n.cfg.Name)
	if err != nil {
		return fmt.Errorf("site file: %w", err)
	}
	n.loop.Call(func() { n.core.ApplyRestrictions(sendlease.Restrictions{AllAfterExpiry: true}) })
	if n.sharedState.HasEarlier(n.processNumber) {
		go n.takeOverStore(s)
		return nil
	}
	return n.startControl(s, 0)
}

// startControl starts the control thread. wait is how long another process of this node may still act on its send
// lease.
func (n *node) startControl(s *site.Site, wait time.Duration) error {
	var sockets control.Descriptors
	n.loop.Call(func() { // before control opens any
		sockets = n.socketsForControl(s)
		n.addControlSockets(sockets.Total)
	})
	thread, err := control.Start(n.log, s, n.loop, traffic{n}, wait, sockets.PeerConns)
	if err != nil {
		n.loop.Call(func() { n.addControlSockets(-sockets.Total) })
	}
	var actioner control.Actioner
	switch {
	case errors.As(err, &actioner):
		return fmt.Errorf("site: %w; what to do: %s", err, actioner.Action())
	case err != nil:
		return fmt.Errorf("site: %w", err)
	}
	n.loop.Call(func() {
		n.controlThread, n.site, n.controlSockets = thread, s, sockets.Total
		n.core.SetCounting(true)
		if n.sharedState.HasLater(n.processNumber) { // a later process has started meanwhile
			n.releaseControl()
		} else if !n.reporting {
			n.reporting = true
			n.report()
		}
	})
	return nil
}

// socketsForControl returns the descriptors that control may hold.
func (n *node) socketsForControl(s *site.Site) control.Descriptors {
	sockets, err := control.DescriptorsFor(s, n.sockets-reservedSockets-minTrafficSockets)
	var tooFew *control.TooFewDescriptorsError
	if errors.As(err, &tooFew) {
		n.log.Error("too few descriptors", "error", tooFew, "action", tooFew.Action())
	}
	return sockets
}

// addControlSockets changes by delta the number of descriptors that are kept from traffic for control.
func (n *node) addControlSockets(delta int) {
	n.allControlSockets += delta
	n.updateLimits()
}

// takeOverStore opens the store once an earlier process of the node has closed it, which that process does when it
// notices this one. Control then waits until the send lease which that process may still have has expired: otherwise
// this process would confirm exclusions that the earlier one does not observe.
func (n *node) takeOverStore(s *site.Site) {
	for logged := false; ; {
		err := n.startControl(s, s.SendLease.Duration)
		var inUse *store.InUseError
		switch {
		case err == nil:
			return
		case !errors.As(err, &inUse):
			n.log.Error("control of the site has not started, and no request is sent to a host", "error", err)
			return
		case !logged:
			logged = true
			n.log.Info("waiting for an earlier process to close the store", "store", s.Store)
		}
		select {
		case <-n.shutdownComplete:
			return
		case <-time.After(storePollInterval):
		}
	}
}

// report sends the state of the loop to control and schedules the next report.
func (n *node) report() {
	if n.reporting = n.controlThread != nil; !n.reporting {
		return
	}
	r := control.Report{Restrictions: n.core.Restrictions(), ClearedHosts: n.core.ClearedHosts(), Policy: n.policyState.applied,
		RequestedPolicy: n.policyState.requested, SettingsChanges: n.policyState.settingsChanges}
	accepted := func() {}
	if n.reportCount%hostViewEvery == 0 {
		r.Observation = n.core.ObserveHosts(n.policyState.settings.Safety.WarmUp, n.weight(), n.discovery.Stale())
	}
	if n.reportCount%hostViewEvery == 0 || len(n.policyState.unreported) > 0 || n.core.GuardFired() {
		accepted = n.addCounts(&r)
	}
	n.reportCount++
	if n.controlThread.Report(r) {
		accepted()
	}
	n.loop.After(reportInterval, n.report)
}

// weight returns the weight of a connection of a class for the comparison of hosts: the value of the class, or 1
// where no class has a value.
func (n *node) weight() func(class string) float64 {
	if !slices.ContainsFunc(n.cfg.Settings.Classes, func(c balance.Class) bool { return c.Value > 0 }) {
		return func(string) float64 { return 1 }
	}
	return n.classValue()
}

// releaseControl stops control in favor of a later process of the node. The loop still observes the rest of the send
// lease.
func (n *node) releaseControl() {
	if thread := n.controlThread; thread != nil {
		n.controlThread, n.controlReleased = nil, true
		n.core.SetCounting(false)
		sockets := n.controlSockets
		go func() {
			thread.Stop()
			n.loop.Do(func() { n.addControlSockets(-sockets) })
		}()
	}
}

// reclaimControl takes control back after the process that it was released to has ended.
func (n *node) reclaimControl() {
	if n.controlReleased && !n.service.Leaving {
		n.controlReleased = false
		last := n.site
		go func() { n.takeOverStore(n.currentSite(last)) }()
	}
}

// currentSite returns the site file as it is now, or the one applied last if the new one cannot be applied: changes
// that were made while another process had control have not been applied by this one.
func (n *node) currentSite(last *site.Site) *site.Site {
	next, err := site.Load(n.cfg.SiteFile, n.cfg.Name)
	if err == nil {
		err = last.CheckChange(next)
	}
	if err != nil {
		n.log.Error("the site file is not taken over; the old one stays", "error", err)
		return last
	}
	return next
}

// reloadSite applies a changed site file on SIGHUP, as a whole or not at all.
func (n *node) reloadSite() {
	if n.cfg.SiteFile == "" {
		return
	}
	next, err := site.Load(n.cfg.SiteFile, n.cfg.Name)
	n.loop.Call(func() {
		if err == nil && n.site != nil {
			err = n.site.CheckChange(next)
		}
		if err != nil {
			n.log.Error("the site file is not taken over; the old one stays", "error", err)
			return
		}
		if n.controlThread != nil {
			n.site = next
			delta := n.socketsForControl(next).Total - n.controlSockets
			n.controlSockets += delta
			n.addControlSockets(delta)
			n.controlThread.ApplySiteFile(next)
		}
	})
}
