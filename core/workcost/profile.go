package workcost

import "math"

const (
	// profileBuckets is the number of buckets of a profile, four for each doubling, from
	// 1/16 to 64 times what was expected.
	profileBuckets     = 40
	bucketsPerDoubling = 4
	lowestExponent     = -4
	// maxProfileWeight is the number of samples that count in a profile.
	maxProfileWeight = 500
	// defaultProfileWeight is the number of samples that the default profile counts for.
	defaultProfileWeight = 20
	// defaultSpread is the standard deviation of the logarithm in the default profile.
	defaultSpread = 0.5
	// tailRest is the remaining time of a request that has run for longer than any
	// before it, as a share of its age.
	tailRest = 0.5
	// tailWeight is the weight of that assumption, in samples.
	tailWeight = 0.05
)

// profile is the distribution of durations relative to what was expected.
type profile struct {
	counts [profileBuckets]float64
	total  float64
}

var defaultProfile = newDefaultProfile()

// newDefaultProfile returns a log-normal profile of mean 1.
func newDefaultProfile() profile {
	var prof profile
	for i := range prof.counts {
		distance := (math.Log(bucketMiddle(i)) + defaultSpread*defaultSpread/2) / defaultSpread
		prof.counts[i] = math.Exp(-distance * distance / 2)
		prof.total += prof.counts[i]
	}
	for i := range prof.counts {
		prof.counts[i] *= defaultProfileWeight / prof.total
	}
	prof.total = defaultProfileWeight
	return prof
}

// bucketMiddle returns the ratio that stands for the ratios in a bucket.
func bucketMiddle(index int) float64 {
	return math.Exp2(lowestExponent + (float64(index)+0.5)/bucketsPerDoubling)
}

func bucketOf(ratio float64) int {
	return min(max(int((math.Log2(ratio)-lowestExponent)*bucketsPerDoubling), 0), profileBuckets-1)
}

// add adds the ratio of an actual duration to what was expected.
func (pr *profile) add(ratio float64) {
	if pr.total >= maxProfileWeight {
		for i := range pr.counts {
			pr.counts[i] *= 1 - 1.0/maxProfileWeight
		}
		pr.total *= 1 - 1.0/maxProfileWeight
	}
	pr.counts[bucketOf(ratio)]++
	pr.total++
}

// quantile returns the ratio below which a share of the requests ends.
func (pr *profile) quantile(share float64) float64 {
	below := 0.0
	for i, count := range pr.counts {
		if count > 0 && below+count >= share*pr.total {
			position := (share*pr.total - below) / count
			return math.Exp2(lowestExponent + (float64(i)+position)/bucketsPerDoubling)
		}
		below += count
	}
	return bucketMiddle(profileBuckets - 1)
}

// spread returns the standard deviation of the ratio.
func (pr *profile) spread() float64 {
	sum, squares := 0.0, 0.0
	for i, count := range pr.counts {
		ratio := bucketMiddle(i)
		sum += count * ratio
		squares += count * ratio * ratio
	}
	mean := sum / pr.total
	return math.Sqrt(max(squares/pr.total-mean*mean, 0))
}

// rest returns the expected remaining time of a request that has run for age, both as
// ratios to what was expected.
func (pr *profile) rest(age float64) float64 {
	weight, sum := tailWeight, tailWeight*tailRest*age
	for i := profileBuckets - 1; i >= 0; i-- {
		middle := bucketMiddle(i)
		if middle <= age {
			break
		}
		weight += pr.counts[i]
		sum += pr.counts[i] * (middle - age)
	}
	return sum / weight
}
