package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/explain"
)

func TestReadMergesLogsOfSeveralNodesInOrder(t *testing.T) {
	g := NewWithT(t)
	first := `  1.2 node-a {"time":"2026-05-19T03:26:32.5Z","level":"INFO","msg":"request sent again","node":"node-a","request":"r1","backend":"i-2"}
not a line
{"time":"2026-05-19T03:26:33Z","level":"INFO","msg":"request not answered","node":"node-a","request":"r2","reason":"no_room"}
{"time":"2026-05-19T03:26:33Z","msg":"torn and names r1`
	second := `{"time":"2026-05-19T03:26:31Z","level":"INFO","msg":"request not answered","node":"node-b","request":"r1","reason":"no_room","short":"decode"}
{"time":"2026-05-19T03:26:31Z","level":"INFO","msg":"other","node":"node-b","backend":"r1"}
`
	lines, err := explain.Read("r1", strings.NewReader(first), strings.NewReader(second))
	g.Expect(err).NotTo(HaveOccurred())
	var printed bytes.Buffer
	g.Expect(explain.Write(&printed, lines)).To(Succeed())
	g.Expect(printed.String()).To(Equal(`03:26:31.000 node-b: request not answered reason=no_room short=decode
03:26:32.500 node-a: request sent again backend=i-2
`))
}

// TestReadFollowsResumedStreams has a stream be resumed twice, each time at another node.
func TestReadFollowsResumedStreams(t *testing.T) {
	log := `{"time":"2026-05-19T03:26:31Z","msg":"request not answered","node":"node-a","request":"r1","reason":"caller_left"}
{"time":"2026-05-19T03:26:32Z","msg":"request not answered","node":"node-b","request":"r2","resumes":"r1","reason":"stream_origin_unknown"}
{"time":"2026-05-19T03:26:33Z","msg":"stream continues","node":"node-c","request":"r3","resumes":"r1","version":"v1"}
{"time":"2026-05-19T03:26:34Z","msg":"stream continues","node":"node-c","request":"r5","resumes":"r4","version":"v2"}
`
	want := `03:26:31.000 node-a: request not answered reason=caller_left
03:26:32.000 node-b: request not answered reason=stream_origin_unknown resumes=r1
03:26:33.000 node-c: stream continues resumes=r1 version=v1
`
	g := NewWithT(t)
	for _, request := range []string{"r1", "r2", "r3"} {
		lines, err := explain.Read(request, strings.NewReader(log))
		g.Expect(err).NotTo(HaveOccurred())
		var printed bytes.Buffer
		g.Expect(explain.Write(&printed, lines)).To(Succeed())
		g.Expect(printed.String()).To(Equal(want), request)
	}
}

// TestReadIncludesTheRecordThatRejectedARequest has a request be rejected by the record of a part of its prompt.
func TestReadIncludesTheRecordThatRejectedARequest(t *testing.T) {
	log := `{"time":"2026-05-19T03:26:31Z","msg":"request standing","node":"node-c","content":"c1","crashes":2,"source":"store"}
{"time":"2026-05-19T03:26:32Z","msg":"request standing","node":"node-c","content":"c1","crashes":3,"source":"store"}
{"time":"2026-05-19T03:26:32Z","msg":"request standing","node":"node-a","content":"c1","crashes":3,"source":"peer"}
{"time":"2026-05-19T03:26:32Z","msg":"request standing","node":"node-c","content":"c2","crashes":3,"source":"store"}
{"time":"2026-05-19T03:26:33Z","msg":"request not answered","node":"node-a","request":"r1","reason":"quarantined","record":"c1"}
{"time":"2026-05-19T03:26:34Z","msg":"request not answered","node":"node-a","request":"r2","reason":"quarantined","record":"c2"}
`
	g := NewWithT(t)
	lines, err := explain.Read("r1", strings.NewReader(log))
	g.Expect(err).NotTo(HaveOccurred())
	var printed bytes.Buffer
	g.Expect(explain.Write(&printed, lines)).To(Succeed())
	g.Expect(printed.String()).To(Equal(`03:26:31.000 node-c: request standing content=c1 crashes=2 source=store
03:26:32.000 node-c: request standing content=c1 crashes=3 source=store
03:26:33.000 node-a: request not answered reason=quarantined record=c1
`))
}

func FuzzRead(f *testing.F) {
	f.Add("r1", `{"request":"r1","time":3,"node":[1]}`)
	f.Fuzz(func(t *testing.T, request, log string) {
		lines, err := explain.Read(request, strings.NewReader(log))
		if err == nil {
			if err := explain.Write(&bytes.Buffer{}, lines); err != nil {
				t.Fatal(err)
			}
		}
	})
}
