package ingress

import (
	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/workcost"
)

// costClass returns what gates that estimate costs need to know about a request. It is
// empty if those of the service don't.
func (req *request) costClass(path string, bodyBytes int) wire.CostClass {
	if !req.poolPolicy.CostAware || req.poolPolicy.Quotes == 0 {
		return wire.CostClass{}
	}
	return wire.CostClass{SizeClass: workcost.SizeClass(bodyBytes), PathShape: workcost.PathShape(path, req.policy.Path)}
}
