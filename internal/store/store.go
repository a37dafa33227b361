// Package store is the client of the platform: an object API with versions,
// conditional writes and watches, and a host list.
//
// # Usage
//
//	s := store.NewClient("http://127.0.0.1:7000")
//	o, err := s.Get(ctx, "settings/head")
//	o, err = s.Put(ctx, "settings/head", value, o.Version)
//	if errors.Is(err, store.ErrOutcomeUnknown) {
//		// the write may have taken effect; read it back
//	}
package store

import (
	"context"
	"errors"

	"toucanpulley.example/internal/model"
)

// Errors of platform calls. They are wrapped with the failed step and the address of
// the platform.
var (
	// ErrNotFound is returned for an object that does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned for a write whose expected version is not the
	// current one. The write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable is returned if the platform could not be reached or rejected
	// the call. A write that returns it did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown is returned for a write that may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
)

// MaxValueBytes is the maximum size of the value of an object.
const MaxValueBytes = 1 << 20

// Object is a named value. Versions increase across all objects of the platform.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Role is the role of a host in the host list.
type Role uint8

// Host roles.
const (
	RoleEntry Role = iota + 1
	RoleSearcher
)

// HostEntry is an entry of the platform's host list. The list may be out of date.
type HostEntry struct {
	ID            string
	Role          Role
	Address       model.Address
	Peer          model.Address
	FailureDomain model.FailureDomain
	Region        model.Region
	Leaving       bool
}

// Store is the API of the platform.
type Store interface {
	// Get returns an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces an object if it has the expected version; zero means that it
	// must not exist. It returns ErrConflict, ErrUnavailable or
	// ErrOutcomeUnknown.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (Object, error)
	// List returns the objects with a name prefix and the newest version on the
	// platform.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits until objects with a name prefix are newer than a version. It
	// returns them with the newest version on the platform. After a timeout it
	// returns no objects.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// ResultOf maps the error of a conditional write to its result. An unknown error
// means that the write may have taken effect.
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
