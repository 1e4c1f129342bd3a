package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token of an output at the given offset, followed by a space.
func Token(model, prompt string, offset int) string {
	sum := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(offset))
	return strconv.FormatUint(sum%46656, 36) + " "
}

// Text returns the text of an output with the given number of tokens.
func Text(model, prompt string, tokens int) string {
	var text strings.Builder
	for offset := range tokens {
		text.WriteString(Token(model, prompt, offset))
	}
	return text.String()
}
