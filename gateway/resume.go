package gateway

import "github.com/reelrun/reelrun/backend"

// versionRejection returns the rejection of a request that can run at one software version only if no engine has it.
func (x *exchange) versionRejection() error {
	if _, required := x.version.Version(); !required {
		return nil
	}
	if x.handler.options.Backends.HasReady(x.service, backend.RoleDecode, x.version) {
		return nil
	}
	return notRun(ReasonVersionUnavailable, noBackendRetryAfter, nil)
}
