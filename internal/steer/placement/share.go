package placement

// Place is a target's region and the number of requests that it runs at once.
type Place struct {
	Region string
	Slots  int
}

// Weights returns the weight of each place for the objects of one region's
// callers. The objects stay in the region until its places hold reach times
// their proportional share of all objects; the rest is spread over the other
// regions in proportion to their slots. All regions are assumed to have the
// same number of callers.
func Weights(places []Place, region string, regions int, reach float64) []float64 {
	local, all := 0, 0
	for _, p := range places {
		all += p.Slots
		if p.Region == region {
			local += p.Slots
		}
	}
	weights := make([]float64, len(places))
	if all == 0 {
		return weights
	}
	localShare := 1.0
	if local < all {
		localShare = min(1, reach*float64(local)*float64(max(1, regions))/float64(all))
	}
	for i, p := range places {
		switch {
		case p.Region == region:
			weights[i] = localShare * float64(p.Slots) / float64(local)
		case local < all:
			weights[i] = max(minRemoteWeight, 1-localShare) * float64(p.Slots) / float64(all-local)
		}
	}
	return weights
}

// minRemoteWeight is the smallest share of the objects that is placed in other
// regions; it gives those places an order of preference for failover when no
// place of the caller's region can take a request.
const minRemoteWeight = 1e-9
