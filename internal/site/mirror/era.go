package mirror

// RecordEra records the era that an answer of the store or of a peer has shown. When the mirror is of an earlier era, it
// aborts the read of changes in flight, so that everything is read anew at once; an entry that has a reader
// goes on reading from it.
func (f *Follower) RecordEra(era uint64) {
	for {
		newest := f.newestEra.Load()
		if era <= newest {
			return
		}
		if f.newestEra.CompareAndSwap(newest, era) {
			break
		}
	}
	at := f.mirror.Position()
	if at.Revision == 0 || era <= at.Era {
		return
	}
	select {
	case f.recovered <- struct{}{}:
	default:
	}
}
