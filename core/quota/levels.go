package quota

import (
	"math"
	"time"
)

const (
	// levelStep is the time between the starts of two levels.
	levelStep = 250 * time.Millisecond
	// levelCount is the number of levels. The oldest one is at least a window old.
	levelCount = int(window/levelStep) + 1
)

// levels are the levels of one bucket that differ in when they start full: one after each
// levelStep. Each fills with the rate and loses what is granted, so that the oldest one
// limits what is granted in any interval of a window or less, as a plain bucket does. A plain
// bucket limits longer intervals as well, and admits rate * window requests in each window
// to a steady sender, although the limit allows the burst in each window, too. The levels
// of a bucket that starts empty limit it as a plain bucket for a whole window, in which the
// holder before it may have granted its burst.
type levels struct {
	values [levelCount]float64
	// oldest is the index of the level that applies.
	oldest int
}

// lowest returns the number of tokens that may be granted.
func (le *levels) lowest() float64 { return le.values[le.oldest] }

// add adds tokens, or removes them if count is negative, up to the depth.
func (le *levels) add(count, depth float64) {
	for i, value := range le.values {
		le.values[i] = math.Min(value+count, depth)
	}
}

func (le *levels) scale(factor float64) {
	for i := range le.values {
		le.values[i] *= factor
	}
}

// fill adds the tokens of a period, and replaces the levels that have ended in it by full
// ones.
func (le *levels) fill(from, to time.Time, sh share) {
	le.add(to.Sub(from).Seconds()*sh.rate, sh.depth)
	steps := steps(to) - steps(from)
	for range min(steps, int64(levelCount)) {
		le.values[le.oldest] = sh.depth
		le.oldest = (le.oldest + 1) % levelCount
	}
}

// nextToken returns when the level that then applies has a token.
func (le *levels) nextToken(now time.Time, rate float64) time.Duration {
	next := seconds((1 - math.Min(le.lowest(), 1)) / rate)
	for i := 1; i < levelCount; i++ {
		begin := time.UnixMilli((steps(now) + int64(i)) * levelStep.Milliseconds()).Sub(now)
		if begin >= next {
			break
		}
		value := le.values[(le.oldest+i)%levelCount]
		next = min(next, max(begin, seconds((1-math.Min(value, 1))/rate)))
	}
	return next
}

// steps returns the number of whole levelSteps before a time.
func steps(at time.Time) int64 { return at.UnixMilli() / levelStep.Milliseconds() }
