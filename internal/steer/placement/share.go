package placement

// Place is where a target stands and how many requests it runs at once.
type Place struct {
	Region string
	Slots  int
}

// Weights returns the weight of each place for objects of the callers of one
// region. The objects stay in the region as long as its places hold at most
// reach times their even part of all callers' objects; the rest goes to the
// other regions in proportion to their slots. Each of the given number of
// regions is taken to have as many callers as another.
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
	stay := 1.0
	if local < all {
		stay = min(1, reach*float64(local)*float64(max(1, regions))/float64(all))
	}
	for i, p := range places {
		switch {
		case p.Region == region:
			weights[i] = stay * float64(p.Slots) / float64(local)
		case local < all:
			weights[i] = max(away, 1-stay) * float64(p.Slots) / float64(all-local)
		}
	}
	return weights
}

// away is the least part of the objects with a place in another region; it
// orders those places for when the region's own cannot take a request.
const away = 1e-9
