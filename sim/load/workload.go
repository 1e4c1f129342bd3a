package load

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
)

// Kind is one kind of request of a workload.
type Kind struct {
	// Name identifies the kind in reports.
	Name string `json:"name"`
	// Token is the tenant's bearer token.
	Token string `json:"token"`
	// Share is the kind's weight in the mix, relative to the other kinds.
	Share float64 `json:"share"`
	// Class and Model are set for completions.
	Class string `json:"class,omitempty"`
	Model string `json:"model,omitempty"`
	// PromptTokens and OutputTokens are ranges, both ends included.
	PromptTokens [2]int `json:"prompt_tokens,omitempty"`
	OutputTokens [2]int `json:"output_tokens,omitempty"`
	// SharedTokens is the length of the prompt prefix that all requests of the
	// kind share.
	SharedTokens int  `json:"shared_tokens,omitempty"`
	Stream       bool `json:"stream,omitempty"`
	// Service, Method and Path are set for calls to plain services.
	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`
	// NonIdempotent marks a call that must run at most once.
	NonIdempotent bool `json:"once,omitempty"`
	// FirstToken and TokenInterval are the latency targets; for a service call
	// FirstToken is the target for the complete response.
	FirstToken    api.Duration `json:"first_token"`
	TokenInterval api.Duration `json:"token_interval,omitempty"`
}

// Workload is a mix of kinds.
type Workload struct {
	Kinds []Kind `json:"kinds"`
}

// Read reads workload files and merges their kinds.
func Read(paths ...string) (Workload, error) {
	var merged Workload
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return Workload{}, errors.Wrap(err, "read workload")
		}
		var read Workload
		if err := json.Unmarshal(data, &read); err != nil {
			return Workload{}, errors.Wrapf(err, "decode %s", path)
		}
		merged.Kinds = append(merged.Kinds, read.Kinds...)
	}
	if len(merged.Kinds) == 0 {
		return Workload{}, errors.New("workload has no kinds")
	}
	return merged, nil
}

// draw selects a random kind, weighted by the shares.
func (w Workload) draw(random *rand.Rand) *Kind {
	total := 0.0
	for i := range w.Kinds {
		total += w.Kinds[i].Share
	}
	point := random.Float64() * total
	for i := range w.Kinds {
		point -= w.Kinds[i].Share
		if point <= 0 {
			return &w.Kinds[i]
		}
	}
	return &w.Kinds[len(w.Kinds)-1]
}

// uniform returns a random number from a range, both ends included.
func uniform(random *rand.Rand, ends [2]int) int {
	if ends[1] <= ends[0] {
		return ends[0]
	}
	return ends[0] + random.IntN(ends[1]-ends[0]+1)
}

// wordBytes is the length of a generated word, which is one token.
const wordBytes = 4

// prompt generates a prompt of the given length whose prefix is the same for all
// requests of the kind.
func prompt(kind *Kind, tokens int, random *rand.Rand) string {
	var text strings.Builder
	shared := min(kind.SharedTokens, tokens)
	for i := range shared {
		word := kind.Name + strconv.Itoa(i) + "...."
		text.WriteString(word[:wordBytes-1] + " ")
	}
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for range tokens - shared {
		for range wordBytes - 1 {
			text.WriteByte(letters[random.IntN(len(letters))])
		}
		text.WriteByte(' ')
	}
	return text.String()
}
