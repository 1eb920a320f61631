// Package metrics registers the metrics of a process and exports them.
//
// Usage:
//
//	reg := metrics.NewRegistry()
//	reg.Counter("requests.ran").Inc(1)
//	reg.WritePrometheus(writer)
//
// Names are in camel case with dots. In the Prometheus text format, names start with
// cactus_ and have underscores in place of dots and hyphens.
package metrics

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Size and decay factor of the exponentially decaying sample behind each histogram,
// the same as those of a go-metrics Timer.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Registry holds the metrics of one process.
type Registry struct {
	reg gometrics.Registry
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{reg: gometrics.NewRegistry()}
}

// All returns the values of all metrics, keyed by name.
func (re *Registry) All() map[string]any {
	all := make(map[string]any)
	for name, values := range re.reg.GetAll() {
		all[name] = values
	}
	return all
}

// Counter returns the counter with a name, and registers it if it does not exist.
func (re *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, re.reg)
}

// Gauge returns the gauge with a name, and registers it if it does not exist.
func (re *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, re.reg)
}

// Observe adds a duration, in microseconds, to the histogram with a name, and
// registers the histogram if it does not exist.
func (re *Registry) Observe(name string, duration time.Duration) {
	his := re.reg.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(gometrics.Histogram)
	his.Update(duration.Microseconds())
}

// WritePrometheus writes the metrics in the Prometheus text format, sorted by name.
func (re *Registry) WritePrometheus(out io.Writer) error {
	var lines []string
	re.reg.Each(func(name string, metric any) {
		lines = append(lines, prometheusLines("cactus_"+strings.NewReplacer(".", "_", "-", "_").Replace(name), metric)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// prometheusLines returns the lines of one metric in the Prometheus text format.
func prometheusLines(name string, metric any) []string {
	switch met := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, met.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, met.Value())}
	case gometrics.Histogram:
		snap := met.Snapshot()
		lines := []string{fmt.Sprintf("%s_count %d", name, snap.Count())}
		for _, quantile := range []float64{0.5, 0.9, 0.99} {
			lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(quantile), snap.Percentile(quantile)))
		}
		return lines
	}
	return nil
}
