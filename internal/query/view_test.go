package query

import (
	"fmt"
	"testing"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// fleetView returns a view of services with 84 searchers each; the host runs
// only the first service.
func fleetView(services int) view.View {
	const searchers = 84
	var indexes []model.Index
	for i := range services {
		index := model.Index{Service: model.ServiceName(fmt.Sprintf("service-%03d", i))}
		for j := range searchers {
			index.Searchers = append(index.Searchers, model.Searcher{
				ID: model.SearcherID(fmt.Sprintf("%s-%02d", index.Service, j)), Address: "10.0.0.1:1", Slots: 2, ConnectionCap: 25,
			})
		}
		indexes = append(indexes, index)
	}
	return view.New().WithIndexes(indexes...).WithRoutes(nil, map[model.ServiceName]view.Ownership{"service-000": {Slots: 1, Connections: 2}})
}

// BenchmarkViewChanged measures the time that a lane takes to apply a new view,
// by the number of services of the fleet.
func BenchmarkViewChanged(b *testing.B) {
	for _, n := range []int{68, 340, 680} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			w, v, now := NewWorld("host-a", "domain-a"), fleetView(n), time.Now()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				w.Tick(now, []Event{ViewChanged{View: v}})
			}
		})
	}
}
