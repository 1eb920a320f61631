package gate

import (
	"context"
	"errors"
	"time"

	goa "goa.design/goa/v3/pkg"

	genannounce "cactusstream.example/core/gen/announce"
)

// AnnounceService implements the announce API, which upstreams call.
type AnnounceService struct {
	gate *Gate
}

// NewAnnounceService returns an AnnounceService for a gate.
func NewAnnounceService(ga *Gate) *AnnounceService {
	return &AnnounceService{gate: ga}
}

// Announce registers an upstream or renews its lease.
func (an *AnnounceService) Announce(_ context.Context, payload *genannounce.AnnouncePayload) (*genannounce.AnnounceResult, error) {
	err := an.gate.Announce(Announcement{
		ID: payload.ID, Service: payload.Service, Address: payload.Address, Slots: payload.Slots,
		Connections: payload.Connections, WarmUp: time.Duration(payload.ColdMs) * time.Millisecond,
	})
	if err != nil {
		return nil, serviceError(err)
	}
	return &genannounce.AnnounceResult{LeaseMs: int(Lease.Milliseconds())}, nil
}

// Leave stops admission to an upstream and returns its requests in flight.
func (an *AnnounceService) Leave(_ context.Context, payload *genannounce.LeavePayload) (*genannounce.LeaveResult, error) {
	inFlight, err := an.gate.Leave(payload.ID)
	if err != nil {
		return nil, serviceError(err)
	}
	return &genannounce.LeaveResult{InFlight: inFlight}, nil
}

// Report renews an upstream's lease and stores the load that it reports.
func (an *AnnounceService) Report(_ context.Context, payload *genannounce.ReportPayload) error {
	if err := an.gate.Report(payload.ID, payload.Busy); err != nil {
		return serviceError(err)
	}
	return nil
}

func serviceError(err error) *goa.ServiceError {
	if errors.Is(err, ErrUnknownUpstream) {
		return genannounce.MakeUnknownUpstream(err)
	}
	return genannounce.MakeRefused(err)
}
