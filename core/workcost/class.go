package workcost

import (
	"hash/fnv"
	"math/bits"
	"strings"
)

const (
	// smallestClass is the largest body, in bytes, of the first size class after that of
	// requests without a body. Each class is four times as large as the one before.
	smallestClass = 1 << 10
	// maxSegments is the number of path segments that a shape distinguishes, and
	// maxWord the longest segment that counts as a word.
	maxSegments = 4
	maxWord     = 24
)

// SizeClass returns the size class of a body: 0 for none, 1 for up to 1 KiB, 2 for up to
// 4 KiB, and so on.
func SizeClass(bytes int) uint8 {
	if bytes <= 0 {
		return 0
	}
	doublings := bits.Len(uint((bytes - 1) / smallestClass))
	return uint8(1 + (doublings+1)/2)
}

// PathShape returns the shape of a path below the prefix of its kind: a hash of its
// segments, in which identifiers and numbers count as equal, so that requests for
// different objects have one shape. It is never 0.
func PathShape(path, prefix string) uint32 {
	hash := fnv.New32a()
	rest := strings.TrimPrefix(path, prefix)
	for range maxSegments {
		segment, after, found := strings.Cut(rest, "/")
		if !isWord(segment) {
			segment = "*"
		}
		_, _ = hash.Write([]byte(segment))
		_, _ = hash.Write([]byte{'/'})
		if !found {
			break
		}
		rest = after
	}
	return max(hash.Sum32(), 1)
}

// isWord reports whether a segment names a thing to do rather than an object.
func isWord(segment string) bool {
	if len(segment) > maxWord {
		return false
	}
	for _, char := range segment {
		if (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && char != '-' && char != '_' && char != '.' {
			return false
		}
	}
	return true
}
