package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

var testAttempt = Attempt{RequestID: "request", Number: 1}

func tokenEvent(attempt Attempt, offset int) string {
	data, err := json.Marshal(Token{Attempt: attempt, Offset: offset, Text: fmt.Sprintf("t%d ", offset)})
	if err != nil {
		panic(err)
	}
	return "event: token\ndata: " + string(data) + "\n\n"
}

func doneEvent(attempt Attempt, tokens int) string {
	data, err := json.Marshal(Done{Attempt: attempt, Tokens: tokens})
	if err != nil {
		panic(err)
	}
	return "event: done\ndata: " + string(data) + "\n\n"
}

// read returns the offsets of the tokens of a stream, and the final error.
func read(text string) ([]int, error) {
	stream := newStream(io.NopCloser(strings.NewReader(text)), testAttempt, 0)
	defer stream.Close()
	var offsets []int
	for {
		token, _, err := stream.Next()
		if err != nil {
			return offsets, err
		}
		offsets = append(offsets, token.Offset)
	}
}

// TestStreamYieldsEachTokenOnce generates a stream with duplicate and missing
// tokens and tokens of another request, and truncates it. A reader must get a
// prefix of the output, in order, and io.EOF only after all of it.
func TestStreamYieldsEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 20).Draw(t, "length")
		var text strings.Builder
		for offset := range length {
			switch rapid.IntRange(0, 20).Draw(t, "fault") {
			case 0:
				continue // A gap.
			case 1:
				text.WriteString(tokenEvent(Attempt{RequestID: "other", Number: 1}, offset))
			case 2, 3, 4:
				text.WriteString(tokenEvent(testAttempt, rapid.IntRange(0, offset).Draw(t, "again")))
			}
			text.WriteString(tokenEvent(testAttempt, offset))
		}
		text.WriteString(doneEvent(testAttempt, length))
		untruncated := text.String()
		cut := rapid.IntRange(0, len(untruncated)).Draw(t, "cut")
		offsets, err := read(untruncated[:cut])
		for i, offset := range offsets {
			if i != offset {
				t.Fatalf("token %d was read at position %d", offset, i)
			}
		}
		if errors.Is(err, io.EOF) && len(offsets) != length {
			t.Fatalf("a stream of %d tokens was reported as complete after %d", length, len(offsets))
		}
	})
}

func TestStreamErrors(t *testing.T) {
	foreign := Attempt{RequestID: "other", Number: 1}
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"token of another request":        {tokenEvent(foreign, 0), ErrAttemptMismatch},
		"done event of another request":   {doneEvent(foreign, 0), ErrAttemptMismatch},
		"missing token":                   {tokenEvent(testAttempt, 1), ErrGap},
		"missing token before done event": {tokenEvent(testAttempt, 0) + doneEvent(testAttempt, 2), ErrGap},
		"no done event":                   {tokenEvent(testAttempt, 0), ErrBroken},
	} {
		if _, err := read(test.text); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add(tokenEvent(testAttempt, 0) + doneEvent(testAttempt, 1))
	f.Fuzz(func(t *testing.T, text string) {
		offsets, _ := read(text)
		for i, offset := range offsets {
			if i != offset {
				t.Fatalf("token %d was read at position %d", offset, i)
			}
		}
	})
}

func TestBlockHashesAreSaltedByTenant(t *testing.T) {
	prompt := strings.Repeat("same words ", 200)
	first, second := BlockHashes("a", "model", prompt), BlockHashes("b", "model", prompt)
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("%d and %d blocks", len(first), len(second))
	}
	for i := range first {
		if first[i] == second[i] {
			t.Fatalf("block %d of two tenants is the same", i)
		}
	}
}
