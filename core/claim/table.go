package claim

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// GroupSize is the number of claim holders in a group.
const GroupSize = 3

// Table assigns keys to groups of claim holders. It is part of the settings, so
// the keepers agree on it and version it. No daemon derives a table from its own
// view of the fleet.
type Table struct {
	Epoch  uint64
	Groups [][]string
	// Former are the groups of the previous table, from which new holders copy claims.
	Former [][]string
}

const formerKeyword = "former"

var errBadTable = errors.New("expected EPOCH GROUP... [former GROUP...] with three distinct daemon ids per group, such as 2 d1,d2,d3 former d1,d2,d4")

// ParseTable parses the text form of a table. An empty text is a Table without
// holders.
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
		if field == formerKeyword && table.Former == nil {
			groups = &table.Former
			continue
		}
		group := strings.Split(field, ",")
		if len(group) != GroupSize || slices.Contains(group, "") || hasDuplicates(group) {
			return Table{}, errBadTable
		}
		*groups = append(*groups, group)
	}
	if len(table.Groups) == 0 {
		return Table{}, errBadTable
	}
	return table, nil
}

// Group returns the claim holders of a key, or nil if the table has none.
func (ta Table) Group(key string) []string {
	if len(ta.Groups) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key))
	return ta.Groups[sum.Sum32()%uint32(len(ta.Groups))]
}

// Holds reports whether a daemon is a claim holder.
func (ta Table) Holds(id string) bool {
	for _, group := range ta.Groups {
		if slices.Contains(group, id) {
			return true
		}
	}
	return false
}

// IsFormerOf reports whether the groups of ta are the former groups of next.
func (ta Table) IsFormerOf(next Table) bool {
	return slices.EqualFunc(ta.Groups, next.Former, slices.Equal[[]string])
}

// MustCopy reports whether a daemon must copy the claims of the former holders
// before it votes. It need not if the number of groups is unchanged and the daemon
// was in the same group.
func (ta Table) MustCopy(id string) bool {
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

// Next returns the table of the next epoch with the given groups.
func (ta Table) Next(groups [][]string) Table {
	return Table{Epoch: ta.Epoch + 1, Groups: groups, Former: ta.Groups}
}

// String returns the text form of the table, which ParseTable reads.
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
	text += " " + formerKeyword
	for _, group := range ta.Former {
		text += " " + strings.Join(group, ",")
	}
	return text
}

func hasDuplicates(group []string) bool {
	sorted := slices.Sorted(slices.Values(group))
	return len(slices.Compact(sorted)) != len(group)
}
