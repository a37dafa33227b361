package devel

import (
	"context"
	"fmt"
	"slices"

	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
)

// startDaemon starts an entry host in a failure domain and lists it.
func (s *Site) startDaemon(ctx context.Context, domain Domain, id model.HostID, port int) error {
	entry, err := freeAddress(ctx, domain.Address, port)
	if err != nil {
		return err
	}
	peer, err := freeAddress(ctx, domain.Address, 0)
	if err != nil {
		return err
	}
	c := conf.Settings{
		Host: id, FailureDomain: model.FailureDomain(domain.Name), Region: Region, Platform: s.base, Lanes: 2,
	}.WithAddresses(entry, peer)
	s.list(func(hosts []store.HostEntry) []store.HostEntry {
		return append(hosts, store.HostEntry{
			ID: string(id), Role: store.RoleEntry, Address: entry, Peer: peer,
			FailureDomain: c.FailureDomain, Region: c.Region,
		})
	})
	d, err := s.newDaemon(c)
	if err != nil {
		return err
	}
	// The platform lists a host that is being shut down as leaving.
	d.OnLeave = func() { s.markLeaving(id) }
	ended := make(chan error, 1)
	s.wait.Go(func() {
		err := d.Run(ctx)
		if err != nil {
			s.Log.Error("entry host failed", "host", id, "error", err)
		}
		ended <- err
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons, s.entries = append(s.daemons, d), append(s.entries, string(entry))
	s.ended[d] = ended
	return nil
}

// list changes the platform's host list.
func (s *Site) list(change func([]store.HostEntry) []store.HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = change(slices.Clone(s.hosts))
	s.platform.SetHosts(s.hosts)
}

func (s *Site) markLeaving(id model.HostID) {
	s.list(func(hosts []store.HostEntry) []store.HostEntry {
		for i := range hosts {
			hosts[i].Leaving = hosts[i].Leaving || hosts[i].ID == string(id)
		}
		return hosts
	})
}

// Replace starts a new entry host in the failure domain of the oldest one, drains
// the oldest and waits for its end. It returns the error with which that ended.
func (s *Site) Replace(ctx context.Context) error {
	old := s.Daemons()[0]
	domain := s.Domains[s.replaced%len(s.Domains)]
	s.replaced++
	if err := s.startDaemon(ctx, domain, model.HostID(fmt.Sprintf("%s%s-r%d", hostPrefix, domain.Name, s.replaced)), 0); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	ended := s.ended[old]
	s.mu.Unlock()
	old.Drain()
	select {
	case err := <-ended:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.daemons, s.entries = s.daemons[1:], s.entries[1:]
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), "replace entry host", old.View().NotReadyReason)
	}
}
