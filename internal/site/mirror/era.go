package mirror

import "time"

// keptInterval is the time after the start, and after the first answer of an era, in which peers are asked for what they
// keep of an earlier era where RequireConfirmation is set: their answers to a few calls.
const keptInterval = 4 * time.Second

// mayLackKept reports whether peers may know of something that the store has lost and this entry never knew: a
// configuration without a key that was revoked.
func (f *Follower) mayLackKept() bool {
	return f.bound.Load() > 0 && f.newestEra.Load() > 0 && time.Since(f.start)-time.Duration(f.eraSeen.Load()) < keptInterval
}

// applyKept passes on what the source of the batch keeps of an earlier era.
func (f *Follower) applyKept(b Batch) {
	if len(b.Kept) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange(b.Kept)
}

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
			f.eraSeen.Store(int64(time.Since(f.start)))
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
