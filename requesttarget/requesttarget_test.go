package requesttarget_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/requesttarget"
)

// read returns a request as a server reads it, or nil if it would reject it.
func read(method, target string) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	if err != nil {
		return nil
	}
	return request
}

// TestTargetIsUnchanged guards against a request that reaches its backend with another path or query than its caller sent.
func TestTargetIsUnchanged(t *testing.T) {
	bytesOf := rapid.SliceOf(rapid.OneOf(rapid.SampledFrom([]byte("/?%&=#+{}|\\^`<>\"[]@:;.,~ 2Ffé")), rapid.Byte()))
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + string(bytesOf.Draw(t, "target"))
		prefix := rapid.SampledFrom([]string{"", "http://h:80"}).Draw(t, "prefix")
		request := read(http.MethodPost, prefix+target)
		if request == nil {
			return
		}
		received := requesttarget.Of(request)
		if received != target {
			t.Fatalf("%q is received as %q", target, received)
		}
		sent, err := requesttarget.URL("10.0.0.1:80", received)
		if err != nil {
			if !strings.HasPrefix(target, "//") {
				t.Fatalf("%q: %v", target, err)
			}
			return
		}
		var written strings.Builder
		outgoing := &http.Request{Method: http.MethodPost, URL: sent, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
		if err := outgoing.Write(&written); err != nil {
			t.Fatalf("%q: %v", target, err)
		}
		if line, _, _ := strings.Cut(written.String(), "\r\n"); line != "POST "+target+" HTTP/1.1" {
			t.Fatalf("%q is sent as %q", target, line)
		}
	})
}

// TestTargets checks forms of targets.
func TestTargets(t *testing.T) {
	for sent, expected := range map[string]string{
		"/a/%2Fb?x=%20|": "/a/%2Fb?x=%20|", "http://h": "/", "http://h?x": "/?x", "http://h/a?b": "/a?b", "//a/b": "//a/b", "*": "*",
	} {
		NewWithT(t).Expect(requesttarget.Of(read(http.MethodGet, sent))).To(Equal(expected), sent)
	}
	g := NewWithT(t)
	g.Expect(requesttarget.Path("/a%2Fb/?c/?d")).To(Equal("/a%2Fb/"))
	_, err := requesttarget.URL("10.0.0.1:80", "//a/{b}")
	g.Expect(err).To(MatchError(requesttarget.ErrUnsendable))
}
