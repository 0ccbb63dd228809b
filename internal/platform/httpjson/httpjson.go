// Package httpjson makes HTTP calls with JSON bodies and writes JSON responses.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ErrTooLarge means that a response was longer than tuning.MaxResponseBytes.
var ErrTooLarge = errors.New("the answer is too large")

// NewClient returns a client with at most maxConnsPerHost connections to a host. Of these, at most idleConnsPerHost stay open
// between calls. At most idleConnsTotal idle connections to all hosts stay open. For maxConnsPerHost and idleConnsTotal, 0
// means any number. dialTimeout is the timeout for opening a connection. The client follows no redirects.
func NewClient(maxConnsPerHost, idleConnsPerHost, idleConnsTotal int, dialTimeout time.Duration) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConnsPerHost,
		MaxIdleConnsPerHost: idleConnsPerHost,
		MaxIdleConns:        idleConnsTotal,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Call sends in as JSON, or no body if in is nil. It calls decode with the status of the response, and decodes the body into
// the value that decode returns, or ignores the body if that value is nil. It returns the status, or an error if there was no
// usable response.
func Call(ctx context.Context, c *http.Client, method, url string, in any, decode func(status int) any) (int, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxResponseBytes+1))
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if len(raw) > tuning.MaxResponseBytes {
		return 0, ErrTooLarge
	}
	if out := decode(resp.StatusCode); out != nil {
		if err := json.Unmarshal(raw, out); err != nil {
			return 0, fmt.Errorf("malformed answer: %w", err)
		}
	}
	return resp.StatusCode, nil
}

// IfOK returns a decode function for Call that decodes into out if the status is 200.
func IfOK(out any) func(int) any {
	return func(status int) any {
		if status == http.StatusOK {
			return out
		}
		return nil
	}
}

// Write sends v as JSON in response to a request.
func Write(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the client has disconnected
}

// ReadBody reads the body of a request. A body of more than limit bytes is an error.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, fmt.Errorf("the body is over %d bytes", limit)
	}
	return raw, nil
}

// OneLine returns an error's text as one line.
func OneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// WriteError responds with a status and an error text of one line. A 503 gets a Retry-After header.
func WriteError(w http.ResponseWriter, status int, text string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	Write(w, status, wire.Error{Error: text})
}

// WriteUnavailable responds with 503, an error text and a Retry-After header.
func WriteUnavailable(w http.ResponseWriter, text string) {
	WriteError(w, http.StatusServiceUnavailable, text)
}

// WriteRaw responds with JSON that is already encoded. A 503 gets a Retry-After header.
func WriteRaw(w http.ResponseWriter, status int, body json.RawMessage) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}
