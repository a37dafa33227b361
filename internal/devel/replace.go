package devel

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
)

// startDaemon starts an entry host in a failure domain and adds it to the
// platform's host list.
func (s *Site) startDaemon(ctx context.Context, domain Domain, id model.HostID, port int) error {
	entryAddress, err := freeAddress(ctx, domain.Address, port)
	if err != nil {
		return err
	}
	peerAddress, err := freeAddress(ctx, domain.Address, 0)
	if err != nil {
		return err
	}
	c := conf.Settings{
		Host: id, FailureDomain: model.FailureDomain(domain.Name), Region: Region, Platform: s.platformURL, Lanes: 2,
	}.WithAddresses(entryAddress, peerAddress)
	s.updateHosts(func(hosts []store.HostEntry) []store.HostEntry {
		return append(hosts, store.HostEntry{
			ID: string(id), Role: store.RoleEntry, Address: entryAddress, Peer: peerAddress,
			FailureDomain: c.FailureDomain, Region: c.Region,
		})
	})
	d, err := s.newDaemon(c)
	if err != nil {
		return err
	}
	// The platform lists a draining host as leaving.
	d.OnLeave = func() { s.markLeaving(id) }
	result := make(chan error, 1)
	s.tasks.Go(func() {
		err := d.Run(ctx)
		if err != nil {
			s.Log.Error("entry host failed", "host", id, "error", err)
			if !d.View().Draining {
				s.hostFailed(fault.Wrap(err, "run entry host", string(id)))
			}
		}
		result <- err
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons, s.addresses = append(s.daemons, d), append(s.addresses, string(entryAddress))
	s.results[d] = result
	return nil
}

// hostFailed records the error of a host, for awaitReady.
func (s *Site) hostFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = errors.Join(s.failure, err)
}

// updateHosts applies a change to the platform's host list.
func (s *Site) updateHosts(change func([]store.HostEntry) []store.HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = change(slices.Clone(s.hosts))
	s.platform.SetHosts(s.hosts)
}

func (s *Site) markLeaving(id model.HostID) {
	s.updateHosts(func(hosts []store.HostEntry) []store.HostEntry {
		for i := range hosts {
			hosts[i].Leaving = hosts[i].Leaving || hosts[i].ID == string(id)
		}
		return hosts
	})
}

// ReplaceOldestHost starts a new entry host in the failure domain of the oldest
// one, drains the oldest one and waits until it has stopped. It returns the
// error of the stopped host.
func (s *Site) ReplaceOldestHost(ctx context.Context) error {
	oldest := s.Daemons()[0]
	domain := s.Domains[s.replacements%len(s.Domains)]
	s.replacements++
	if err := s.startDaemon(ctx, domain, model.HostID(fmt.Sprintf("%s%s-r%d", hostPrefix, domain.Name, s.replacements)), 0); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	result := s.results[oldest]
	s.mu.Unlock()
	oldest.Drain()
	select {
	case err := <-result:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.daemons, s.addresses = s.daemons[1:], s.addresses[1:]
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), "replace entry host", oldest.View().NotReadyReason)
	}
}
