package book

// Contended returns the services whose requests compete on unequal terms: those of rules that differ in priority, and
// every service with a rule if the configuration has accounts.
func (b *Book) Contended() map[string]bool {
	contended, priorities := make(map[string]bool), make(map[string]int)
	for _, r := range b.rules {
		for _, p := range r.fields.TrafficSplit {
			first, known := priorities[p.Service]
			if !known {
				priorities[p.Service] = r.Priority()
			}
			if b.HasAccounts() || known && first != r.Priority() {
				contended[p.Service] = true
			}
		}
	}
	return contended
}
