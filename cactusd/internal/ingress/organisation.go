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
	// Return returns the token of a request that has not run.
	Return(org *settings.Organisation)
	// Preview returns the verdict that Take would give now, and takes nothing.
	Preview(ctx context.Context, org *settings.Organisation) quota.Preview
	// Levels returns what the holders of quotas have, in the same order.
	Levels(ctx context.Context, orgs []*settings.Organisation) []quota.Level
}

// credential is what a request says about its sender.
type credential struct {
	// isSent means that the request has a credential header, even an empty one.
	isSent bool
	// find returns the organisation that the credential belongs to, or nil.
	find func(*settings.Organisations) *settings.Organisation
}

// credentialOf returns the credential of a request. A header that is sent twice holds no
// key.
func (in *Ingress) credentialOf(header http.Header) credential {
	values := header.Values(in.opts.Dialect.Credential)
	return credential{isSent: len(values) > 0, find: func(organisations *settings.Organisations) *settings.Organisation {
		if len(values) != 1 {
			return nil
		}
		return organisations.ByKey(values[0])
	}}
}

// caller is what the credential of a request says about its sender.
type caller struct {
	// keysRequired means that the settings in force require keys. The other fields are zero
	// if they don't.
	keysRequired bool
	// hasCredential means that the request has a credential header, even an empty one.
	hasCredential bool
	// organisation is nil unless the key is known.
	organisation *settings.Organisation
}

// identify looks up the sender of a request. If the contract with callers has no header for
// a key, no sender is known.
func (in *Ingress) identify(organisations *settings.Organisations, sent credential) caller {
	if !organisations.RequireKeys() {
		return caller{}
	}
	from := caller{keysRequired: true, hasCredential: sent.isSent}
	if in.opts.Dialect.Credential != "" {
		from.organisation = sent.find(organisations)
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

// checkCaller counts the request of an organisation, and rejects one that judgeCaller
// rejects.
func (in *Ingress) checkCaller(req *request, from caller) *wire.RunAnswer {
	if from.organisation != nil {
		in.usage.of(from.organisation).requests.Add(1)
	}
	return in.judgeCaller(req, from)
}

// judgeCaller rejects a request whose key is unknown, or which has none although its kind
// needs one. Unless the settings are known to be the newest, the key may be a new one.
func (in *Ingress) judgeCaller(req *request, from caller) *wire.RunAnswer {
	req.organisation = from.organisation
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
	if !in.hasLimit(req) {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	verdict := in.opts.Quota.Take(ctx, req.organisation)
	if verdict.Outcome == quota.OverLimit {
		in.usage.of(req.organisation).overQuota.Add(1)
	}
	rejection := req.judgeQuota(verdict)
	req.hasQuota = rejection == nil
	return rejection
}

// hasLimit reports whether a request needs a token of a quota.
func (in *Ingress) hasLimit(req *request) bool {
	return in.opts.Quota != nil && req.organisation != nil && req.organisation.Rate != 0
}

// judgeQuota rejects a request that its quota doesn't admit.
func (req *request) judgeQuota(verdict quota.Verdict) *wire.RunAnswer {
	if verdict.Outcome == quota.Admitted {
		return nil
	}
	req.callerAtFault = true
	answer := req.reject(outcome.QuotaUnavailable, "the quota of the organisation is not available")
	if verdict.Outcome == quota.OverLimit {
		answer = req.reject(outcome.OverQuota, "the organisation is over its limit")
	}
	answer.RetryAfter = verdict.RetryAfter
	return answer
}

// returnQuota returns the token of a request that has not run.
func (in *Ingress) returnQuota(req *request) {
	if req.hasQuota {
		req.hasQuota = false
		in.opts.Quota.Return(req.organisation)
	}
}

// setOrganisation replaces what the caller sent about itself by the title of its
// organisation, also where the settings require no keys: the key is for the ingress alone,
// and callers may go on to send one after the last organisation was removed.
func (in *Ingress) setOrganisation(header wire.Header, org *settings.Organisation) {
	delete(header, http.CanonicalHeaderKey(in.opts.Dialect.Credential))
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
