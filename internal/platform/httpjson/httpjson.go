// Package httpjson makes HTTP calls whose bodies are JSON, and answers them.
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

// ErrTooLarge means that an answer was longer than tuning.MaxResponse.
var ErrTooLarge = errors.New("the answer is too large")

// NewClient makes a client with at most maxConns connections to a host, of which idleConns are kept open between calls, and at
// most allIdle idle ones to all hosts; 0: any number. dial is how long a connection may take. It follows no redirects.
func NewClient(maxConns, idleConns, allIdle int, dial time.Duration) *http.Client {
	d := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: idleConns,
		MaxIdleConns:        allIdle,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Call sends in as JSON (nil: no body), and decodes the answer into what decode returns for its status (nil: the body is not
// wanted). It returns the status; an error means that no usable answer came.
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxResponse+1))
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if len(raw) > tuning.MaxResponse {
		return 0, ErrTooLarge
	}
	if out := decode(resp.StatusCode); out != nil {
		if err := json.Unmarshal(raw, out); err != nil {
			return 0, fmt.Errorf("malformed answer: %w", err)
		}
	}
	return resp.StatusCode, nil
}

// IfOK is a decode function for Call: it decodes into out when the status is 200.
func IfOK(out any) func(int) any {
	return func(status int) any {
		if status == http.StatusOK {
			return out
		}
		return nil
	}
}

// Write sends v as the answer to a request.
func Write(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may be gone; nothing to do about it
}

// ReadBody reads a request's body of at most limit bytes.
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

// WriteError answers with a status and what is wrong, in one line. With a 503 it says when to
// come back.
func WriteError(w http.ResponseWriter, status int, text string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	Write(w, status, wire.Error{Error: text})
}

// WriteUnavailable answers 503.
func WriteUnavailable(w http.ResponseWriter, text string) {
	WriteError(w, http.StatusServiceUnavailable, text)
}

// WriteRaw answers with JSON that is encoded already. With a 503 it says when to
// come back.
func WriteRaw(w http.ResponseWriter, status int, body json.RawMessage) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may be gone; nothing to do about it
}
