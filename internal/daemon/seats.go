package daemon

import (
	"context"
	"errors"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/wire"
)

// seatsPrefix is the prefix of the objects that hold the seats of services.
const seatsPrefix = "seats/"

// seatStore executes the commands of the route world on the platform.
type seatStore struct {
	store store.Store
	log   hclog.Logger
}

// read executes a ReadSeats command and returns its result. A value that cannot
// be decoded counts as a failed read, so that it is neither used nor overwritten.
func (s seatStore) read(ctx context.Context, c route.ReadSeats) route.SeatsRead {
	name := seatsPrefix + string(c.Service)
	o, err := s.store.Get(ctx, name)
	if errors.Is(err, store.ErrNotFound) {
		return route.SeatsRead{Service: c.Service, Seats: model.Seats{Service: c.Service}}
	}
	var seats model.Seats
	if err == nil {
		seats, err = wire.DecodeSeats(c.Service, o.Version, o.Value)
	}
	if err != nil {
		s.log.Warn("platform call failed", "step", "read seats", "object", name, "error", err)
		return route.SeatsRead{Service: c.Service, Failed: true}
	}
	return route.SeatsRead{Service: c.Service, Seats: seats}
}

// write executes a WriteSeats command and returns its result.
func (s seatStore) write(ctx context.Context, c route.WriteSeats) route.SeatsWritten {
	name := seatsPrefix + string(c.Seats.Service)
	o, err := s.store.Put(ctx, name, wire.EncodeSeats(c.Seats), c.Seats.Version)
	written := route.SeatsWritten{Service: c.Seats.Service, Result: store.ResultOf(err), Version: o.Version}
	if written.Result == model.WriteFailed || written.Result == model.WriteUnknown {
		s.log.Warn("platform call failed", "step", "write seats", "object", name, "error", err)
	}
	return written
}
