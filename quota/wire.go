package quota

import (
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

func encodeCharge(charge Charge) *peerpb.ChargeQuota {
	encoded := &peerpb.ChargeQuota{Tenant: charge.Tenant, Holder: charge.Holder, Units: charge.Units}
	for _, usage := range charge.Usages {
		encoded.Uses = append(encoded.Uses, &peerpb.QuotaUse{Tenant: usage.Tenant, Unreported: usage.Unreported, Recent: usage.Recent})
	}
	return encoded
}

func decodeCharge(encoded *peerpb.ChargeQuota) Charge {
	charge := Charge{Tenant: encoded.GetTenant(), Holder: encoded.GetHolder(), Units: max(0, encoded.GetUnits())}
	for _, usage := range encoded.GetUses() {
		charge.Usages = append(charge.Usages, Usage{Tenant: usage.GetTenant(), Unreported: usage.GetUnreported(), Recent: max(0, usage.GetRecent())})
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
