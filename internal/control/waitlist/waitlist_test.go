package waitlist_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/waitlist"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type call struct {
	name string
	item waitlist.Item
}

func newList(opts waitlist.Options, calls ...*call) *waitlist.List[*call] {
	l := waitlist.New(opts, func(c *call) waitlist.Item { return c.item })
	for _, c := range calls {
		l.Push(c)
	}
	return l
}

// order places all requests and returns their names.
func order(l *waitlist.List[*call]) []string {
	var names []string
	for {
		next, ok := l.Next(start, func(*call) bool { return true })
		if !ok {
			return names
		}
		l.Placed(next, 1)
		names = append(names, next.name)
	}
}

func TestOrder(t *testing.T) {
	late := start.Add(-time.Second)
	for _, c := range []struct {
		name  string
		opts  waitlist.Options
		calls []*call
		want  []string
	}{
		{"arrival", waitlist.Options{}, []*call{{"large", waitlist.Item{Tokens: 9}}, {"small", waitlist.Item{Tokens: 1}}}, []string{"large", "small"}},
		{"cheap first", waitlist.Options{CheapFirst: true}, []*call{{"large", waitlist.Item{Tokens: 9}}, {"small", waitlist.Item{Tokens: 1}}}, []string{"small", "large"}},
		{"urgent first", waitlist.Options{}, []*call{{"slow", waitlist.Item{Urgency: 2}}, {"urgent", waitlist.Item{}}}, []string{"urgent", "slow"}},
		{
			"late last",
			waitlist.Options{},
			[]*call{{"late", waitlist.Item{LateAt: late}}, {"slow", waitlist.Item{Urgency: 2, LateAt: start.Add(time.Second)}}},
			[]string{"slow", "late"},
		},
		{
			"shares",
			waitlist.Options{},
			[]*call{
				{"a1", waitlist.Item{Workspace: "a", Tokens: 60_000}}, {"a2", waitlist.Item{Workspace: "a", Tokens: 60_000}}, {"b1", waitlist.Item{Workspace: "b", Tokens: 10}},
			},
			[]string{"a1", "b1", "a2"},
		},
	} {
		if diff := cmp.Diff(c.want, order(newList(c.opts, c.calls...))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestLessUrgentDoesNotStarve keeps urgent requests waiting all the time.
func TestLessUrgentDoesNotStarve(t *testing.T) {
	l := newList(waitlist.Options{UrgentInRow: 8}, &call{"slow", waitlist.Item{Urgency: 1}})
	for i := range 20 {
		l.Push(&call{"urgent", waitlist.Item{}})
		next, _ := l.Next(start, func(*call) bool { return true })
		l.Placed(next, 1)
		if next.name == "slow" {
			if i != 8 {
				t.Errorf("placed after %d urgent ones", i)
			}
			return
		}
	}
	t.Error("the less urgent request was never placed")
}
