package ingress

import (
	"context"
	"net/http"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/outcome"
	"cactusstream.example/core/quota"
	"cactusstream.example/core/settings"
)

// Quota admits requests of organisations.
type Quota interface {
	// Take asks for one request of an organisation. A refusal says when a request is
	// likely to be admitted.
	Take(ctx context.Context, org *settings.Organisation) quota.Verdict
	// Return gives back what was taken for a request that has not run.
	Return(org *settings.Organisation)
}

// caller is what the credential of a request says about its sender.
type caller struct {
	// keysRequired means that the settings in force have organisations with keys. The
	// other fields are zero without them.
	keysRequired bool
	// hasCredential means that the request has a credential header, even an empty one.
	hasCredential bool
	// organisation is nil unless the key is known.
	organisation *settings.Organisation
}

// identify looks up the key of a request. A header that is sent twice holds no key.
func (in *Ingress) identify(organisations *settings.Organisations, header http.Header) caller {
	if in.opts.Dialect.Credential == "" || !organisations.RequireKeys() {
		return caller{}
	}
	values := header.Values(in.opts.Dialect.Credential)
	from := caller{keysRequired: true, hasCredential: len(values) > 0}
	if len(values) == 1 {
		from.organisation = organisations.ByKey(values[0])
	}
	return from
}

// firmOf returns the firm whose settings apply to a request. Where keys are required, it
// follows from the key alone, because anybody can send the header with the firm.
func (in *Ingress) firmOf(from caller, header http.Header) string {
	switch {
	case from.organisation != nil:
		return from.organisation.Name
	case from.keysRequired:
		return headerOr(nil, outcome.HeaderFirm, in.opts.Firm)
	}
	return headerOr(header, outcome.HeaderFirm, in.opts.Firm)
}

// checkCaller rejects a request whose key is unknown, or which has none although its kind
// needs one. Unless the settings are known to be the newest, the key may be a new one.
func (in *Ingress) checkCaller(req *request, from caller) *wire.RunAnswer {
	req.organisation = from.organisation
	if req.organisation != nil {
		in.usage.of(req.organisation).requests.Add(1)
	}
	if !from.keysRequired || from.organisation != nil || req.policy.Anonymous && !from.hasCredential {
		return nil
	}
	if in.opts.SettingsConfirmed != nil && !in.opts.SettingsConfirmed() {
		return req.reject(outcome.NoSettings, "the key is not known, but the settings may be outdated")
	}
	req.callerAtFault = true
	if from.hasCredential {
		return req.reject(outcome.Credentials, "the key of the organisation is not known")
	}
	return req.reject(outcome.Credentials, "this request requires the key of an organisation")
}

// takeQuota takes one request from the quota of the organisation, if that has a limit.
func (in *Ingress) takeQuota(ctx context.Context, req *request) *wire.RunAnswer {
	if in.opts.Quota == nil || req.organisation == nil || req.organisation.Rate == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	verdict := in.opts.Quota.Take(ctx, req.organisation)
	if verdict.Outcome == quota.Admitted {
		req.hasQuota = true
		return nil
	}
	req.callerAtFault = true
	answer := req.reject(outcome.QuotaUnavailable, "the quota of the organisation is not available")
	if verdict.Outcome == quota.OverLimit {
		in.usage.of(req.organisation).overQuota.Add(1)
		answer = req.reject(outcome.OverQuota, "the organisation is over its limit")
	}
	answer.RetryAfter = verdict.RetryAfter
	return answer
}

// returnQuota gives back what was taken for a request that has not run.
func (in *Ingress) returnQuota(req *request) {
	if req.hasQuota {
		req.hasQuota = false
		in.opts.Quota.Return(req.organisation)
	}
}

// setOrganisation replaces what the caller sent about itself by the title of its
// organisation. The key is for the ingress alone.
func (in *Ingress) setOrganisation(header wire.Header, org *settings.Organisation) {
	delete(header, http.CanonicalHeaderKey(in.opts.Dialect.Credential))
	delete(header, outcome.HeaderFirm)
	if in.opts.Dialect.Organisation == "" {
		return
	}
	delete(header, http.CanonicalHeaderKey(in.opts.Dialect.Organisation))
	if org != nil {
		header[http.CanonicalHeaderKey(in.opts.Dialect.Organisation)] = []string{org.Title}
	}
}

// organisationRank returns the rank of the organisation that sends the request. Requests
// without one have the most urgent rank: they are calls of requests that already hold a
// slot elsewhere.
func (req *request) organisationRank() int {
	if req.organisation == nil {
		return 0
	}
	return req.organisation.Rank
}
