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

// errDigest doesn't repeat the value, which may be a key that was sent by mistake.
var errDigest = errors.New("ingress: keyDigest is not the base64url form of a SHA-256 digest")

// Where tells where a request that arrives now would go.
func (pl *PlacementService) Where(ctx context.Context, payload *genplacement.WherePayload) (*genplacement.WhereResult, error) {
	var digest *settings.KeyDigest
	if payload.KeyDigest != "" {
		parsed, err := settings.ParseKeyDigest(payload.KeyDigest)
		if err != nil {
			return nil, genplacement.MakeBadKey(errDigest)
		}
		digest = &parsed
	}
	where, err := pl.ingress.Where(ctx, WhereQuery{
		Organisation: payload.Organisation, KeyDigest: digest,
		Request:   settings.Request{Firm: payload.Firm, Place: payload.Place, Host: payload.Host, Method: payload.Method, Path: payload.Path},
		BodyBytes: payload.BodyBytes, Deadline: time.Duration(payload.DeadlineMs) * time.Millisecond,
	})
	switch {
	case errors.Is(err, ErrNoRoute):
		return nil, genplacement.MakeNoRoute(err)
	case errors.Is(err, ErrNoSettings):
		return nil, genplacement.MakeNoSettings(err)
	case errors.Is(err, ErrUnknownOrganisation):
		return nil, genplacement.MakeUnknownOrganisation(err)
	case errors.Is(err, ErrUnknownKey):
		return nil, genplacement.MakeBadKey(err)
	case err != nil:
		return nil, goa.Fault("%s", err)
	}
	result := &genplacement.WhereResult{
		Firm: where.Firm, Service: where.Path.Service, Kind: where.Path.Kind, Rank: where.Rank, SettingsVersion: where.SettingsVersion,
		RemainingMs: where.Remaining.Milliseconds(), ExpectedBytes: int64(where.ExpectedBytes), Verdict: where.Verdict,
		Admission:  newWhereAdmission(where.Admission),
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

// newWhereAdmission returns the admission in the form of the operators' API.
func newWhereAdmission(adm Admission) *genplacement.WhereAdmission {
	left, answered := adm.Quota.Sum()
	result := &genplacement.WhereAdmission{
		Outcome: "admitted", Note: adm.Note, HolderRate: adm.Quota.PerSecond, HolderDepth: adm.Quota.Depth, Left: left, Answered: answered,
		Holders: make([]*genplacement.WhereHolder, 0, len(adm.Quota.Holders)),
	}
	if rejection := adm.Rejection; rejection != nil {
		result.Outcome, result.Status, result.Reason, result.Detail = "rejected", adm.Status, string(rejection.Reason), rejection.Detail
		result.RetryAfterMs = rejection.RetryAfter.Milliseconds()
		if adm.Uncertain {
			result.Outcome = "unknown"
		}
	}
	if org := adm.Organisation; org != nil {
		result.Organisation, result.Rank, result.Rate, result.Burst = org.Name, org.Rank, org.Rate, org.Burst
	}
	for _, holder := range adm.Quota.Holders {
		result.Holders = append(result.Holders, &genplacement.WhereHolder{
			Daemon: holder.Daemon, Zone: holder.Zone, Answered: holder.Answered, Left: holder.Left,
			RetryAfterMs: holder.RetryAfter.Milliseconds(), Note: holder.Note,
		})
	}
	return result
}

// Quotas returns what the holders of the quotas of some organisations have.
func (pl *PlacementService) Quotas(ctx context.Context, payload *genplacement.QuotasPayload) ([]*genplacement.QuotaLevel, error) {
	levels, err := pl.ingress.Levels(ctx, payload.Organisations)
	if errors.Is(err, ErrNoSettings) {
		return nil, genplacement.MakeNoSettings(err)
	}
	if err != nil {
		return nil, goa.Fault("%s", err)
	}
	result := make([]*genplacement.QuotaLevel, 0, len(levels))
	for _, level := range levels {
		left, answered := level.Sum()
		result = append(result, &genplacement.QuotaLevel{Organisation: level.Organisation, Left: left, Holders: len(level.Holders), Answered: answered})
	}
	return result, nil
}
