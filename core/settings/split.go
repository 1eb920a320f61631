package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Part is one service of a Split.
type Part struct {
	Service string
	Weight  int
}

// Split is the services that share the requests of a kind, by weight.
type Split []Part

// ParseSplit reads the text of a split; the empty text has no parts.
func ParseSplit(text string) (Split, error) {
	var split Split
	total := 0
	for word := range strings.FieldsSeq(text) {
		service, number, ok := strings.Cut(word, ":")
		weight, err := strconv.Atoi(number)
		if !ok || !namePattern.MatchString(service) || err != nil || weight < 0 {
			return nil, fmt.Errorf("bad part %q", word)
		}
		split = append(split, Part{Service: service, Weight: weight})
		total += weight
	}
	if len(split) > 0 && total == 0 {
		return nil, errors.New("no part has a weight above 0")
	}
	return split, nil
}

// Choose returns the service at a point from 0 up to 1 of the weights, or "" of
// an empty split.
func (sp Split) Choose(point float64) string {
	total := 0
	for _, part := range sp {
		total += part.Weight
	}
	left := point * float64(total)
	for _, part := range sp {
		if left < float64(part.Weight) {
			return part.Service
		}
		left -= float64(part.Weight)
	}
	return ""
}

// String returns the text of the split.
func (sp Split) String() string {
	words := make([]string, 0, len(sp))
	for _, part := range sp {
		words = append(words, fmt.Sprintf("%s:%d", part.Service, part.Weight))
	}
	return strings.Join(words, " ")
}
