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

// This file is the node's hold on the affairs of its site, which run on a thread of their own; see package control. Where
// no site file is named there is none of it.

const (
	// reportEvery is how often the loop tells control what it has taken and is clear of.
	reportEvery = 100 * time.Millisecond
	// lookEvery is how many reports come between two with the hosts, what is held there and what was counted, which cost more
	// to gather. A guard that fired and the counts under a policy that is over do not wait.
	lookEvery = 10
	// storeLook is how often a process looks whether an earlier one of the node has left the store.
	storeLook = 50 * time.Millisecond
)

var errNoRight = errors.New("the node was never told what is out: it waits for its first right to send")

// settle begins with the affairs of the node's site. Until there is a first verdict, nothing is sent.
func (n *node) settle() error {
	if n.cfg.SiteFile == "" {
		return nil
	}
	s, err := site.Load(n.cfg.SiteFile, n.cfg.Name)
	if err != nil {
		return fmt.Errorf("site file: %w", err)
	}
	n.loop.Call(func() { n.core.ApplyRestrictions(sendlease.Restrictions{AllAfterExpiry: true}) })
	if n.shared.HasEarlier(n.number) {
		go n.succeed(s)
		return nil
	}
	return n.control(s, 0)
}

// control starts the control thread. wait is how long another process of this node may still act on its right.
func (n *node) control(s *site.Site, wait time.Duration) error {
	var of control.Descriptors
	n.loop.Call(func() { // before control takes any
		of = n.governing(s)
		n.govern(of.Total)
	})
	thread, err := control.Start(n.log, s, n.loop, traffic{n}, wait, of.PeerConns)
	if err != nil {
		n.loop.Call(func() { n.govern(-of.Total) })
	}
	var told control.Actioner
	switch {
	case errors.As(err, &told):
		return fmt.Errorf("site: %w; what to do: %s", err, told.Action())
	case err != nil:
		return fmt.Errorf("site: %w", err)
	}
	n.loop.Call(func() {
		n.affairs, n.site, n.share = thread, s, of.Total
		n.core.SetCounting(true)
		if n.shared.HasLater(n.number) { // a later process has come meanwhile
			n.retire()
		} else if !n.telling {
			n.telling = true
			n.report()
		}
	})
	return nil
}

// governing returns the descriptors that control may hold.
func (n *node) governing(s *site.Site) control.Descriptors {
	of, err := control.DescriptorsFor(s, n.sockets-ownSockets-leastTraffic)
	var few *control.TooFewDescriptorsError
	if errors.As(err, &few) {
		n.log.Error("too few descriptors", "error", few, "action", few.Action())
	}
	return of
}

// govern keeps so many more descriptors free of traffic, or fewer.
func (n *node) govern(more int) {
	n.governs += more
	n.budget()
}

// succeed takes the store over from an earlier process of the node, which gives it up when it sees this one. The right that
// it may still have is waited out: this process would confirm what that one does not keep to.
func (n *node) succeed(s *site.Site) {
	for told := false; ; {
		err := n.control(s, s.SendLease.Duration)
		var used *store.InUseError
		switch {
		case err == nil:
			return
		case !errors.As(err, &used):
			n.log.Error("the affairs of the site are not taken part in, and nothing is sent", "error", err)
			return
		case !told:
			told = true
			n.log.Info("waits for an earlier process to leave the store", "store", s.Store)
		}
		select {
		case <-n.empty:
			return
		case <-time.After(storeLook):
		}
	}
}

// report tells control what holds here, again and again.
func (n *node) report() {
	if n.telling = n.affairs != nil; !n.telling {
		return
	}
	r := control.Report{Restrictions: n.core.Restrictions(), ClearedHosts: n.core.ClearedHosts(), Policy: n.tuning.under, RequestedPolicy: n.tuning.asked, SettingsChanges: n.tuning.changes}
	taken := func() {}
	if n.reports%lookEvery == 0 {
		r.Observation = n.core.ObserveHosts(n.tuning.set.Safety.WarmUp, n.weight(), n.discovery.Stale())
	}
	if n.reports%lookEvery == 0 || len(n.tuning.told) > 0 || n.core.GuardFired() {
		taken = n.evidence(&r)
	}
	n.reports++
	if n.affairs.Report(r) {
		taken()
	}
	n.loop.After(reportEvery, n.report)
}

// weight tells what a connection of a class counts for where hosts are compared: its worth, or 1 where the settings tell none.
func (n *node) weight() func(class string) float64 {
	if !slices.ContainsFunc(n.cfg.Settings.Classes, func(c balance.Class) bool { return c.Value > 0 }) {
		return func(string) float64 { return 1 }
	}
	return n.worth()
}

// retire gives the control up to a later process of the node. The right that is left is kept to.
func (n *node) retire() {
	if thread := n.affairs; thread != nil {
		n.affairs, n.gaveUp = nil, true
		n.core.SetCounting(false)
		share := n.share
		go func() {
			thread.Stop()
			n.loop.Do(func() { n.govern(-share) })
		}()
	}
}

// resume takes the control back that was given up to a process which has ended.
func (n *node) resume() {
	if n.gaveUp && !n.service.Leaving {
		n.gaveUp = false
		last := n.site
		go func() { n.succeed(n.siteNow(last)) }()
	}
}

// siteNow returns the site file as it is now, or as it was taken over last where it cannot be taken over: what was read while another process
// had the control was not for this one.
func (n *node) siteNow(last *site.Site) *site.Site {
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

// reseat takes a changed site file over, at SIGHUP, whole or not at all.
func (n *node) reseat() {
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
		if n.affairs != nil {
			n.site = next
			more := n.governing(next).Total - n.share
			n.share += more
			n.govern(more)
			n.affairs.ApplySiteFile(next)
		}
	})
}
