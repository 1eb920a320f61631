package claim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// GroupSize is the number of holders of a group.
const GroupSize = 3

// Table says which daemons hold claims. It is part of the settings, so it is
// agreed and versioned; no daemon makes one out of what it sees itself.
type Table struct {
	Epoch  uint64
	Groups [][]string
	// Former is the groups of the table before, which new holders learn from.
	Former [][]string
}

const formerWord = "former"

var errBadTable = errors.New("want EPOCH GROUP... [former GROUP...], a group being three daemon ids, as 2 d1,d2,d3 former d1,d2,d4")

// ParseTable reads the text of a table; the empty text is no table.
func ParseTable(text string) (Table, error) {
	if text == "" {
		return Table{}, nil
	}
	fields := strings.Fields(text)
	epoch, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil || epoch == 0 || len(fields) < 2 {
		return Table{}, errBadTable
	}
	table := Table{Epoch: epoch}
	groups := &table.Groups
	for _, field := range fields[1:] {
		if field == formerWord && table.Former == nil {
			groups = &table.Former
			continue
		}
		group := strings.Split(field, ",")
		if len(group) != GroupSize || slices.Contains(group, "") || hasRepeats(group) {
			return Table{}, errBadTable
		}
		*groups = append(*groups, group)
	}
	if len(table.Groups) == 0 {
		return Table{}, errBadTable
	}
	return table, nil
}

// Group returns the holders of a key.
func (ta Table) Group(key string) []string {
	if len(ta.Groups) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key))
	return ta.Groups[sum.Sum32()%uint32(len(ta.Groups))]
}

// Holds says whether a daemon holds claims.
func (ta Table) Holds(id string) bool {
	for _, group := range ta.Groups {
		if slices.Contains(group, id) {
			return true
		}
	}
	return false
}

// IsFormerOf says whether the groups of a table are the former ones of another.
func (ta Table) IsFormerOf(next Table) bool {
	return slices.EqualFunc(ta.Groups, next.Former, slices.Equal[[]string])
}

// MustLearn says whether a daemon must learn the claims of the former holders
// before it votes. It need not when keys were split among as many groups and
// it was in the same one.
func (ta Table) MustLearn(id string) bool {
	if len(ta.Former) == 0 {
		return false
	}
	if len(ta.Former) != len(ta.Groups) {
		return true
	}
	for i, group := range ta.Groups {
		if slices.Contains(group, id) && !slices.Contains(ta.Former[i], id) {
			return true
		}
	}
	return false
}

// Next returns the table that follows this one with other groups.
func (ta Table) Next(groups [][]string) Table {
	return Table{Epoch: ta.Epoch + 1, Groups: groups, Former: ta.Groups}
}

// String returns the text of the table.
func (ta Table) String() string {
	if ta.Epoch == 0 {
		return ""
	}
	text := fmt.Sprint(ta.Epoch)
	for _, group := range ta.Groups {
		text += " " + strings.Join(group, ",")
	}
	if len(ta.Former) == 0 {
		return text
	}
	text += " " + formerWord
	for _, group := range ta.Former {
		text += " " + strings.Join(group, ",")
	}
	return text
}

func hasRepeats(group []string) bool {
	sorted := slices.Sorted(slices.Values(group))
	return len(slices.Compact(sorted)) != len(group)
}
