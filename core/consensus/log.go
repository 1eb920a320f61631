package consensus

// entryLog is the log after the newest snapshot, in memory.
type entryLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []Entry
}

func (en *entryLog) lastIndex() uint64 {
	return en.snapIndex + uint64(len(en.entries))
}

func (en *entryLog) lastTerm() uint64 {
	return en.mustTerm(en.lastIndex())
}

// term returns the term of an index, if the log still knows it.
func (en *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == en.snapIndex:
		return en.snapTerm, true
	case index < en.snapIndex || index > en.lastIndex():
		return 0, false
	}
	return en.entries[index-en.snapIndex-1].Term, true
}

func (en *entryLog) mustTerm(index uint64) uint64 {
	term, _ := en.term(index)
	return term
}

func (en *entryLog) matches(index, term uint64) bool {
	have, ok := en.term(index)
	return ok && have == term
}

// from returns entries from an index on, at most maxBytes of data but at least one.
func (en *entryLog) from(index uint64, maxBytes int) []Entry {
	if index <= en.snapIndex || index > en.lastIndex() {
		return nil
	}
	rest := en.entries[index-en.snapIndex-1:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// put stores entries and returns those that were new; a conflicting tail goes.
func (en *entryLog) put(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= en.snapIndex || en.matches(entry.Index, entry.Term) {
			continue
		}
		keep := entry.Index - en.snapIndex - 1
		en.entries = append(en.entries[:keep:keep], entries[i:]...)
		return entries[i:]
	}
	return nil
}

func (en *entryLog) compact(index uint64) {
	if index <= en.snapIndex || index > en.lastIndex() {
		return
	}
	term := en.mustTerm(index)
	en.entries = append([]Entry(nil), en.entries[index-en.snapIndex:]...)
	en.snapIndex = index
	en.snapTerm = term
}

func (en *entryLog) reset(index, term uint64) {
	*en = entryLog{snapIndex: index, snapTerm: term}
}
