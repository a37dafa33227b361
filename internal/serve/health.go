package serve

import (
	"fmt"
	"net/http"

	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/view"
)

// RegisterMonitoring registers the monitoring endpoints on a mux: /healthz
// succeeds while the process runs, /readyz only while the host accepts requests of
// callers; /metrics returns the metrics in the Prometheus text format and
// /metrics.json as JSON.
func RegisterMonitoring(mux *http.ServeMux, views *view.Atomic, m *meter.Meter) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch v := views.Load(); {
		case v.Draining:
			http.Error(w, "draining", http.StatusServiceUnavailable)
		case !v.Ready:
			http.Error(w, v.NotReadyReason, http.StatusServiceUnavailable)
		default:
			_, _ = fmt.Fprintln(w, "ready")
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { _ = m.WritePrometheus(w) })
	mux.HandleFunc("GET /metrics.json", func(w http.ResponseWriter, _ *http.Request) { m.WriteJSON(w) })
}
