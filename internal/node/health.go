package node

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/ravenway/ravenway/internal/protocol/caller"
)

// healthHandler serves /healthz (the process is alive), /readyz (the node should receive requests)
// and /metrics.
func (n *Node) healthHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(writer, "ok")
	})
	router.HandleFunc("/readyz", n.serveReady)
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		n.writeGauges(writer)
		metrics.WritePrometheus(writer, true)
	})
	return router
}

func (n *Node) serveReady(writer http.ResponseWriter, _ *http.Request) {
	switch {
	case n.stopping.Load():
		http.Error(writer, "stopping", http.StatusServiceUnavailable)
	case n.view.Load().revision == 0:
		http.Error(writer, "no catalog yet", http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprintln(writer, "ready")
	}
}

// writeGauges writes the gauges, which are computed at each scrape.
func (n *Node) writeGauges(writer http.ResponseWriter) {
	metrics.WriteGaugeFloat64(writer, "ravenway_streams", float64(n.streams.active.Load()))
	metrics.WriteGaugeFloat64(writer, "ravenway_catalog_revision", float64(n.view.Load().revision))
	if n.replica == nil {
		return
	}
	view := n.replica.view.Load()
	metrics.WriteGaugeFloat64(writer, "ravenway_replica_term", float64(view.term))
	metrics.WriteGaugeFloat64(writer, "ravenway_replica_commit", float64(view.commit))
	metrics.WriteGaugeFloat64(writer, "ravenway_replica_quorum_age_seconds", view.quorumAge.Seconds())
	leading := 0.0
	if view.leading {
		leading = 1
	}
	metrics.WriteGaugeFloat64(writer, "ravenway_replica_leading", leading)
}

func countRefusal(code caller.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_refused_total{code=%q}", code)).Inc()
}

func countSettled(tenant string, tokens uint64) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_settled_requests_total{tenant=%q}", tenant)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_settled_tokens_total{tenant=%q}", tenant)).AddInt64(int64(tokens))
}
