package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// BucketCount is the number of buckets that the records of a table are divided into for
// synchronization, by a hash of their IDs.
const BucketCount = 128

// smallTable is the number of records up to which a table sends its summaries at once:
// it belongs to a daemon that has just started and lacks almost everything.
const smallTable = 8

// Summary is the version and status of one record.
type Summary struct {
	Version Version `codec:"v"`
	Status  Status  `codec:"t"`
}

// SyncRequest asks another table to compare itself with the sender's. The first request
// of a synchronization holds only digests, so that two tables that differ in few
// records exchange little, however large they are.
type SyncRequest struct {
	// Digests holds a digest for each bucket. It is empty in the second request.
	Digests []uint32 `codec:"d,omitempty"`
	// Buckets lists the buckets that Summaries and Records cover.
	Buckets   []int              `codec:"b,omitempty"`
	Summaries map[string]Summary `codec:"s,omitempty"`
	Records   []Record           `codec:"r,omitempty"`
	// AcceptsDeflate is set if the sender accepts a compressed response. Older daemons
	// don't.
	AcceptsDeflate bool `codec:"z,omitempty"`
}

// SyncResponse answers a SyncRequest: with the summaries of the buckets that differ, or
// with the records that the sender of a second request lacks.
type SyncResponse struct {
	// Departed holds the departures of the daemon that sent the request; see
	// Table.DepartedFrom.
	Departed  []Departure        `codec:"d,omitempty"`
	Buckets   []int              `codec:"b,omitempty"`
	Summaries map[string]Summary `codec:"s,omitempty"`
	Records   []Record           `codec:"r,omitempty"`
	// Deflated is the compressed encoding of a response, instead of the other fields.
	Deflated []byte `codec:"z,omitempty"`
}

// BeginSync returns the first request of a synchronization.
func (ta *Table) BeginSync() SyncRequest {
	if len(ta.members) <= smallTable {
		all := allBuckets()
		return SyncRequest{Buckets: all, Summaries: ta.summaries(all), Records: ta.newerThan(nil, all), AcceptsDeflate: true}
	}
	return SyncRequest{Digests: ta.digests(), AcceptsDeflate: true}
}

// AnswerSync merges the records of a request and answers it.
func (ta *Table) AnswerSync(now time.Time, req SyncRequest) SyncResponse {
	if len(req.Digests) == 0 {
		ta.Merge(now, req.Records)
		return SyncResponse{Records: ta.newerThan(req.Summaries, req.Buckets)}
	}
	var differing []int
	for bucket, digest := range ta.digests() {
		if bucket >= len(req.Digests) || req.Digests[bucket] != digest {
			differing = append(differing, bucket)
		}
	}
	return SyncResponse{Buckets: differing, Summaries: ta.summaries(differing)}
}

// ContinueSync merges a response. It returns the second request of the synchronization,
// and false if there is none to send.
func (ta *Table) ContinueSync(now time.Time, resp SyncResponse) (SyncRequest, bool) {
	ta.Merge(now, resp.Records)
	ta.inherited = MergeDepartures(ta.inherited, resp.Departed)
	if len(resp.Buckets) == 0 {
		return SyncRequest{}, false
	}
	return SyncRequest{Buckets: resp.Buckets, Summaries: ta.summaries(resp.Buckets), Records: ta.newerThan(resp.Summaries, resp.Buckets), AcceptsDeflate: true}, true
}

// digests returns a checksum for each bucket, of the records of all daemons that are
// neither dead nor left.
func (ta *Table) digests() []uint32 {
	sums := make([]uint32, BucketCount)
	for id, ent := range ta.members {
		if ent.record.Status < Dead {
			sums[bucketOf(id)] ^= uint32(recordHash(id, ent.record))
		}
	}
	return sums
}

// tableDigest returns a checksum of all records. It is not 0. Records of daemons that are
// dead or left are included, so that a status that has not reached a daemon shows.
func (ta *Table) tableDigest() uint64 {
	if ta.digestRevision != ta.revision {
		ta.digest, ta.digestRevision = 0, ta.revision
		for id, ent := range ta.members {
			ta.digest ^= recordHash(id, ent.record)
		}
		ta.digest = max(ta.digest, 1)
	}
	return ta.digest
}

// inBuckets calls fn for every entry in some buckets.
func (ta *Table) inBuckets(buckets []int, fn func(id string, ent *entry)) {
	var wanted [BucketCount]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < BucketCount {
			wanted[bucket] = true
		}
	}
	for id, ent := range ta.members {
		if wanted[bucketOf(id)] {
			fn(id, ent)
		}
	}
}

// summaries returns the version and status of every record in some buckets.
func (ta *Table) summaries(buckets []int) map[string]Summary {
	sums := make(map[string]Summary)
	ta.inBuckets(buckets, func(id string, ent *entry) {
		sums[id] = Summary{Version: ent.record.Version, Status: ent.record.Status}
	})
	return sums
}

// newerThan returns the records in some buckets that are missing or older in another
// table, which is given by its summaries. They are sorted by ID: the order in which a
// table learns of members decides which of them its random choices select, and a
// simulation with a fixed seed must repeat these.
func (ta *Table) newerThan(summaries map[string]Summary, buckets []int) []Record {
	var records []Record
	ta.inBuckets(buckets, func(id string, ent *entry) {
		sum, known := summaries[id]
		isNews := ent.record.Status < Dead
		if known {
			isNews = Record{Version: sum.Version, Status: sum.Status}.IsReplacedBy(ent.record)
		}
		if isNews {
			records = append(records, ent.record)
		}
	})
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

func allBuckets() []int {
	all := make([]int, BucketCount)
	for i := range all {
		all[i] = i
	}
	return all
}

func bucketOf(id string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return int(sum.Sum32() % BucketCount)
}
