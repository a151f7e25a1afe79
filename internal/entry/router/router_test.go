package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	testNow = time.Unix(1_700_000_000, 0)
	model   = Model{Model: "m"}
)

func servers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{
			Name:          fmt.Sprint("s", i),
			FailureDomain: fmt.Sprint("d", i%3),
			Region:        "r",
			Models:        []Model{model},
			MemoryTokens:  60_000,
		}
	}
	return list
}

func newRouter(list []Server) *Router {
	r := New(DefaultSettings("r", "d0"))
	r.SetServers(list)
	return r
}

// blocks returns the hashes of the first n blocks of the prompts of a family.
func blocks(family uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = family<<32 | uint64(i) + 1
	}
	return list
}

func request(family uint64, n int) *Request {
	return &Request{Model: model, PromptTokens: n * 16, Blocks: blocks(family, n), Expected: n*16 + 100}
}

func first(t *testing.T, r *Router, now time.Time, req *Request) Candidate {
	t.Helper()
	got := r.Choose(now, req, nil)
	if len(got) == 0 {
		t.Fatal("no candidate")
	}
	return got[0]
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name    string
		servers []Server
		before  func(*Router)
		req     *Request
		want    string
	}{
		{"same failure domain", servers(3), nil, request(1, 10), "s0"},
		{"not a loaded one", servers(3), func(r *Router) {
			r.Report("s0", Load{Running: 60, MemoryUsed: 50_000, ReportedAt: testNow})
		}, request(1, 10), "s1"},
		{"requests sent since the report count", servers(2), func(r *Router) {
			r.Report("s0", Load{ReportedAt: testNow})
			r.Report("s1", Load{Running: 5, MemoryUsed: 6000, ReportedAt: testNow})
			for range 10 {
				r.RecordSent(testNow.Add(time.Millisecond), "s0", request(9, 1), 1500)
			}
		}, request(1, 10), "s1"},
		{"requests done since the report count", servers(2), func(r *Router) {
			r.Report("s0", Load{Running: 10, MemoryUsed: 15_000, ReportedAt: testNow})
			r.Report("s1", Load{Running: 5, MemoryUsed: 6000, ReportedAt: testNow})
			for range 10 {
				r.Done(testNow.Add(time.Millisecond), "s0", 1500)
			}
		}, request(1, 10), "s0"},
		{"prefix cache hit", servers(30), func(r *Router) {
			r.RecordSent(testNow, "s17", request(1, 40), 800)
		}, request(1, 50), "s17"},
		{"not the prefix cache hit of an overloaded one", servers(2), func(r *Router) {
			r.RecordSent(testNow, "s1", request(1, 40), 800)
			r.Report("s1", Load{Running: 50, MemoryUsed: 40_000, ReportedAt: testNow.Add(time.Second)})
		}, request(1, 50), "s0"},
		{"not an evicted prefix", servers(3), func(r *Router) {
			r.RecordSent(testNow, "s2", request(1, 40), 0)
			r.CacheEvents("s2", 1, nil, blocks(1, 40))
		}, request(1, 50), "s0"},
		{"not a leaving one", servers(3), func(r *Router) {
			r.Report("s0", Load{Leaving: true, ReportedAt: testNow})
		}, request(1, 10), "s1"},
		{"not an unusable one", servers(3), func(r *Router) {
			r.Usable = func(name string) bool { return name == "s2" }
		}, request(1, 10), "s2"},
		{"only usable one of many", servers(300), func(r *Router) {
			r.Usable = func(name string) bool { return name == "s211" }
		}, request(1, 10), "s211"},
		{"not one to avoid", servers(3), nil, &Request{Model: model, PromptTokens: 10, Avoid: []string{"s0", "s1"}}, "s2"},
		{"other region last", []Server{
			{Name: "far", Region: "x", Models: []Model{model}, MemoryTokens: 60_000},
			{Name: "near", Region: "r", FailureDomain: "d1", Models: []Model{model}, MemoryTokens: 60_000},
		}, nil, request(1, 10), "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(tt.servers)
			if tt.before != nil {
				tt.before(r)
			}
			if got := first(t, r, testNow.Add(time.Minute), tt.req); got.Name != tt.want {
				t.Errorf("chose %+v, want %s", got, tt.want)
			}
		})
	}
}

func TestChooseByModel(t *testing.T) {
	list := servers(2)
	list[1].Models = []Model{{Model: "m", Adapter: "a", Version: "2"}}
	r := newRouter(list)
	tests := []struct {
		name  string
		model Model
		want  int
	}{
		{"plain", model, 1},
		{"adapter and version", Model{"m", "a", "2"}, 1},
		{"any version", Model{"m", "a", ""}, 1},
		{"other version", Model{"m", "a", "1"}, 0},
		{"unknown", Model{Model: "x"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := r.Choose(testNow, &Request{Model: tt.model}, nil); len(got) != tt.want {
				t.Errorf("candidates %v", got)
			}
		})
	}
}

func TestNewIncarnationDropsHints(t *testing.T) {
	list := servers(3)
	r := newRouter(list)
	r.RecordSent(testNow, "s2", request(1, 40), 800)
	// Of the 40 blocks, the first 32 are at a depth that both prompts share.
	if got := first(t, r, testNow, request(1, 50)); got.Name != "s2" || got.CachedTokens != 512 {
		t.Fatalf("chose %+v", got)
	}
	list[2].Incarnation = 2
	r.SetServers(list)
	for _, c := range r.Choose(testNow, request(1, 50), nil) {
		if c.CachedTokens != 0 {
			t.Errorf("a prefix cache hit is predicted for a restarted server: %+v", c)
		}
	}
	r.SetServers(list[:2])
	r.SetServers(list)
	for _, c := range r.Choose(testNow, request(1, 50), nil) {
		if c.CachedTokens != 0 {
			t.Errorf("a prefix cache hit is predicted for a server that left and came back: %+v", c)
		}
	}
}

func TestTrustFollowsConfirmations(t *testing.T) {
	r := newRouter(servers(2))
	trust := func() float64 { return r.backends["s1"].trust }
	before := trust()
	for range 30 {
		r.Confirm("s1", 640, 0)
	}
	if trust() > before/4 {
		t.Errorf("trust %.2f after misses", trust())
	}
	for range 60 {
		r.Confirm("s1", 640, 640)
	}
	if trust() < 0.9 {
		t.Errorf("trust %.2f after hits", trust())
	}
	r.CacheEvents("s1", 5, nil, nil)
	r.CacheEvents("s1", 9, nil, nil)
	if trust() > 0.75 {
		t.Errorf("trust %.2f after lost events", trust())
	}
}

func TestSlowStart(t *testing.T) {
	list := servers(20)
	for i := range list {
		list[i].FailureDomain = "d0"
	}
	list[7].JoinedAt = testNow
	// countChosen returns how many of 2000 requests at now go to s7.
	countChosen := func(now time.Time) int {
		r := newRouter(list)
		n := 0
		for i := range 2000 {
			req := request(uint64(i+1), 30)
			c := r.Choose(now, req, nil)[0]
			r.RecordSent(now, c.Name, req, 580)
			if c.Name == "s7" {
				n++
			}
		}
		return n
	}
	if n := countChosen(testNow.Add(time.Second)); n > 50 {
		t.Errorf("a server that has just joined got %d of 2000, want at most 50; an even share is 100", n)
	}
	if n := countChosen(testNow.Add(time.Minute)); n < 70 {
		t.Errorf("a server that joined a minute ago got %d of 2000, want at least 70; an even share is 100", n)
	}
}

func TestHotPrefixIsSpread(t *testing.T) {
	for _, n := range []int{4, 78} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			r := newRouter(servers(n))
			counts := make(map[string]int)
			requests := n * 20
			for range requests {
				c := first(t, r, testNow, request(1, 100))
				r.RecordSent(testNow, c.Name, request(1, 100), 1700)
				counts[c.Name]++
			}
			for name, got := range counts {
				if got > 40 {
					t.Errorf("%s got %d of %d, want at most 40; an even share is 20", name, got, requests)
				}
			}
		})
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	x := newPrefixIndex(1000)
	for i := range uint64(50_000) {
		x.add(i+1, serverRef{slot: 1})
	}
	if n := len(x.young) + len(x.old); n > 1000 {
		t.Errorf("%d hints, bound 1000", n)
	}
	if _, ok := x.get(50_000); !ok {
		t.Error("the newest hint was dropped")
	}
}

func TestNextDepthFalls(t *testing.T) {
	steps := 0
	for d := 5000; d > 0; steps++ {
		next := nextDepth(d)
		if next >= d || next < d/2 && d > 1 {
			t.Fatalf("depth %d is followed by %d", d, next)
		}
		d = next
	}
	if steps > 30 {
		t.Errorf("%d steps from 5000", steps)
	}
}

func TestRouterProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(12)
	params.MinSuccessfulTests = 100
	ps := gopter.NewProperties(params)
	ps.Property("candidates are distinct, usable, ordered and few", prop.ForAll(
		func(n int, avoid int, family uint8) bool {
			r := newRouter(servers(n))
			r.Usable = func(name string) bool { return name != "s1" }
			for i := range n * 3 {
				req := request(uint64(i%5+1), 20)
				for _, c := range r.Choose(testNow, req, nil) {
					r.RecordSent(testNow, c.Name, req, 400)
					break
				}
			}
			req := request(uint64(family%5+1), 20)
			req.Avoid = []string{fmt.Sprint("s", avoid)}
			got := r.Choose(testNow, req, nil)
			seen := make(map[string]bool)
			for i, c := range got {
				if seen[c.Name] || c.Name == "s1" || c.Name == req.Avoid[0] || i > 0 && got[i-1].Cost > c.Cost {
					return false
				}
				seen[c.Name] = true
			}
			usable := 0
			for i := range n {
				if i != 1 && i != avoid {
					usable++
				}
			}
			return len(got) <= r.settings.Candidates && (len(got) > 0) == (usable > 0)
		}, gen.IntRange(1, 60), gen.IntRange(0, 60), gen.UInt8()))
	ps.TestingRun(t)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{78, 260, 780} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			r := newRouter(servers(n))
			now := testNow
			var reqs []*Request
			for i := range 64 {
				reqs = append(reqs, request(uint64(i+1), 60))
			}
			buf := make([]Candidate, 0, 8)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				req := reqs[i&63]
				buf = r.Choose(now, req, buf[:0])
				r.RecordSent(now, buf[0].Name, req, 1000)
				r.Done(now, buf[0].Name, 1000)
			}
		})
	}
}

func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{78, 260, 780} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			list := servers(n)
			b.ReportAllocs()
			for b.Loop() {
				newRouter(list)
			}
		})
	}
}

func BenchmarkHints(b *testing.B) {
	for _, n := range []int{8192, 32_768, 131_072} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x := newPrefixIndex(n)
				for i := range uint64(n) {
					x.add(i+1, serverRef{slot: 1})
				}
			}
		})
	}
}
