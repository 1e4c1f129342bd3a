package tenant

// Tenant is one customer of a fleet.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests; 0 is the highest. It takes precedence over the priorities
	// of routes.
	Priority int
	Quota    Quota
}

// Directory holds the tenants of one version of a configuration with the digests of their keys. It is not
// modified once it is in use.
type Directory struct {
	byDigest map[KeyDigest]*Tenant
	byName   map[string]*Tenant
	// limited is set if any tenant has a limit.
	limited bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byDigest: map[KeyDigest]*Tenant{}, byName: map[string]*Tenant{}}
}

// Add adds a tenant. If the name is already in use, it adds nothing and returns false.
func (d *Directory) Add(added *Tenant) bool {
	if d.byName[added.Name] != nil {
		return false
	}
	d.byName[added.Name] = added
	d.limited = d.limited || added.Quota.Limited()
	return true
}

// AddKey adds a tenant's key by its digest. It returns the tenant that already has the key, or nil if there is
// none.
func (d *Directory) AddKey(owner *Tenant, digest KeyDigest) *Tenant {
	if other := d.byDigest[digest]; other != nil {
		return other
	}
	d.byDigest[digest] = owner
	return nil
}

// Identify returns the tenant of a credential. The lookup uses the digest of the key: its timing depends on
// digests, which a caller cannot choose, and so reveals nothing about a stored key.
func (d *Directory) Identify(credential Credential) (*Tenant, bool) {
	if !credential.present {
		return nil, false
	}
	found, known := d.byDigest[credential.digest]
	return found, known
}

// Lookup returns the tenant with a name, or nil.
func (d *Directory) Lookup(name string) *Tenant { return d.byName[name] }

// AnyLimited reports whether any tenant has a limit.
func (d *Directory) AnyLimited() bool { return d.limited }

// Len returns the number of tenants.
func (d *Directory) Len() int { return len(d.byName) }
