package tenant

// Quota is how much a tenant may use across all nodes of a fleet. The zero value has no limit.
type Quota struct {
	// Rate is how many units a second the tenant may use; zero for no limit.
	Rate float64
	// Burst is how many units it may use at once beyond the rate.
	Burst float64
	// CountsTokens is set if a unit is a token of a generation; otherwise each request is one unit.
	CountsTokens bool
	// PlainCost is how many tokens a request without token counts is charged, if units are tokens.
	PlainCost float64
}

// Limited reports whether the quota has a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns how many units a request is charged: its tokens, which are those of its prompt and the most that
// it may produce, or the flat cost of a request without token counts.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return q.PlainCost
	}
}
