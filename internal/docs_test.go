package internal_test

import (
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	fenced  = regexp.MustCompile("(?ms)^```.*?^```")
)

// TestLinksOfDocuments checks that each relative link in README.md and docs
// refers to an existing file or folder and, if it has an anchor, to an existing
// heading.
func TestLinksOfDocuments(t *testing.T) {
	pages := []string{"../README.md"}
	err := filepath.WalkDir("../docs", func(file string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(file, ".md") {
			pages = append(pages, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range pages {
		for _, target := range linksOf(read(t, page)) {
			if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
				continue
			}
			checked++
			checkLink(t, page, target)
		}
	}
	if checked < 50 {
		t.Errorf("only %d links were found", checked)
	}
}

func checkLink(t *testing.T, page, target string) {
	t.Helper()
	file, anchor, _ := strings.Cut(target, "#")
	linked := page
	if file != "" {
		name, err := url.PathUnescape(file)
		if err != nil {
			t.Errorf("%s: link %s: %v", page, target, err)
			return
		}
		linked = filepath.Join(filepath.Dir(page), filepath.FromSlash(name))
	}
	if _, err := os.Stat(linked); err != nil {
		t.Errorf("%s: the target of link %s does not exist", page, target)
		return
	}
	if anchor != "" && !anchorsOf(read(t, linked))[anchor] {
		t.Errorf("%s: the target of link %s has no such heading", page, target)
	}
}

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func linksOf(text string) (targets []string) {
	for _, m := range link.FindAllStringSubmatch(fenced.ReplaceAllString(text, ""), -1) {
		targets = append(targets, m[1])
	}
	return targets
}

// anchorsOf returns the anchors of a page's headings: the headings in lower case,
// without punctuation, with hyphens for spaces.
func anchorsOf(text string) map[string]bool {
	anchors := map[string]bool{}
	for _, m := range heading.FindAllStringSubmatch(text, -1) {
		name := strings.Map(func(r rune) rune {
			switch {
			case r == ' ':
				return '-'
			case r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z':
				return r
			}
			return -1
		}, strings.ToLower(strings.TrimSpace(m[1])))
		anchors[name] = true
	}
	return anchors
}

func TestLinksAndHeadingsAreRead(t *testing.T) {
	text := "# Why the rules hold\n[a](b.md), [c](d.md#e)\n```\n[no](link.md)\n```\n"
	if got := strings.Join(linksOf(text), " "); got != "b.md d.md#e" {
		t.Errorf("the links were read as %s", got)
	}
	if !anchorsOf(text)["why-the-rules-hold"] {
		t.Errorf("the headings' anchors were read as %v", anchorsOf(text))
	}
}
