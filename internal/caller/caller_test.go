package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
)

// startFleet starts one VM with one engine and one ledger service over loopback.
func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Hosts: fleet.NewLoopback(), Log: logline.New(io.Discard, "error"),
		DataCentres: []fleet.DataCentre{{Name: "walsall-a-1", Region: "walsall-a", VMs: 1, Engines: 1, Ledgers: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	if err := f.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := f.Configure(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

func sendRequest(t *testing.T, f *fleet.Fleet, method, path, body string, header http.Header) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.VMs[0].CallerURL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header.Clone()
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+fleet.WorkspaceKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

func TestInvalidRequestsAreRefusedWithoutBackendCall(t *testing.T) {
	f := startFleet(t)
	const completions, tags = "/v1/completions", "/services/tag-ledger/tags"
	good := `{"model":"report-writer","prompt":"x"}`
	for _, tc := range []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		cause                    string
	}{
		{"malformed", "POST", completions, `{"model":`, http.Header{}, 400, "badRequest"},
		{"trailing", "POST", completions, good + good, http.Header{}, 400, "badRequest"},
		{"oversized", "POST", completions, `{"prompt":"` + strings.Repeat("x", 2<<20) + `"}`, http.Header{}, 413, "tooLarge"},
		{"unknownModel", "POST", completions, `{"model":"no","prompt":"x"}`, http.Header{}, 404, "notFound"},
		{"noPrompt", "POST", completions, `{"model":"report-writer"}`, http.Header{}, 400, "badRequest"},
		{"noMessages", "POST", "/v1/chat/completions", `{"model":"report-writer"}`, http.Header{}, 400, "badRequest"},
		{"nullMessages", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":null}`, http.Header{}, 400, "badRequest"},
		{"emptyMessages", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":[]}`, http.Header{}, 400, "badRequest"},
		{"messagesNoArray", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":{"role":"user","content":"x"}}`, http.Header{}, 400, "badRequest"},
		{"manyEmptyMessages", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":[{}` + strings.Repeat(",{}", 100_000) + `]}`, http.Header{}, 400, "badRequest"},
		{"numberAsMessage", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":[{"role":"user","content":"x"},5]}`, http.Header{}, 400, "badRequest"},
		{"noContent", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":[{"role":"user"}]}`, http.Header{}, 400, "badRequest"},
		{"imagePart", "POST", "/v1/chat/completions", `{"model":"report-writer","messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image"}]}]}`, http.Header{}, 400, "badRequest"},
		{"twoPrompts", "POST", completions, `{"model":"report-writer","prompt":["x","y"]}`, http.Header{}, 400, "badRequest"},
		{"badMaxTokens", "POST", completions, `{"model":"report-writer","prompt":"x","max_tokens":0}`, http.Header{}, 400, "badRequest"},
		{"severalAnswers", "POST", completions, `{"model":"report-writer","prompt":"x","n":2}`, http.Header{}, 400, "badRequest"},
		{"wrongType", "POST", completions, good, http.Header{"Content-Type": {"text/plain"}}, 400, "badRequest"},
		{"wrongKey", "POST", completions, good, http.Header{"Authorization": {"Bearer no"}}, 401, "unauthorized"},
		{"noBearer", "POST", completions, good, http.Header{"Authorization": {"Basic x"}}, 401, "unauthorized"},
		{"twoKeys", "POST", completions, good, http.Header{"Authorization": {"Bearer a", "Bearer b"}}, 400, "badRequest"},
		{"badPosition", "GET", "/v1/streams", "", http.Header{"Last-Event-Id": {"abc.5"}}, 400, "badRequest"},
		{"noPosition", "GET", "/v1/streams", "", http.Header{}, 400, "badRequest"},
		{"unknownPath", "GET", "/v2", "", http.Header{}, 404, "notFound"},
		{"wrongMethod", "DELETE", completions, "", http.Header{}, 404, "notFound"},
		{"unknownService", "POST", "/services/no/tags", "{}", http.Header{}, 404, "notFound"},
		{"modelAsService", "POST", "/services/report-writer/x", "{}", http.Header{}, 404, "notFound"},
		{"twoIdempotencyKeys", "POST", tags, "{}", http.Header{"Idempotency-Key": {"a", "b"}}, 400, "badRequest"},
		{"keyAndTicket", "POST", tags, "{}", http.Header{"Idempotency-Key": {"a"}, "Idempotency-Ticket": {"b"}}, 400, "badRequest"},
		{"badTicket", "POST", tags, "{}", http.Header{"Idempotency-Ticket": {"b"}}, 400, "badRequest"},
		{"longKey", "POST", tags, "{}", http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}, 400, "badRequest"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, body := sendRequest(t, f, tc.method, tc.path, tc.body, tc.header)
			var p problem.Problem
			if err := json.Unmarshal(body, &p); err != nil {
				t.Fatalf("%s: %v", body, err)
			}
			type result struct {
				status         int
				cause, outcome string
			}
			want := result{tc.status, tc.cause, "notRun"}
			got := result{resp.StatusCode, string(p.Error.Code), string(p.Outcome)}
			if diff := cmp.Diff(want, got, cmp.AllowUnexported(result{})); diff != "" {
				t.Error(diff)
			}
			if p.RequestID == "" || p.RequestID != resp.Header.Get("X-Request-Id") || p.Error.Message == "" {
				t.Errorf("error response has no request id or no message: %s", body)
			}
		})
	}
	if n := f.Engines[0].Started() + len(f.Ledgers[0].Runs()); n != 0 {
		t.Errorf("%d requests reached a backend", n)
	}
}

func TestChatCompletionWithAndWithoutStreaming(t *testing.T) {
	f := startFleet(t)
	chat := `{"model":"report-writer-8b","max_tokens":100,"temperature":0.2,"stream_options":{"include_usage":true},
		"messages":[{"role":"system","content":"brief"},{"role":"user","content":[{"type":"text","text":"length=7"}]}],"stream":`
	_, body := sendRequest(t, f, "POST", "/v1/chat/completions", chat+"false}", http.Header{})
	var completion struct {
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(body, &completion); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	if completion.Object != "chat.completion" || len(completion.Choices) != 1 || completion.Choices[0].Message.Role != "assistant" ||
		completion.Choices[0].FinishReason != "stop" || completion.Usage.CompletionTokens != 7 {
		t.Errorf("unexpected response: %s", body)
	}
	resp, stream := sendRequest(t, f, "POST", "/v1/chat/completions", chat+"true}", http.Header{})
	if got := resp.Header.Get("Content-Type"); got != "text/event-stream" {
		t.Errorf("content type %s", got)
	}
	checkChatStream(t, string(stream))
}

func checkChatStream(t *testing.T, stream string) {
	t.Helper()
	var roles, tokens, finishes, usages int
	events := strings.Split(strings.TrimSpace(stream), "\n\n")
	if events[len(events)-1] != "data: [DONE]" {
		t.Errorf("last event is %q, want data: [DONE]", events[len(events)-1])
	}
	for _, e := range events[:len(events)-1] {
		_, data, _ := strings.Cut(e, "data: ")
		var chunk struct {
			Object  string
			Choices []struct {
				Delta struct {
					Role    string
					Content *string
				}
				FinishReason *string `json:"finish_reason"`
			}
			Usage *struct {
				TotalTokens int `json:"total_tokens"`
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Object != "chat.completion.chunk" {
			t.Fatalf("%q: %v", data, err)
		}
		switch {
		case chunk.Usage != nil:
			usages++
		case chunk.Choices[0].FinishReason != nil:
			finishes++
		case chunk.Choices[0].Delta.Role != "":
			roles++
		case chunk.Choices[0].Delta.Content != nil:
			tokens++
		}
	}
	want := []int{1, 7, 1, 1}
	if diff := cmp.Diff(want, []int{roles, tokens, finishes, usages}); diff != "" {
		t.Errorf("roles, tokens, finishes, usages: %s", diff)
	}
}

func TestModelListContainsOnlyModelServices(t *testing.T) {
	f := startFleet(t)
	_, body := sendRequest(t, f, "GET", "/v1/models", "", http.Header{})
	var list struct{ Data []struct{ ID string } }
	if err := json.Unmarshal(body, &list); err != nil || len(list.Data) != 1 || list.Data[0].ID != fleet.ServiceReports {
		t.Errorf("%s: %v", body, err)
	}
}
