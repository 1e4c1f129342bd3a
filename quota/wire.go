package quota

import (
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

func encodeCharge(charge Charge) *peerpb.ChargeQuota {
	encoded := &peerpb.ChargeQuota{Tenant: charge.Tenant, Holder: charge.Holder, Units: charge.Units}
	for _, use := range charge.Usages {
		encoded.Uses = append(encoded.Uses, &peerpb.QuotaUse{Tenant: use.Tenant, Unreported: use.Unreported, Recent: use.Recent})
	}
	return encoded
}

func decodeCharge(encoded *peerpb.ChargeQuota) Charge {
	charge := Charge{Tenant: encoded.GetTenant(), Holder: encoded.GetHolder(), Units: max(0, encoded.GetUnits())}
	for _, use := range encoded.GetUses() {
		charge.Usages = append(charge.Usages, Usage{Tenant: use.GetTenant(), Unreported: use.GetUnreported(), Recent: max(0, use.GetRecent())})
	}
	return charge
}

func encodeGrant(grant Grant) *peerpb.QuotaGrant {
	return &peerpb.QuotaGrant{
		Granted: grant.Granted, Known: grant.TenantKnown, RetryAfterMs: grant.RetryAfter.Milliseconds(), Level: grant.Level, AboveUsual: grant.AboveUsual,
	}
}

func decodeGrant(encoded *peerpb.QuotaGrant) Grant {
	return Grant{
		Granted: encoded.GetGranted(), TenantKnown: encoded.GetKnown(), Level: encoded.GetLevel(), AboveUsual: encoded.GetAboveUsual(),
		RetryAfter: peer.Millis(encoded.GetRetryAfterMs()),
	}
}
