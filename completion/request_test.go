package completion

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/filter"
)

// parseWith parses a body with headers for a tenant with two classes.
func parseWith(body string, chat bool, headers map[string]string) (*parsedRequest, error) {
	snapshot := configuration.NewSnapshot(configuration.Head{Version: 1}, &api.Configuration{
		Tenants: []api.Tenant{{Name: "a", Classes: []string{"draft", "triage"}}},
		Classes: []api.Class{
			{Name: "draft", Model: "plan", MaxPromptTokens: 10, MaxOutputTokens: 50},
			{Name: "triage", Model: "other", MaxOutputTokens: 1},
			{Name: "foreign", Model: "plan"},
		},
	})
	tenant, _ := snapshot.Tenant("a")
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	return parse(request, &filter.Exchange{RequestID: "r", Snapshot: snapshot, Tenant: tenant}, chat)
}

func TestInvalidInputIsRejectedAsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		body    string
		headers map[string]string
		want    api.Code
	}{
		"malformed JSON":  {`{"prompt":`, nil, api.CodeInvalidRequest},
		"wrong type":      {`{"prompt":7}`, nil, api.CodeInvalidRequest},
		"empty prompt":    {`{"prompt":""}`, nil, api.CodeInvalidRequest},
		"negative tokens": {`{"prompt":"x","max_tokens":-1}`, nil, api.CodeInvalidRequest},
		"long prompt":     {`{"prompt":"` + strings.Repeat("x", 41) + `"}`, nil, api.CodeTooLarge},
		"unknown model":   {`{"prompt":"x","model":"none"}`, nil, api.CodeUnknownModel},
		"foreign class":   {`{"prompt":"x"}`, map[string]string{HeaderClass: "foreign"}, api.CodeForbidden},
		"bad offset":      {`{"prompt":"x"}`, map[string]string{HeaderLastEvent: "last"}, api.CodeInvalidRequest},
		"long key":        {`{"prompt":"x"}`, map[string]string{HeaderKey: strings.Repeat("k", 129)}, api.CodeInvalidRequest},
	} {
		g := NewWithT(t)
		_, err := parseWith(test.body, false, test.headers)
		apiErr := api.AsError(err, api.OutcomeUnknown)
		g.Expect(apiErr.Code).To(Equal(test.want), name)
		g.Expect(apiErr.Outcome).To(Equal(api.OutcomeNotRun), name)
	}
}

func TestClassAndLimits(t *testing.T) {
	g := NewWithT(t)
	first, err := parseWith(`{"prompt":"x","max_tokens":500,"stream":true}`, false, map[string]string{HeaderLastEvent: "4"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.class.Name).To(Equal("draft"))
	g.Expect(first.maxTokens).To(Equal(50))
	g.Expect(first.next).To(Equal(5))
	byModel, err := parseWith(`{"prompt":"x","model":"other"}`, false, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(byModel.class.Name).To(Equal("triage"))
	chat, err := parseWith(`{"messages":[{"role":"user","content":"x"}]}`, true, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(chat.prompt).To(Equal("user: x\n"))
}

func FuzzParse(f *testing.F) {
	f.Add(`{"prompt":"x","max_tokens":3}`)
	f.Fuzz(func(t *testing.T, body string) {
		request, err := parseWith(body, false, nil)
		if err == nil && (request.prompt == "" || request.maxTokens < 1 || request.maxTokens > 50) {
			t.Fatalf("accepted %+v", request)
		}
		if err != nil && api.AsError(err, api.OutcomeUnknown).Outcome != api.OutcomeNotRun {
			t.Fatalf("got %v", err)
		}
	})
}
