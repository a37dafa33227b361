// Package store reaches the platform: an object API with versions, conditional
// updates and watches, and a list of hosts.
//
// # Usage
//
//	s := store.NewClient("http://127.0.0.1:7000")
//	o, err := s.Get(ctx, "settings/head")
//	o, err = s.Put(ctx, "settings/head", value, o.Version)
//	if errors.Is(err, store.ErrUnknown) {
//		// the write may have taken effect; read it back
//	}
package store

import (
	"context"
	"errors"

	"toucanpulley.example/internal/model"
)

// Errors of the platform. They are wrapped with step and peer.
var (
	// ErrNotFound is returned for an object that does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned for a write whose expected version is not the
	// current one. The write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable is returned if the platform could not be reached. A write
	// that returns it did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown is returned for a write that may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
)

// MaxValueBytes is the largest value of an object, in bytes.
const MaxValueBytes = 1 << 20

// Object is a named value. Versions grow over all objects of the platform.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Role tells what a host of the host list is.
type Role uint8

// Roles of hosts.
const (
	RoleEntry Role = iota + 1
	RoleSearcher
)

// HostEntry is an entry of the platform's host list, which lags.
type HostEntry struct {
	ID            string
	Role          Role
	Address       model.Address
	Peer          model.Address
	FailureDomain model.FailureDomain
	Region        model.Region
	Leaving       bool
}

// Store is the platform.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces an object if it has the expected version; zero expects that
	// it does not exist. It returns ErrConflict, ErrUnavailable or ErrUnknown.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (Object, error)
	// List returns the objects below a prefix and the platform's version.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits until an object below a prefix is newer than a version and
	// returns all such objects. It may return none after a while.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// ResultOf returns what is known of a conditional write that ended with an error
// or with none. An error of another kind proves nothing.
func ResultOf(err error) model.WriteResult {
	switch {
	case err == nil:
		return model.WriteAccepted
	case errors.Is(err, ErrConflict):
		return model.WriteConflict
	case errors.Is(err, ErrUnavailable):
		return model.WriteFailed
	default:
		return model.WriteUnknown
	}
}
