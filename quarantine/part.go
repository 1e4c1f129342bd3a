package quarantine

import "slices"

// maxParts bounds the parts of a prompt that count, in their order. Prompts of the supported deployments have four.
const maxParts = 32

// Part identifies a part of a prompt that many requests may share.
type Part struct {
	// Shared identifies the part whoever sends it, and Own the part as one tenant sends it.
	Shared, Own Fingerprint
}

// NewParts returns the parts of a tenant's prompt by their identifiers, each once. Parts beyond the bound do not count.
func NewParts(tenant string, identifiers []string) []Part {
	identifiers = identifiers[:min(len(identifiers), maxParts)]
	parts := make([]Part, 0, len(identifiers))
	for i, identifier := range identifiers {
		if slices.Contains(identifiers[:i], identifier) {
			continue
		}
		parts = append(parts, Part{
			Shared: digestOf([]byte("part"), []byte(identifier)),
			Own:    digestOf([]byte("part of a tenant"), []byte(tenant), []byte(identifier)),
		})
	}
	return parts
}
