package chain

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Kinds of service.
const (
	KindModel = "model"
	KindPlain = "plain"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Touched returns the objects that a note adds, changes or withdraws, as
// kind/name, sorted.
func Touched(n wire.ReleaseNote) []string {
	set := map[string]bool{}
	for _, o := range []*wire.Objects{n.Added, n.Changed} {
		if o == nil {
			continue
		}
		for _, x := range o.Services {
			set["service/"+x.Name] = true
		}
		for _, x := range o.Workspaces {
			set["workspace/"+x.Name] = true
		}
		for _, x := range o.Routes {
			set["route/"+x.Name] = true
		}
	}
	if w := n.Withdrawn; w != nil {
		for kind, names := range map[string][]string{"service/": w.Services, "workspace/": w.Workspaces, "route/": w.Routes} {
			for _, name := range names {
				set[kind+name] = true
			}
		}
	}
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Conflicts returns the objects that both a note and a later revision touch.
func Conflicts(note wire.ReleaseNote, later []wire.Revision) []string {
	mine := Touched(note)
	var both []string
	for _, r := range later {
		for _, o := range Touched(r.Note) {
			if _, found := slices.BinarySearch(mine, o); found && !slices.Contains(both, o) {
				both = append(both, o)
			}
		}
	}
	return both
}

// Validate returns every reason against appending the note to the state; none
// when it may be appended.
func (s *State) Validate(n wire.ReleaseNote) []string {
	v := &validator{state: s}
	if !namePattern.MatchString(n.Id) {
		v.addf("id %q must consist of letters, digits, dots, hyphens and underscores, 63 at most", n.Id)
	}
	if len(Touched(n)) == 0 {
		v.addf("the note adds, changes and withdraws nothing")
	}
	v.existence(n)
	if len(v.reasons) > 0 {
		return v.reasons
	}
	next, _ := s.Apply(s.Next(n, 0))
	v.state = next
	v.references()
	return v.reasons
}

type validator struct {
	state   *State
	reasons []string
}

func (v *validator) addf(format string, args ...any) {
	v.reasons = append(v.reasons, fmt.Sprintf(format, args...))
}

func (v *validator) has(object string) bool {
	kind, name, _ := strings.Cut(object, "/")
	var ok bool
	switch kind {
	case "service":
		_, ok = v.state.Services[name]
	case "workspace":
		_, ok = v.state.Workspaces[name]
	case "route":
		_, ok = v.state.Routes[name]
	}
	return ok
}

func (v *validator) existence(n wire.ReleaseNote) {
	seen := map[string]string{}
	for _, part := range []struct {
		verb string
		note wire.ReleaseNote
		want bool
	}{
		{"added", wire.ReleaseNote{Added: n.Added}, false},
		{"changed", wire.ReleaseNote{Changed: n.Changed}, true},
		{"withdrawn", wire.ReleaseNote{Withdrawn: n.Withdrawn}, true},
	} {
		for _, o := range Touched(part.note) {
			if before, twice := seen[o]; twice {
				v.addf("%s is both %s and %s", o, before, part.verb)
			}
			seen[o] = part.verb
			if exists := v.has(o); exists != part.want {
				word := "does not exist"
				if exists {
					word = "exists already"
				}
				v.addf("%s cannot be %s: it %s at revision %d", o, part.verb, word, v.state.Number)
			}
		}
	}
}

// references checks every object of the state and what they refer to.
func (v *validator) references() {
	for _, x := range sorted(v.state.Services) {
		v.service(x)
	}
	owners := map[string]string{}
	for _, x := range sorted(v.state.Workspaces) {
		v.workspace(x, owners)
	}
	for _, x := range sorted(v.state.Routes) {
		v.route(x)
	}
}

func (v *validator) name(kind, name string) {
	if !namePattern.MatchString(name) {
		v.addf("%s name %q must consist of letters, digits, dots, hyphens and underscores, 63 at most", kind, name)
	}
}

func (v *validator) service(x wire.Service) {
	v.name("service", x.Name)
	switch x.Kind {
	case KindModel:
		if x.Model == "" {
			v.addf("service/%s needs a model", x.Name)
		}
	case KindPlain:
		for _, c := range x.NonRepeatable {
			method, path, ok := strings.Cut(c, " ")
			if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				v.addf("service/%s: nonRepeatable %q must look like POST /path", x.Name, c)
			}
		}
	default:
		v.addf("service/%s: kind %q must be model or plain", x.Name, x.Kind)
	}
}

func (v *validator) workspace(x wire.Workspace, owners map[string]string) {
	v.name("workspace", x.Name)
	if x.RequestsPerSecond < 0 || x.ConcurrentRequests < 0 || x.Weight < 0 {
		v.addf("workspace/%s: limits and weight must not be negative", x.Name)
	}
	for _, h := range x.KeyHashes {
		if !hashPattern.MatchString(h) {
			v.addf("workspace/%s: key hash %q is not a hexadecimal SHA-256", x.Name, h)
		}
		if other, taken := owners[h]; taken {
			v.addf("workspace/%s has a key of workspace/%s", x.Name, other)
		}
		owners[h] = x.Name
	}
	for _, name := range x.Services {
		if _, ok := v.state.Services[name]; !ok {
			v.addf("workspace/%s uses service/%s, which does not exist", x.Name, name)
		}
	}
}

func (v *validator) route(x wire.Route) {
	v.name("route", x.Name)
	if _, ok := v.state.Services[x.Service]; !ok {
		v.addf("route/%s uses service/%s, which does not exist", x.Name, x.Service)
	}
	if x.From == x.To || x.From == "" || x.To == "" {
		v.addf("route/%s must lead from one region to another", x.Name)
	}
	if x.WaitPriceMs < 0 {
		v.addf("route/%s: waitPriceMs must not be negative", x.Name)
	}
}
