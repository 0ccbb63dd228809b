package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"testing"

	"poppypass/internal/platform/wire"
)

// newListClient returns the client of a cloud that lists the given number of machines, named n-000000 and so on, page by
// page. The cloud counts the calls.
func newListClient(t *testing.T, machines int, calls *int) *Client {
	t.Helper()
	names := make([]string, machines)
	for i := range names {
		names[i] = fmt.Sprintf("n-%06d", i)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*calls++
		size, err := strconv.Atoi(r.URL.Query().Get("page"))
		if err != nil || size > wire.MaxList {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		after := r.URL.Query().Get("after")
		begin := sort.Search(len(names), func(i int) bool { return names[i] > after })
		end := min(begin+size, len(names))
		page := wire.MachinePage{More: end < len(names)}
		for _, name := range names[begin:end] {
			page.Machines = append(page.Machines, wire.ListedMachine{
				Name: name, Address: "10.100.100.100:9000", Type: strings.Repeat("t", 20), Zone: strings.Repeat("z", 20), State: wire.MachineRunning, AgeS: 12345.678,
			})
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(srv.Close)
	return New(strings.TrimPrefix(srv.URL, "http://"), 1e6)
}

// Guards against a list that is read only in part, or with more calls than it has pages.
func TestListReadsEveryPageOnce(t *testing.T) {
	for _, machines := range []int{0, 1, 499, 500, 501, 4000, 6000} {
		t.Run(fmt.Sprintf("%d machines", machines), func(t *testing.T) {
			calls := 0
			pages, err := newListClient(t, machines, &calls).List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if want := max(1, (machines+wire.MaxList-1)/wire.MaxList); calls != want || len(pages) != want {
				t.Errorf("%d calls returned %d pages, want %d of each", calls, len(pages), want)
			}
			listed, after := 0, ""
			for _, p := range pages {
				if p.After != after {
					t.Errorf("a page begins behind %q although the previous page ended with %q", p.After, after)
				}
				after = p.Last
				for _, m := range p.Machines {
					if want := fmt.Sprintf("n-%06d", listed); m.Name != want {
						t.Fatalf("listed machine %s, want %s", m.Name, want)
					}
					listed++
				}
			}
			if listed != machines || after != "" {
				t.Errorf("listed %d machines, and the last page ends with %q; want all machines and an empty name", listed, after)
			}
		})
	}
}
