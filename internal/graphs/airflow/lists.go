package airflow

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Page sizes of Airflow.
const (
	defaultLimit = 100
	maxLimit     = 100
)

// page is the part of a list that a client requests, in items.
type page struct{ limit, offset int }

// page reads the query parameters limit and offset.
func (r *request) page() (page, error) {
	limit, err := r.count("limit", defaultLimit)
	if err != nil {
		return page{}, err
	}
	offset, err := r.count("offset", 0)
	return page{min(limit, maxLimit), offset}, err
}

// count reads a query parameter that is a number of items. A missing parameter has the value defaultCount.
func (r *request) count(name string, defaultCount int) (int, error) {
	text := r.query.Get(name)
	if text == "" {
		return defaultCount, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, badRequest("%s is %q, which is no count", name, text)
	}
	return n, nil
}

// itemsOf returns the items of a page.
func itemsOf[T any](p page, items []T) []T {
	from := min(p.offset, len(items))
	return items[from:min(from+p.limit, len(items))]
}

// listBody returns the body of a list: the items of one page under the given name, and the size of the whole list.
func listBody(name string, items any, total int) map[string]any {
	return map[string]any{name: items, "total_entries": total}
}

// sortFields maps each name that the query parameter order_by allows for a list to a comparison.
type sortFields[T any] map[string]func(a, b T) int

// sortByRequest sorts items by the field in the query parameter order_by, or else by defaultField. If both are empty, the
// items keep their order. A dash before the name reverses the order.
func sortByRequest[T any](r *request, items []T, fields sortFields[T], defaultField string) error {
	name := cmp.Or(r.query.Get("order_by"), defaultField)
	if name == "" {
		return nil
	}
	field, descending := strings.CutPrefix(name, "-")
	compare := fields[field]
	if compare == nil {
		return badRequest("Ordering with %q is disallowed or the attribute does not exist on the model", field)
	}
	slices.SortStableFunc(items, func(a, b T) int {
		if descending {
			a, b = b, a
		}
		return compare(a, b)
	})
	return nil
}

// sortedPage sorts a list as a request asks and returns the body with one page of it.
func sortedPage[T any](r *request, p page, name string, items []T, fields sortFields[T], defaultField string) (any, error) {
	if err := sortByRequest(r, items, fields, defaultField); err != nil {
		return nil, err
	}
	return listBody(name, itemsOf(p, items), len(items)), nil
}

// byText compares items by a text.
func byText[T any](field func(*T) string) func(a, b T) int {
	return func(a, b T) int { return cmp.Compare(field(&a), field(&b)) }
}

// byTimestamp compares items by a timestamp; items without one sort first.
func byTimestamp[T any](field func(*T) *string) func(a, b T) int {
	return func(a, b T) int { return compareTimestamps(field(&a), field(&b)) }
}
