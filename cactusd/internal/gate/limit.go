package gate

import (
	"math"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
)

// noLimit is the limit of an upstream that has named none, in requests per second.
const noLimit = -1

// limitReport is what an answer of an upstream says about a limit on its requests.
type limitReport struct {
	// known is false if there is no complete answer, or none that tells.
	known bool
	// perSecond is the limit in requests per second, or noLimit.
	perSecond float64
}

// readLimit returns what a complete answer says about a limit. An answer that names none
// withdraws the limit, unless it is a rejection, which may come from in front of the
// upstream. A value that is no decimal number tells nothing.
func (up *upstreamClient) readLimit(header http.Header, isRejection bool) limitReport {
	text := header.Get(up.dialect.Limit)
	if up.dialect.Limit == "" || text == "" {
		return limitReport{known: !isRejection, perSecond: noLimit}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return limitReport{}
	}
	return limitReport{known: true, perSecond: perSecond}
}

// updateLimit records the limit that an answer named, and logs a change. The caller holds
// the lock.
func (gu *guard) updateLimit(report limitReport) {
	if !report.known || report.perSecond == gu.limit {
		return
	}
	gu.limit = report.perSecond
	gu.opts.Log.Write(events.UpstreamLimit, logrus.Fields{"upstream": gu.ann.ID, "service": gu.ann.Service, "perSecond": report.perSecond})
}
