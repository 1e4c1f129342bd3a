package api

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Finding is one fault in a setting or an object, with its place.
type Finding struct {
	// Place is the flag, variable or object field.
	Place string `json:"place"`
	// Problem describes the fault.
	Problem string `json:"problem"`
}

// String formats the finding on one line.
func (f Finding) String() string { return f.Place + ": " + f.Problem }

const (
	// maxFindings is the number of findings that are reported of one input.
	maxFindings = 100
	// maxFindingBytes bounds the place and the problem of a finding. Both may quote the input.
	maxFindingBytes = 1 << 10
)

// Findings is a list of faults that are reported together. After maxFindings, a last one says that others are left out.
type Findings []Finding

// Addf appends a finding with a formatted problem.
func (f *Findings) Addf(place, format string, args ...any) {
	switch count := len(*f); {
	case count < maxFindings:
		*f = append(*f, Finding{Place: shortened(place), Problem: shortened(fmt.Sprintf(format, args...))})
	case count == maxFindings:
		*f = append(*f, Finding{Place: shortened(place), Problem: "further findings are left out"})
	}
}

// shortened returns a text, or its beginning if it is longer than maxFindingBytes.
func shortened(text string) string {
	if len(text) <= maxFindingBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFindingBytes], "") + "…"
}

// String formats one finding per line.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// labelPattern matches a DNS label as defined by RFC 1123.
var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const sha256HexLength = 64

// Validate returns every fault of the configuration.
func (c *Configuration) Validate() Findings {
	var findings Findings
	classes := c.validateClasses(&findings)
	c.validatePools(&findings)
	services := c.validateServices(&findings)
	c.validateTenants(&findings, classes, services)
	return findings
}

// IsLabel reports whether a name is a DNS label.
func IsLabel(name string) bool { return labelPattern.MatchString(name) }

// nameSet is the set of the names checked so far. Its check method reports duplicates
// and names that are not DNS labels.
type nameSet map[string]bool

func (n nameSet) check(findings *Findings, place, name string) {
	if !IsLabel(name) {
		findings.Addf(place+".name", "%q is not a DNS label", name)
	}
	if n[name] {
		findings.Addf(place+".name", "%q stands twice", name)
	}
	n[name] = true
}

func (c *Configuration) validateClasses(findings *Findings) nameSet {
	names := nameSet{}
	models := map[string]bool{}
	for _, pool := range c.Pools {
		models[pool.Model] = true
	}
	for _, class := range c.Classes {
		place := "classes[" + class.Name + "]"
		names.check(findings, place, class.Name)
		if !models[class.Model] {
			findings.Addf(place+".model", "no pool holds model %q", class.Model)
		}
		if class.FirstToken <= 0 {
			findings.Addf(place+".first_token", "must be above zero")
		}
		if class.TokenInterval <= 0 {
			findings.Addf(place+".token_interval", "must be above zero")
		}
		if class.MaxPromptTokens < 0 || class.MaxOutputTokens < 0 {
			findings.Addf(place, "token limits must not be negative")
		}
	}
	return names
}

func (c *Configuration) validatePools(findings *Findings) {
	pools, engines := nameSet{}, nameSet{}
	for _, pool := range c.Pools {
		place := "pools[" + pool.Name + "]"
		pools.check(findings, place, pool.Name)
		if pool.Model == "" {
			findings.Addf(place+".model", "is empty")
		}
		if pool.Zone == "" {
			findings.Addf(place+".zone", "is empty")
		}
		switch pool.RoleChanges {
		case "", RoleChangesAdvise, RoleChangesApply:
		default:
			findings.Addf(place+".role_changes", "%q is neither %q nor %q", pool.RoleChanges, RoleChangesAdvise, RoleChangesApply)
		}
		for _, engine := range pool.Engines {
			validateEngine(findings, engines, place, engine)
		}
	}
}

func validateEngine(findings *Findings, names nameSet, poolPlace string, engine Engine) {
	place := poolPlace + ".engines[" + engine.Name + "]"
	names.check(findings, place, engine.Name)
	checkAddress(findings, place+".address", engine.Address)
	if engine.Role != RolePrefill && engine.Role != RoleDecode {
		findings.Addf(place+".role", "%q is neither %q nor %q", engine.Role, RolePrefill, RoleDecode)
	}
	if engine.Slots < 0 || engine.KVTokens < 0 {
		findings.Addf(place, "slots and kv_tokens must not be negative")
	}
}

func (c *Configuration) validateServices(findings *Findings) nameSet {
	names := nameSet{}
	for _, service := range c.Services {
		place := "services[" + service.Name + "]"
		names.check(findings, place, service.Name)
		backends := nameSet{}
		for _, backend := range service.Backends {
			backendPlace := place + ".backends[" + backend.Name + "]"
			backends.check(findings, backendPlace, backend.Name)
			checkAddress(findings, backendPlace+".address", backend.Address)
		}
	}
	return names
}

func (c *Configuration) validateTenants(findings *Findings, classes, services nameSet) {
	names, hashes := nameSet{}, map[string]string{}
	for _, tenant := range c.Tenants {
		place := "tenants[" + tenant.Name + "]"
		names.check(findings, place, tenant.Name)
		checkConfigured(findings, place+".classes", classes, tenant.Classes)
		checkConfigured(findings, place+".services", services, tenant.Services)
		if tenant.Weight < 0 {
			findings.Addf(place+".weight", "must not be negative")
		}
		for i, hash := range tenant.TokenHashes {
			hashPlace := fmt.Sprintf("%s.token_hashes[%d]", place, i)
			if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
				findings.Addf(hashPlace, "is not a hex SHA-256 digest")
			}
			if other, duplicate := hashes[hash]; duplicate {
				findings.Addf(hashPlace, "belongs to tenant %q already", other)
			}
			hashes[hash] = tenant.Name
		}
	}
}

func checkConfigured(findings *Findings, place string, configured nameSet, referenced []string) {
	for _, name := range referenced {
		if !configured[name] {
			findings.Addf(place, "%q is not configured", name)
		}
	}
}

func checkAddress(findings *Findings, place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		findings.Addf(place, "%q is not an IP address and port", address)
	}
}
