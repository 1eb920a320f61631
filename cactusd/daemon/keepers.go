package daemon

import (
	"slices"

	"cactusstream.example/core/fleet"
)

// keeperAddresses returns the peer addresses at which keepers may respond: those of the
// daemon's zone, those of the others, the configured ones, and last those that the member
// table considers dead. Membership is only a hint about a keeper: after an outage of all of
// them, a daemon must not depend on gossip to learn that they are back. Each group starts
// at an element that depends on the rotation, so that daemons are distributed over equal
// choices.
func keeperAddresses(vi *fleet.View, zone string, configured []string, rotation int64) []string {
	var near, far, dead []string
	for _, rec := range vi.Keepers {
		if rec.Zone == zone {
			near = append(near, rec.PeerAddress)
		} else {
			far = append(far, rec.PeerAddress)
		}
	}
	for _, rec := range vi.DeadKeepers {
		dead = append(dead, rec.PeerAddress)
	}
	var addresses []string
	for _, group := range [][]string{near, far, configured, dead} {
		for _, address := range rotate(group, rotation) {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// rotate returns a list that starts at the element with the index rotation, modulo the
// length.
func rotate(list []string, rotation int64) []string {
	if len(list) == 0 {
		return nil
	}
	first := int(rotation % int64(len(list)))
	return slices.Concat(list[first:], list[:first])
}
