package orders

import "github.com/cespare/xxhash/v2"

// rendezvous returns the name with the highest weight for the key.
func rendezvous(key string, names []string) (string, bool) {
	best, most := "", uint64(0)
	for _, n := range names {
		if w := xxhash.Sum64String(key + "/" + n); best == "" || w > most {
			best, most = n, w
		}
	}
	return best, best != ""
}
