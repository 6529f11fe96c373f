package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

const validSettings = `{
	"vm": {"name": "walsall-a-entry-1", "region": "walsall-a", "dataCentre": "walsall-a-1"},
	"listen": {"callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002", "operators": "127.0.0.1:7003"},
	"platform": {"address": "http://127.0.0.1:7100"},
	"peers": {"key": "0123456789abcdef"},
	"operators": {"keys": [{"name": "o", "key": "12345678"}]}
}`

func TestParseKeepsDefaultsOfAbsentKeys(t *testing.T) {
	s, err := settings.Parse("f", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings.Defaults().Callers, s.Callers); diff != "" {
		t.Error(diff)
	}
}

func TestLoadAcceptsExampleFiles(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*entry*.json")
	if err != nil || len(files) != 12 {
		t.Fatalf("%d examples, %v", len(files), err)
	}
	for _, f := range files {
		if _, err := settings.Load(f); err != nil {
			t.Error(err)
		}
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           []string
	}{
		{"unknownKey", `"platform"`, `"plattform"`, []string{"plattform", "platform.address"}},
		{"wrongType", `"127.0.0.1:7001"`, `7001`, []string{"listen.callers"}},
		{"noIP", `127.0.0.1:7001`, `localhost:7001`, []string{"listen.callers"}},
		{"sameAddress", `7002`, `7001`, []string{"listen.callers"}},
		{"notLoopback", `127.0.0.1:7003`, `10.0.0.1:7003`, []string{"listen.operators"}},
		{"shortKey", `0123456789abcdef`, `short`, []string{"peers.key"}},
		{"badName", `"walsall-a-entry-1"`, `"Walsall A"`, []string{"vm.name"}},
		{"badURL", `http://127.0.0.1:7100`, `ftp://x`, []string{"platform.address"}},
		{"empty", validSettings, `{}`, []string{
			"vm.name", "vm.region", "vm.dataCentre", "listen.callers", "listen.peers",
			"listen.operators", "platform.address", "peers.key", "operators.keys",
		}},
		{"notJSON", validSettings, `{`, []string{
			"", "vm.name", "vm.region", "vm.dataCentre", "listen.callers", "listen.peers",
			"listen.operators", "platform.address", "peers.key", "operators.keys",
		}},
		{"smallMachine", `"platform": {`, `"memoryMb": 8, "maxDescriptors": 100, "platform": {`, []string{"memoryMb", "maxDescriptors"}},
		{"impossible", `"platform": {`, `"policy": {"objective": "speed", "retryPercent": 200}, "platform": {`, []string{"policy.objective", "policy.retryPercent"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("f.json", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
			var p *settings.Problems
			if !errors.As(err, &p) {
				t.Fatalf("error is not a *Problems: %v", err)
			}
			var keys []string
			for _, x := range p.List {
				keys = append(keys, x.Key)
				if x.Reason == "" {
					t.Errorf("problem of %s has no reason", x.Key)
				}
			}
			if diff := cmp.Diff(c.want, keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	example, err := os.ReadFile("../../examples/harbottle/walsall-a-entry-1.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if err == nil && (s.VM.Name == "" || s.Listen.Callers == "") {
			t.Error("accepted settings without a name or a listen address")
		}
	})
}

// templateValues are example values of the placeholders that the platform replaces
// in the settings template.
var templateValues = map[string]string{
	"node|json": `"front-walsall-a-1"`, "region|json": `"black-country"`, "zone|json": `"walsall-a"`,
	"listen.front|json": `"10.1.0.19:8740"`, "listen.ready|json": `"10.1.0.19:8749"`, "ip": "10.1.0.19",
	"portRange.0": "7200", "platform.addr|json": `"10.200.1.7:8742"`, "zones|json": `{"walsall-a":"black-country"}`,
	"bounds.graceS": "8", "bounds.configApplyMs": "3000", "bounds.drainMs": "3000", "bounds.retryRatio": "0.2",
	"limits.memoryMb": "134", "limits.maxFds": "4100", "bounds.retrySlack": "52", "bounds.retryWindowS": "10",
}

// optionalValues are the values of the placeholders in sections, which only some deployments have.
var optionalValues = map[string]string{"bounds.evacMs": "5000", "bounds.coldExcess": "1.5"}

// section matches a section of the template for an optional value.
var section = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)

// filledTemplate returns the template as the platform fills it, with or without optional values.
func filledTemplate(t *testing.T, optional map[string]string) string {
	t.Helper()
	b, err := os.ReadFile("../../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	text := section.ReplaceAllStringFunc(string(b), func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, ok := optional[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	for name, value := range templateValues {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

func TestParseGatewayAcceptsOptionalBounds(t *testing.T) {
	g, err := settings.ParseGateway("f", []byte(filledTemplate(t, optionalValues)))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Bounds{
		GraceS: 8, ConfigMs: 3000, DrainMs: 3000, RetryRatio: 0.2, RetrySlack: 52, RetryWindowS: 10,
		EvacuationMs: 5000, ColdRatio: 1.5,
	}
	if diff := cmp.Diff(want, g.Bounds); diff != "" {
		t.Errorf("bounds (-want +got):\n%s", diff)
	}
}

func TestParseGatewayAcceptsDeployTemplate(t *testing.T) {
	g, err := settings.ParseGateway("f", []byte(filledTemplate(t, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("10.1.0.19:7200", g.Listen.Peers); diff != "" {
		t.Error(diff)
	}
	if g.DataCentres["walsall-a"] != "black-country" || g.Bounds.RetrySlack != 52 {
		t.Errorf("%+v", g)
	}
}

func TestParseGatewayReportsProblems(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"10.1.0.19:8740"`, `"10.1.0.19:8749"`, "listen.ready"},
		{`"10.1.0.19:8740"`, `"front:8740"`, "listen.callers"},
		{`"10.200.1.7:8742"`, `""`, "store.address"},
		{`"graceS": 8`, `"graceS": -1`, "bounds.graceS"},
		{`"configMs": 3000`, `"configMs": "soon"`, "bounds.configMs"},
		{`"retryRatio": 0.2`, `"retryRatio": 2`, "bounds.retryRatio"},
		{`"retryWindowS": 10`, `"retryWindowS": 0`, "bounds.retryWindowS"},
		{`"memoryMb": 134`, `"memoryMb": 1`, "memoryMb"},
		{`"maxDescriptors": 4100`, `"maxDescriptors": 100`, "maxDescriptors"},
		{`"store"`, `"stores"`, "stores"},
		{`{"walsall-a":"black-country"}`, `{"Walsall A":"black-country"}`, "dataCentres"},
		{`{"walsall-a":"black-country"}`, `[]`, "dataCentres"},
	} {
		text := filledTemplate(t, nil)
		broken := strings.Replace(text, c.from, c.to, 1)
		if broken == text {
			t.Fatalf("template does not contain %s", c.from)
		}
		_, err := settings.ParseGateway("f", []byte(broken))
		var p *settings.Problems
		if !errors.As(err, &p) {
			t.Errorf("%s was accepted", c.to)
			continue
		}
		found := false
		for _, x := range p.List {
			found = found || x.Key == c.want
		}
		if !found {
			t.Errorf("%s: error %v does not name %s", c.to, err, c.want)
		}
	}
}

func FuzzParseGateway(f *testing.F) {
	f.Add([]byte(`{"vm":{"name":"a"},"bounds":{"graceS":8},"dataCentres":{"a":"b"},"memoryMb":64}`))
	f.Add([]byte(`{"dataCentres":{"":1},"bounds":[],"memoryMb":1e99}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := settings.ParseGateway("f", b)
		if err == nil && (g.Listen.Callers == "" || g.Store.Address == "" || g.Bounds.RetryWindowS <= 0) {
			t.Errorf("accepted: %+v", g)
		}
	})
}
