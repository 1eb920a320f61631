package ingress

import (
	"sync"
	"sync/atomic"

	"cactusstream.example/core/settings"
)

// usage counts the requests of each organisation since the daemon started.
type usage struct {
	counts sync.Map // *organisationUse by name.
}

type organisationUse struct {
	requests  atomic.Int64
	overQuota atomic.Int64
}

// of returns the counters of an organisation.
func (us *usage) of(org *settings.Organisation) *organisationUse {
	if use, known := us.counts.Load(org.Name); known {
		return use.(*organisationUse)
	}
	use, _ := us.counts.LoadOrStore(org.Name, &organisationUse{})
	return use.(*organisationUse)
}

// removeUnknown removes the counters of organisations that don't exist any more.
func (us *usage) removeUnknown(organisations *settings.Organisations) {
	us.counts.Range(func(name, _ any) bool {
		if organisations.ByName(name.(string)) == nil {
			us.counts.Delete(name)
		}
		return true
	})
}

// dump returns the counters by name, or nil if there are none.
func (us *usage) dump() map[string]any {
	var all map[string]any
	us.counts.Range(func(name, value any) bool {
		if all == nil {
			all = make(map[string]any)
		}
		use := value.(*organisationUse)
		all[name.(string)] = map[string]any{"requests": use.requests.Load(), "overQuota": use.overQuota.Load()}
		return true
	})
	return all
}
