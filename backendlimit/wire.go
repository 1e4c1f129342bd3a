package backendlimit

import (
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

func encodeCharge(charge Charge) *peerpb.ChargeBackend {
	return &peerpb.ChargeBackend{Backend: charge.Backend, Rate: charge.Rate, Units: charge.Units, Unconditional: charge.Unconditional}
}

func decodeCharge(encoded *peerpb.ChargeBackend) Charge {
	return Charge{
		Backend: encoded.GetBackend(), Rate: max(0, encoded.GetRate()), Units: max(0, encoded.GetUnits()), Unconditional: encoded.GetUnconditional(),
	}
}

func encodeGrant(grant Grant) *peerpb.BackendGrant {
	return &peerpb.BackendGrant{Granted: grant.Granted, RetryAfterMs: grant.RetryAfter.Milliseconds()}
}

func decodeGrant(encoded *peerpb.BackendGrant) Grant {
	return Grant{Granted: encoded.GetGranted(), RetryAfter: peer.Millis(encoded.GetRetryAfterMs())}
}
