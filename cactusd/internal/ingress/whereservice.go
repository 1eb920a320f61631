package ingress

import (
	"context"
	"errors"
	"time"

	goa "goa.design/goa/v3/pkg"

	genplacement "cactusstream.example/core/gen/placement"
	"cactusstream.example/core/settings"
)

// PlacementService implements the operators' API that explains placements.
type PlacementService struct {
	ingress *Ingress
}

// NewPlacementService returns a PlacementService of an ingress.
func NewPlacementService(in *Ingress) *PlacementService {
	return &PlacementService{ingress: in}
}

// Where tells where a request that arrives now would go.
func (pl *PlacementService) Where(ctx context.Context, payload *genplacement.WherePayload) (*genplacement.WhereResult, error) {
	where, err := pl.ingress.Where(ctx, WhereQuery{
		Request:   settings.Request{Firm: payload.Firm, Place: payload.Place, Host: payload.Host, Method: payload.Method, Path: payload.Path},
		BodyBytes: payload.BodyBytes, Deadline: time.Duration(payload.DeadlineMs) * time.Millisecond,
	})
	switch {
	case errors.Is(err, ErrNoRoute):
		return nil, genplacement.MakeNoRoute(err)
	case errors.Is(err, ErrNoSettings):
		return nil, genplacement.MakeNoSettings(err)
	case err != nil:
		return nil, goa.Fault("%s", err)
	}
	result := &genplacement.WhereResult{
		Firm: where.Firm, Service: where.Path.Service, Kind: where.Path.Kind, Rank: where.Rank, SettingsVersion: where.SettingsVersion,
		RemainingMs: where.Remaining.Milliseconds(), ExpectedBytes: int64(where.ExpectedBytes), Verdict: where.Verdict,
		Candidates: make([]*genplacement.WhereCandidate, 0, len(where.Candidates)),
	}
	for _, candidate := range where.Candidates {
		result.Candidates = append(result.Candidates, &genplacement.WhereCandidate{
			Upstream: candidate.Endpoint.Upstream.ID, Daemon: candidate.Endpoint.Daemon, Zone: candidate.Endpoint.Zone, State: string(candidate.Endpoint.State),
			Group: candidate.Group, Asked: candidate.Asked, WaitMs: candidate.Wait.Milliseconds(), DurationMs: candidate.Duration.Milliseconds(),
			CostMs: candidate.Cost.Milliseconds(), InTime: candidate.InTime, Chosen: candidate.Chosen, Reason: candidate.Reason,
		})
	}
	return result, nil
}
