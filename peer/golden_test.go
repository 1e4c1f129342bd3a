package peer_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/reelrun/reelrun/peer/peerpb"
)

const (
	// goldenFile holds each kind of message as written by an earlier build, one per line: the message, the
	// field of its body, and the bytes in hexadecimal. Lines are added, never changed.
	goldenFile = "testdata/golden-messages.txt"
	// goldenUpdate is the environment variable that enables appending messages that have no line yet.
	goldenUpdate = "GOLDEN_UPDATE"
	// goldenDepth bounds the depth to which recursive messages are filled.
	goldenDepth = 4
)

// goldenMessage is one kind of message: a request or a response with one kind of body.
type goldenMessage struct {
	name  string
	body  protoreflect.FieldDescriptor
	empty proto.Message
}

// goldenMessages returns an empty message for each kind of body of requests and responses.
func goldenMessages() []goldenMessage {
	var all []goldenMessage
	for _, empty := range []proto.Message{&peerpb.Request{}, &peerpb.Response{}} {
		bodies := empty.ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
		for i := range bodies.Len() {
			name := fmt.Sprintf("%s.%s", empty.ProtoReflect().Descriptor().Name(), bodies.Get(i).Name())
			all = append(all, goldenMessage{name, bodies.Get(i), empty.ProtoReflect().New().Interface()})
		}
	}
	return all
}

// filled returns the message with each field set to a value derived from the field's name: a field whose
// number, type or name has changed is decoded with another value, or with none.
func (g goldenMessage) filled() proto.Message {
	message := proto.Clone(g.empty)
	reflected := message.ProtoReflect()
	body := reflected.NewField(g.body)
	fill(body.Message(), goldenDepth)
	reflected.Set(g.body, body)
	return message
}

func fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if depth == 0 && field.Message() != nil {
			continue
		}
		switch {
		case field.IsMap():
			entry := message.Mutable(field).Map()
			entry.Set(goldenScalar(field.MapKey()).MapKey(), goldenElement(entry.NewValue(), field.MapValue(), depth))
		case field.IsList():
			list := message.Mutable(field).List()
			list.Append(goldenElement(list.NewElement(), field, depth))
		default:
			message.Set(field, goldenElement(message.NewField(field), field, depth))
		}
	}
}

// goldenElement fills an empty value of a field.
func goldenElement(empty protoreflect.Value, field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	if field.Message() == nil {
		return goldenScalar(field)
	}
	fill(empty.Message(), depth-1)
	return empty
}

// goldenScalar returns the value of a field that is not a message.
func goldenScalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	digest := xxhash.Sum64String(string(field.FullName()))
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text %x", digest))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "bytes %x", digest))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(digest % 1000))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(digest % 1000))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(digest % 1e6))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(digest % 1e6))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(digest % 1e12)
	default:
		return protoreflect.ValueOfInt64(int64(digest % 1e12))
	}
}

// golden returns the recorded messages by name.
func golden(t *testing.T) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	written := map[string][]byte{}
	for line := range strings.Lines(string(content)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		encoded, err := hex.DecodeString(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		written[name] = encoded
	}
	return written
}

// TestMessagesOfEarlierBuildsAreRead reads each kind of message as written by an earlier build. Nodes of
// two builds call each other during a rolling upgrade.
func TestMessagesOfEarlierBuildsAreRead(t *testing.T) {
	written := golden(t)
	var missing bytes.Buffer
	for _, kind := range goldenMessages() {
		encoded, known := written[kind.name]
		if !known {
			fresh, err := proto.MarshalOptions{Deterministic: true}.Marshal(kind.filled())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&missing, "%s %s\n", kind.name, hex.EncodeToString(fresh))
			continue
		}
		delete(written, kind.name)
		read := proto.Clone(kind.empty)
		if err := proto.Unmarshal(encoded, read); err != nil {
			t.Errorf("%s: %v", kind.name, err)
			continue
		}
		expectPart(t, kind.name, read.ProtoReflect(), kind.filled().ProtoReflect())
	}
	for name := range written {
		t.Errorf("%s is no longer a message", name)
	}
	if missing.Len() == 0 {
		return
	}
	if os.Getenv(goldenUpdate) == "" {
		t.Fatalf("messages without a line in %s; %s=1 appends them:\n%s", goldenFile, goldenUpdate, missing.String())
	}
	file, err := os.OpenFile(goldenFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	_, err = file.Write(missing.Bytes())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

// expectPart checks that each field of an earlier build's message is known and has the value that was
// written. Fields that were added later are absent.
func expectPart(t *testing.T, path string, read, expected protoreflect.Message) {
	t.Helper()
	if len(read.GetUnknown()) > 0 {
		t.Errorf("%s has fields that are no longer known: %x", path, read.GetUnknown())
	}
	read.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name := path + "." + string(field.Name())
		switch {
		case field.IsMap():
			value.Map().Range(func(key protoreflect.MapKey, element protoreflect.Value) bool {
				expectValue(t, name, field.MapValue(), element, expected.Get(field).Map().Get(key))
				return true
			})
		case field.IsList():
			expectValue(t, name, field, value.List().Get(0), expected.Get(field).List().Get(0))
		default:
			expectValue(t, name, field, value, expected.Get(field))
		}
		return true
	})
}

func expectValue(t *testing.T, path string, field protoreflect.FieldDescriptor, read, expected protoreflect.Value) {
	t.Helper()
	if field.Message() != nil {
		expectPart(t, path, read.Message(), expected.Message())
		return
	}
	if !read.Equal(expected) {
		t.Errorf("%s reads as %v, want %v", path, read, expected)
	}
}

// FuzzMessagesOfOtherBuilds decodes and encodes bytes of another build, possibly corrupted: unknown fields
// must be preserved.
func FuzzMessagesOfOtherBuilds(f *testing.F) {
	for _, kind := range goldenMessages() {
		encoded, err := proto.Marshal(kind.filled())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var first, second peerpb.Request
		if proto.Unmarshal(encoded, &first) != nil {
			return
		}
		reencoded, err := proto.Marshal(&first)
		if err != nil {
			t.Fatal(err)
		}
		if err := proto.Unmarshal(reencoded, &second); err != nil || !proto.Equal(&first, &second) {
			t.Fatalf("message changed when encoded and decoded again: %v", err)
		}
	})
}
