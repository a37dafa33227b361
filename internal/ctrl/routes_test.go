package ctrl_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
)

// Guards against a host that runs services, and so opens connections to
// searchers, before it has a seat.
func TestHostRunsNoServiceWithoutSeat(t *testing.T) {
	is := is.New(t)
	w := ctrl.NewWorld(model.Host{ID: "a", FailureDomain: "karachi-a"}, 1)
	published := 0
	for _, c := range w.Tick(time.Unix(1, 0), nil) {
		if p, ok := c.(ctrl.Publish); ok {
			published++
			is.True(!p.View.Runs("jury-desk"))
		}
	}
	is.True(published > 0)
}
