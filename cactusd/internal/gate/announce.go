package gate

import (
	"context"
	"errors"
	"net/netip"
	"time"

	goa "goa.design/goa/v3/pkg"

	genannounce "cactusstream.example/core/gen/announce"
)

// AnnounceService serves the calls of upstreams.
type AnnounceService struct {
	gate *Gate
}

// NewAnnounceService returns the service of a gate.
func NewAnnounceService(ga *Gate) *AnnounceService {
	return &AnnounceService{gate: ga}
}

// Announce takes an announcement.
func (an *AnnounceService) Announce(_ context.Context, pay *genannounce.AnnouncePayload) (*genannounce.AnnounceResult, error) {
	if _, err := netip.ParseAddrPort(pay.Address); err != nil {
		return nil, genannounce.MakeRefused(err)
	}
	err := an.gate.Announce(Announcement{
		ID: pay.ID, Service: pay.Service, Address: pay.Address, Slots: pay.Slots,
		Connections: pay.Connections, Cold: time.Duration(pay.ColdMs) * time.Millisecond,
	})
	if err != nil {
		return nil, errorOf(err)
	}
	return &genannounce.AnnounceResult{LeaseMs: int(Lease.Milliseconds())}, nil
}

// Leave takes the announcement that an upstream leaves.
func (an *AnnounceService) Leave(_ context.Context, pay *genannounce.LeavePayload) (*genannounce.LeaveResult, error) {
	inFlight, err := an.gate.Leave(pay.ID)
	if err != nil {
		return nil, errorOf(err)
	}
	return &genannounce.LeaveResult{InFlight: inFlight}, nil
}

// Report takes a load report.
func (an *AnnounceService) Report(_ context.Context, pay *genannounce.ReportPayload) error {
	if err := an.gate.Report(pay.ID, pay.Busy); err != nil {
		return errorOf(err)
	}
	return nil
}

func errorOf(err error) *goa.ServiceError {
	if errors.Is(err, ErrUnknown) {
		return genannounce.MakeUnknownUpstream(err)
	}
	return genannounce.MakeRefused(err)
}
