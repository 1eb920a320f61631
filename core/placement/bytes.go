package placement

import (
	"sync"
	"time"
)

const (
	// sizeWeight is the least weight of a sample in an average of body sizes. Sizes
	// within a kind differ by a factor of six or more, so an average over few samples
	// would change with each of them.
	sizeWeight = 0.05
	// maxTrackedSizes is the number of kinds whose body sizes are kept: the routes of
	// the largest deployment, with the names of their services (0.6 MB).
	maxTrackedSizes = 4096
	// bytesInZoneCost is the size, in bytes, of the bodies of a request up to which a
	// crossing of zones costs nothing beyond the cost of the zone itself.
	bytesInZoneCost = 8000
	// bytesPerKilobyte is the unit of the cost per kilobyte, as in prices for traffic.
	bytesPerKilobyte = 1000
)

// ByteCost returns the wait that a crossing of zones must save for the bytes that it
// transfers, in addition to the cost of the zone: what a Policy has as its ByteCost.
func ByteCost(perKilobyte time.Duration, bytes float64) time.Duration {
	return time.Duration(max(bytes-bytesInZoneCost, 0) / bytesPerKilobyte * float64(perKilobyte))
}

// Kind names a kind of request of a service.
type Kind struct{ Service, Name string }

// Sizes keeps the usual sizes of the answers of each kind of request. It is safe for
// concurrent use. The zero value is ready to use.
type Sizes struct {
	mu       sync.Mutex
	kinds    map[Kind]*average
	services map[string]*average
}

// average is an exponential moving average. Its first samples have equal weights.
type average struct {
	mean  float64
	count int
}

func (av *average) add(sample float64) {
	av.count++
	av.mean += max(1/float64(av.count), sizeWeight) * (sample - av.mean)
}

// Observe adds the size of an answer.
func (si *Sizes) Observe(kind Kind, bytes int) {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.kinds == nil {
		si.kinds, si.services = make(map[Kind]*average), make(map[string]*average)
	}
	addTo(si.kinds, kind, float64(bytes))
	addTo(si.services, kind.Service, float64(bytes))
}

// addTo adds a sample to an average of a table. It makes room in a full table by
// deleting an arbitrary entry, which is learned again from its next answer.
func addTo[K comparable](table map[K]*average, key K, sample float64) {
	av := table[key]
	if av == nil {
		if len(table) >= maxTrackedSizes {
			for other := range table {
				delete(table, other)
				break
			}
		}
		av = &average{}
		table[key] = av
	}
	av.add(sample)
}

// Expected returns the usual size of an answer: that of the kind, or of all answers of
// its service until the kind had one, or 0 if the service had none either.
func (si *Sizes) Expected(kind Kind) float64 {
	si.mu.Lock()
	defer si.mu.Unlock()
	if av := si.kinds[kind]; av != nil {
		return av.mean
	}
	if av := si.services[kind.Service]; av != nil {
		return av.mean
	}
	return 0
}
