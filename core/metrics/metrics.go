// Package metrics holds the metrics of a process and writes them out.
//
// Usage:
//
//	reg := metrics.NewRegistry()
//	reg.Counter("requests.ran").Inc(1)
//	reg.WritePrometheus(writer)
//
// Names are dotted camel case; Prometheus text turns dots into underscores.
package metrics

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

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

// All returns the metrics as plain values, by name.
func (re *Registry) All() map[string]any {
	all := make(map[string]any)
	for name, values := range re.reg.GetAll() {
		all[name] = values
	}
	return all
}

// Counter returns the counter of a name, made when it is new.
func (re *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, re.reg)
}

// Gauge returns the gauge of a name, made when it is new.
func (re *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, re.reg)
}

// Observe adds a duration to the histogram of a name, in microseconds.
func (re *Registry) Observe(name string, took time.Duration) {
	his := re.reg.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(gometrics.Histogram)
	his.Update(took.Microseconds())
}

// WritePrometheus writes the metrics as Prometheus text.
func (re *Registry) WritePrometheus(out io.Writer) error {
	var lines []string
	re.reg.Each(func(name string, metric any) {
		lines = append(lines, promLines("cactus_"+strings.NewReplacer(".", "_", "-", "_").Replace(name), metric)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

func promLines(name string, metric any) []string {
	switch met := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, met.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, met.Value())}
	case gometrics.Histogram:
		snap := met.Snapshot()
		lines := []string{fmt.Sprintf("%s_count %d", name, snap.Count())}
		for _, qu := range []float64{0.5, 0.9, 0.99} {
			lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(qu), snap.Percentile(qu)))
		}
		return lines
	}
	return nil
}
