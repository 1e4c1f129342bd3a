package jsonbound_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/jsonbound"
)

// TestCutDeep compares documents with what is left of them.
func TestCutDeep(t *testing.T) {
	for document, expected := range map[string]string{
		`{"a":[1,{"b":[2]}]}`:              `{"a":[1,0]}`,
		`[[],[[]],"[[[",{"x":{}}]`:         `[[],[0],"[[[",{"x":0}]`,
		`["\"[[[",[["]]]"]],"\\",[]]`:      `["\"[[[",[0],"\\",[]]`,
		`{"a":[[[[`:                        `{"a":[0`,
		`]]]]{"a":1}`:                      `]]]]{"a":1}`,
		`{"a":` + nested(1000) + `,"b":1}`: `{"a":[0],"b":1}`,
		``:                                 ``,
	} {
		NewWithT(t).Expect(string(jsonbound.CutDeep([]byte(document), 2))).To(Equal(expected), document)
	}
}

// nested returns arrays that are nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// depthOf returns how deep a value is nested.
func depthOf(value any) int {
	deepest := 0
	switch typed := value.(type) {
	case []any:
		for _, element := range typed {
			deepest = max(deepest, depthOf(element))
		}
	case map[string]any:
		for _, element := range typed {
			deepest = max(deepest, depthOf(element))
		}
	default:
		return 0
	}
	return deepest + 1
}

// drawValue draws a value that is nested to at most a depth.
func drawValue(t *rapid.T, depth int) any {
	if depth == 0 {
		return rapid.OneOf(
			rapid.Just[any](nil), rapid.Just[any](1.5), rapid.Just[any](true),
			rapid.Map(rapid.StringOf(rapid.SampledFrom([]rune(`[]{}",:\aé`))), func(text string) any { return text }),
		).Draw(t, "value")
	}
	count := rapid.IntRange(0, 3).Draw(t, "count")
	if rapid.Bool().Draw(t, "array") {
		array := []any{}
		for range count {
			array = append(array, drawValue(t, rapid.IntRange(0, depth-1).Draw(t, "depth")))
		}
		return array
	}
	object := map[string]any{}
	for range count {
		object[rapid.StringOf(rapid.SampledFrom([]rune(`[]{}",\a`))).Draw(t, "key")] = drawValue(t, rapid.IntRange(0, depth-1).Draw(t, "depth"))
	}
	return object
}

// TestCheckAgreesWithDecoder compares the verdicts with those on the decoded document, and checks that what is left of a document
// decodes to the same values down to the depth.
func TestCheckAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const mostDepth = 6
		document, err := json.Marshal(drawValue(t, rapid.IntRange(0, mostDepth).Draw(t, "nested")))
		if err != nil {
			t.Fatal(err)
		}
		levels := rapid.IntRange(0, mostDepth).Draw(t, "levels")
		var value, cut any
		if err := json.Unmarshal(document, &value); err != nil {
			t.Fatal(err)
		}
		isDeep := depthOf(value) > levels
		if exceeded := jsonbound.Check(document, jsonbound.Limits{Depth: levels, ObjectBytes: 1}) != nil; exceeded != isDeep {
			t.Fatalf("%s: exceeds %d levels: %v, want %v", document, levels, exceeded, isDeep)
		}
		left := jsonbound.CutDeep(bytes.Clone(document), levels)
		if err := json.Unmarshal(left, &cut); err != nil {
			t.Fatalf("%s: %v", left, err)
		}
		if !isDeep && !bytes.Equal(left, document) {
			t.Fatalf("%s changed to %s", document, left)
		}
		if depthOf(cut) > levels {
			t.Fatalf("%s is left of %s", left, document)
		}
	})
}

// TestObjectsAreCounted checks the limit of the objects.
func TestObjectsAreCounted(t *testing.T) {
	g := NewWithT(t)
	limits := jsonbound.Limits{Depth: 3, ObjectBytes: 32}
	many := func(object string, count int) []byte { return []byte("[" + strings.Repeat(object+",", count) + "0]") }
	g.Expect(jsonbound.Check(many(`{}`, 64), limits)).To(Succeed())
	g.Expect(jsonbound.Check(many(`{}`, 128), limits)).To(MatchError(jsonbound.ErrExceeded))
	g.Expect(jsonbound.Check(many(`{"a":"{{{{{{{{{{{{{{{{{{{{{{{"}`, 10_000), limits)).To(Succeed())
	g.Expect(jsonbound.Check(many(`{"a":"{{{{{{{{{{{{{{"}`, 10_000), limits)).To(MatchError(jsonbound.ErrExceeded))
}

func BenchmarkCheck(b *testing.B) {
	route := `{"name":"a","host":"h.example","path_prefix":"/a/","route_kind":"stream","timeout_ms":1400.5,"weighted_services":[{"service":"s","weight":90}]},`
	document := []byte(`{"routes":[` + strings.Repeat(route, 14_000) + `{}]}`)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		if jsonbound.Check(document, jsonbound.Limits{Depth: 64, ObjectBytes: 32}) != nil {
			b.Fatal("exceeded")
		}
	}
}
