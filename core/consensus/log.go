package consensus

// entryLog holds the log entries after the newest snapshot in memory.
type entryLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []Entry
}

func (en *entryLog) lastIndex() uint64 {
	return en.snapIndex + uint64(len(en.entries))
}

func (en *entryLog) lastTerm() uint64 {
	return en.termOrZero(en.lastIndex())
}

// term returns the term of the entry at index. It returns false if the entry was
// compacted or does not exist yet.
func (en *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == en.snapIndex:
		return en.snapTerm, true
	case index < en.snapIndex || index > en.lastIndex():
		return 0, false
	}
	return en.entries[index-en.snapIndex-1].Term, true
}

// termOrZero returns the term of the entry at index, or 0 if it is not known.
func (en *entryLog) termOrZero(index uint64) uint64 {
	term, _ := en.term(index)
	return term
}

// matches reports whether the log holds an entry with this index and term.
func (en *entryLog) matches(index, term uint64) bool {
	stored, ok := en.term(index)
	return ok && stored == term
}

// entriesFrom returns the entries starting at index, limited to maxBytes of data.
// It returns at least one entry if there is any.
func (en *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
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

// truncateAndAppend appends the entries that are not in the log yet and returns
// them. Existing entries from the first conflict on are removed.
func (en *entryLog) truncateAndAppend(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= en.snapIndex || en.matches(entry.Index, entry.Term) {
			continue
		}
		kept := entry.Index - en.snapIndex - 1
		en.entries = append(en.entries[:kept:kept], entries[i:]...)
		return entries[i:]
	}
	return nil
}

// compact discards the entries up to and including index.
func (en *entryLog) compact(index uint64) {
	if index <= en.snapIndex || index > en.lastIndex() {
		return
	}
	term := en.termOrZero(index)
	en.entries = append([]Entry(nil), en.entries[index-en.snapIndex:]...)
	en.snapIndex = index
	en.snapTerm = term
}

// reset discards all entries in favour of a snapshot at index.
func (en *entryLog) reset(index, term uint64) {
	*en = entryLog{snapIndex: index, snapTerm: term}
}
