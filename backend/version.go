package backend

// VersionConstraint states at which version of their software backends may take a request. The zero value allows all.
type VersionConstraint struct {
	required bool
	version  string
}

// RequireVersion returns the constraint that allows one version only. The version may be empty: entries need not name
// one, and the backends without it count as one version.
func RequireVersion(version string) VersionConstraint {
	return VersionConstraint{required: true, version: version}
}

// Allows reports whether a backend with a version may take the request.
func (c VersionConstraint) Allows(version string) bool { return !c.required || c.version == version }

// Version returns the only allowed version, and whether there is one.
func (c VersionConstraint) Version() (version string, required bool) { return c.version, c.required }
